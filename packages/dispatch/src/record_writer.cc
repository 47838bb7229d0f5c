#include "dispatch/record_writer.h"

#include <absl/strings/str_cat.h>

#include <optional>
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
       std::function<bool()> may_write_in, reporter report_in)
      : loop(loop_in),
        store(store_in),
        topic(std::move(topic_in)),
        writer(std::move(writer_in)),
        epoch(epoch_in),
        may_write(std::move(may_write_in)),
        report(report_in) {}

  void send(callback done);
  void retry(callback done);

  http::event_loop& loop;
  external::keyed_store& store;
  std::string topic;
  std::string writer;
  model::epoch epoch;
  std::function<bool()> may_write;
  reporter report;
  std::int64_t sequence = 0;
  /// Timeout of a registration; empty for an append of records.
  std::optional<rising_timeout> open_timeout;
  std::vector<batch::topic_record> records;
  bool last_append_ok = true;
  bool stopped = false;
};

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
  store.append(
      topic, records, std::move(options),
      [self = shared_from_this(),
       done = std::move(done)](absl::StatusOr<model::offset> end) mutable {
        if (self->stopped) {
          return;
        }
        bool retryable =
            absl::IsUnavailable(end.status()) || absl::IsUnknown(end.status());
        if (retryable) {
          if (self->last_append_ok) {
            self->last_append_ok = false;
            self->report.event(
                "writer", absl::StrCat("append_retried topic=", self->topic,
                                       " sequence=", self->sequence, " error=",
                                       runtime::error_message(end.status())));
          }
          self->report.count("vanillaladder_store_append_retries_total",
                             "topic", self->topic);
          if (self->open_timeout) {
            self->open_timeout->on_unanswered();
          }
          self->retry(std::move(done));
          return;
        }
        self->last_append_ok = true;
        done(std::move(end));
      });
}

record_writer::record_writer(http::event_loop& loop,
                             external::keyed_store& store, std::string topic,
                             std::string writer, model::epoch epoch,
                             std::function<bool()> may_write, reporter report)
    : impl_(std::make_shared<impl>(loop, store, std::move(topic),
                                   std::move(writer), epoch,
                                   std::move(may_write), report)) {}

record_writer::~record_writer() {
  impl_->stopped = true;
}

void record_writer::open(callback done) {
  impl_->records.clear();
  impl_->open_timeout.emplace(first_open_timeout, highest_open_timeout);
  impl_->send(std::move(done));
}

void record_writer::append(std::span<const batch::topic_record> records,
                           callback done) {
  impl_->records.assign(records.begin(), records.end());
  impl_->open_timeout.reset();
  ++impl_->sequence;
  impl_->send(std::move(done));
}

}  // namespace vanillaladder::dispatch
