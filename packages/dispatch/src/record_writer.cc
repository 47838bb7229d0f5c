#include "dispatch/record_writer.h"

#include <absl/strings/str_cat.h>

#include <bit>
#include <optional>
#include <span>
#include <vector>

#include "dispatch/rising_timeout.h"
#include "runtime/error.h"

namespace vanillaladder::dispatch {
namespace {

constexpr std::chrono::milliseconds retry_pause{100};
/// Timeouts of the attempts of a registration. Short at first, since nothing
/// starts before it is answered, and repeating it is safe.
constexpr std::chrono::milliseconds first_open_timeout{300};
constexpr std::chrono::milliseconds highest_open_timeout{1500};

}  // namespace

struct record_writer::impl : std::enable_shared_from_this<record_writer::impl> {
  impl(http::event_loop& loop_in, external::keyed_store& store_in,
       std::string topic_in, std::string writer_in, model::epoch epoch_in,
       std::function<bool()> may_write_in, reporter report_in,
       const external::store_limits& limits_in)
      : loop(loop_in),
        store(store_in),
        topic(std::move(topic_in)),
        writer(std::move(writer_in)),
        epoch(epoch_in),
        may_write(std::move(may_write_in)),
        report(report_in),
        limits(limits_in) {}

  void choose_call();
  void send(callback done);
  void retry(callback done);
  void on_answer(absl::StatusOr<model::offset> end, callback done);
  void on_refused(const absl::Status& status, callback done);

  http::event_loop& loop;
  external::keyed_store& store;
  std::string topic;
  std::string writer;
  model::epoch epoch;
  std::function<bool()> may_write;
  reporter report;
  external::store_limits limits;
  /// Sequence number of the last call that was sent.
  std::int64_t sequence = 0;
  /// Timeout of a registration; empty for an append of records.
  std::optional<rising_timeout> open_timeout;
  std::vector<batch::topic_record> records;
  /// Records of the current call: `call_size` of them from `call_begin` on.
  std::size_t call_begin = 0;
  std::size_t call_size = 0;
  /// Most records of a call, lowered to find the one that the store refuses.
  std::size_t max_call_size = 0;
  std::vector<std::string> refused_keys;
  std::uint64_t refusals = 0;
  bool last_append_ok = true;
  bool stopped = false;
};

/// Chooses the records of the next call within the limits of the store.
void record_writer::impl::choose_call() {
  call_size = 0;
  std::size_t bytes = 0;
  while (call_begin + call_size < records.size() && call_size < max_call_size) {
    bytes += external::record_bytes(records[call_begin + call_size]);
    if (call_size > 0 && bytes > limits.max_call_bytes) {
      break;
    }
    ++call_size;
  }
}

void record_writer::impl::retry(callback done) {
  loop.call_after(retry_pause, [self = shared_from_this(),
                                done = std::move(done)]() mutable {
    if (!self->stopped) {
      self->send(std::move(done));
    }
  });
}

void record_writer::impl::send(callback done) {
  if (!may_write()) {
    retry(std::move(done));
    return;
  }
  external::append_options options;
  options.writer = external::append_writer{writer, epoch, sequence};
  if (open_timeout) {
    options.answer_timeout = open_timeout->value();
  }
  store.append(topic, std::span(records).subspan(call_begin, call_size),
               std::move(options),
               [self = shared_from_this(), done = std::move(done)](
                   absl::StatusOr<model::offset> end) mutable {
                 if (!self->stopped) {
                   self->on_answer(std::move(end), std::move(done));
                 }
               });
}

void record_writer::impl::on_answer(absl::StatusOr<model::offset> end,
                                    callback done) {
  const auto& status = end.status();
  // What an answer that can't be read says is unknown; a repeat is answered as
  // the first time.
  bool retryable = absl::IsUnavailable(status) || absl::IsUnknown(status) ||
                   absl::IsDataLoss(status);
  if (retryable) {
    if (last_append_ok) {
      last_append_ok = false;
      report.event("writer", absl::StrCat("append_retried topic=", topic,
                                          " sequence=", sequence, " error=",
                                          runtime::error_message(status)));
    }
    report.count("vanillaladder_store_append_retries_total", "topic", topic);
    if (open_timeout) {
      open_timeout->on_unanswered();
    }
    retry(std::move(done));
    return;
  }
  last_append_ok = true;
  bool is_superseded = absl::IsAborted(status) || absl::IsOutOfRange(status);
  if (!end.ok() && !is_superseded && call_size > 0) {
    on_refused(status, std::move(done));
    return;
  }
  if (end.ok()) {
    call_begin += call_size;
    if (call_begin < records.size()) {
      choose_call();
      ++sequence;
      send(std::move(done));
      return;
    }
  }
  done(std::move(end));
}

/// Narrows a call that the store refuses down to the record at fault and leaves
/// that one out. The refused call has not used up its sequence number.
void record_writer::impl::on_refused(const absl::Status& status,
                                     callback done) {
  if (call_size > 1) {
    max_call_size = call_size / 2;
    choose_call();
    send(std::move(done));
    return;
  }
  const auto& record = records[call_begin];
  refused_keys.push_back(record.key);
  report.count("vanillaladder_records_refused_total", "topic", topic);
  // Logged for the first, second, fourth, ... time.
  if (std::has_single_bit(++refusals)) {
    report.event(
        "writer",
        absl::StrCat("record_refused topic=", topic, " key=", record.key,
                     " bytes=", external::record_bytes(record), " count=",
                     refusals, " error=", runtime::error_message(status)));
  }
  ++call_begin;
  max_call_size = records.size();
  if (call_begin == records.size()) {
    --sequence;
    // The end of the topic is not known; nobody waits for it.
    done(model::offset{0});
    return;
  }
  choose_call();
  send(std::move(done));
}

record_writer::record_writer(http::event_loop& loop,
                             external::keyed_store& store, std::string topic,
                             std::string writer, model::epoch epoch,
                             std::function<bool()> may_write, reporter report,
                             const external::store_limits& limits)
    : impl_(std::make_shared<impl>(loop, store, std::move(topic),
                                   std::move(writer), epoch,
                                   std::move(may_write), report, limits)) {}

record_writer::~record_writer() {
  impl_->stopped = true;
}

void record_writer::open(callback done) {
  impl_->records.clear();
  impl_->call_begin = 0;
  impl_->call_size = 0;
  impl_->open_timeout.emplace(first_open_timeout, highest_open_timeout);
  impl_->send(std::move(done));
}

void record_writer::append(std::span<const batch::topic_record> records,
                           callback done) {
  impl_->records.assign(records.begin(), records.end());
  impl_->refused_keys.clear();
  impl_->call_begin = 0;
  impl_->max_call_size = records.size();
  impl_->choose_call();
  impl_->open_timeout.reset();
  ++impl_->sequence;
  impl_->send(std::move(done));
}

const std::vector<std::string>& record_writer::refused_keys() const {
  return impl_->refused_keys;
}

}  // namespace vanillaladder::dispatch
