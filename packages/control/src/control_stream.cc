#include "control/control_stream.h"

#include <absl/strings/str_cat.h>

#include <chrono>
#include <utility>

#include "control/detail/log_read.h"

namespace vanillaladder::control {
namespace {

using coordination::append_outcome;
using model::milliseconds;
using model::time_point;
using clock = std::chrono::steady_clock;

constexpr char stream_name[] = "control";
constexpr std::size_t max_read_records = 512;
constexpr milliseconds max_read_wait{500};
constexpr milliseconds retry_delay{250};
/// A read takes at most `max_read_wait` plus a short response time.
constexpr milliseconds reachability_timeout{1500};
/// Number of records kept for peers that cannot reach the log.
constexpr std::size_t max_recent_records = 2048;

}  // namespace

control_stream::control_stream(http::event_loop& loop,
                               external::log_service& log,
                               runtime::metrics& metrics, caller_identity self,
                               hooks callbacks)
    : loop_(loop),
      log_(log),
      metrics_(metrics),
      hooks_(std::move(callbacks)),
      tracker_(self.id, self.incarnation) {}

control_stream::~control_stream() {
  *alive_ = false;
}

void control_stream::start() {
  read_next();
}

void control_stream::read_next() {
  auto sent = clock::now();
  log_.read(stream_name, reader_.next_offset(), max_read_records, max_read_wait,
            [this, sent, alive = alive_](auto result) {
              if (*alive) {
                on_read(sent, std::move(result));
              }
            });
}

void control_stream::on_read(time_point sent,
                             absl::StatusOr<external::read_result> result) {
  if (!result.ok()) {
    metrics_.counter("vanillaladder_log_failures_total", "call", "read")
        .increment();
    if (!std::exchange(log_failed_, true)) {
      logger_.warn(
          absl::StrCat("log not reachable: ", result.status().message()));
    }
    loop_.call_after(retry_delay, [this, alive = alive_] {
      if (*alive) {
        read_next();
      }
    });
    return;
  }
  if (std::exchange(log_failed_, false)) {
    logger_.info("log reachable again");
  }
  last_read_ = clock::now();
  bool had_state = reader_.has_state();
  auto read = detail::to_read_result(*std::move(result));
  auto records = reader_.on_read(read);
  for (const auto& stored : read.records) {
    add_recent(stored.offset, stored.bytes);
  }
  handle_applied(records);
  if (!had_state && reader_.has_state()) {
    hooks_.on_changed();
  }
  tracker_.on_read_position(reader_.next_offset(), clock::now());
  if (reader_.status() == coordination::reader_status::log_moved_back) {
    logger_.error("log ends below the offsets that were already read");
  }
  if (at_end()) {
    publish_snapshot_if_due();
    hooks_.on_stream_end(sent, reader_.next_offset());
  }
  bool moved_back =
      reader_.status() == coordination::reader_status::log_moved_back;
  loop_.call_after(moved_back ? retry_delay : milliseconds(0),
                   [this, alive = alive_] {
                     if (*alive) {
                       read_next();
                     }
                   });
}

void control_stream::handle_applied(
    const std::vector<applied_record>& records) {
  for (const auto& record : records) {
    complete_publish(record);
  }
  if (!records.empty()) {
    hooks_.on_changed();
  }
}

void control_stream::add_recent(model::offset offset,
                                const std::string& bytes) {
  if (!recent_.empty() && offset != recent_.back().offset + 1) {
    if (offset <= recent_.back().offset) {
      return;
    }
    recent_.clear();
  }
  wire::log_record record;
  record.offset = offset;
  record.data = bytes;
  recent_.push_back(std::move(record));
  if (recent_.size() > max_recent_records) {
    recent_.pop_front();
  }
}

void control_stream::complete_publish(const applied_record& record) {
  bool duplicate =
      record.result.verdict == coordination::control_verdict::duplicate_record;
  auto resolution = tracker_.on_read(record.offset, record.record.id,
                                     record.result.valid(), duplicate);
  if (!resolution) {
    return;
  }
  auto found = pending_publishes_.find(resolution->id);
  if (found == pending_publishes_.end()) {
    return;
  }
  auto done = std::move(found->second.done);
  pending_publishes_.erase(found);
  done({resolution->outcome, record.result, record.offset});
}

void control_stream::publish(coordination::control_body body,
                             time_point deadline,
                             std::function<void(publish_result)> done) {
  coordination::control_record record{tracker_.next_id(), std::move(body)};
  auto now = clock::now();
  pending_publishes_[record.id] = {deadline, std::move(done)};
  tracker_.add(record.id, coordination::encode(record), now);
  poll(now);
}

void control_stream::poll(time_point now) {
  abandon_overdue(now);
  auto batch = tracker_.poll(now);
  if (!batch) {
    return;
  }
  log_.append(
      stream_name, batch->records,
      [this, number = batch->number, alive = alive_](auto result) {
        if (!*alive) {
          return;
        }
        if (result.ok()) {
          tracker_.on_acknowledged(number, *result);
          return;
        }
        metrics_.counter("vanillaladder_log_failures_total", "call", "append")
            .increment();
        tracker_.on_failed(number, clock::now());
      });
}

void control_stream::abandon_overdue(time_point now) {
  for (auto it = pending_publishes_.begin(); it != pending_publishes_.end();) {
    if (it->second.deadline > now) {
      ++it;
      continue;
    }
    auto resolution = tracker_.abandon(it->first);
    auto done = std::move(it->second.done);
    it = pending_publishes_.erase(it);
    publish_result result;
    if (resolution) {
      result.outcome = resolution->outcome;
    }
    done(result);
  }
}

void control_stream::publish_snapshot_if_due() {
  if (snapshot_pending_ || !reader_.should_snapshot()) {
    return;
  }
  snapshot_pending_ = true;
  publish(state().to_snapshot(), clock::now() + milliseconds(10000),
          [this](const publish_result&) { snapshot_pending_ = false; });
}

void control_stream::on_relayed_records(
    const std::vector<wire::log_record>& records) {
  std::vector<coordination::stored_record> stored;
  stored.reserve(records.size());
  for (const auto& record : records) {
    stored.push_back({record.offset, record.data});
  }
  auto applied_records = reader_.on_relayed_records(stored);
  for (const auto& record : records) {
    if (record.offset < reader_.next_offset()) {
      add_recent(record.offset, record.data);
    }
  }
  handle_applied(applied_records);
}

std::vector<wire::log_record> control_stream::recent_records(
    model::offset first, std::size_t limit) const {
  std::vector<wire::log_record> records;
  if (recent_.empty() || first < recent_.front().offset ||
      first > recent_.back().offset) {
    return records;
  }
  auto start = static_cast<std::size_t>(first - recent_.front().offset);
  for (auto n = start; n < recent_.size() && records.size() < limit; ++n) {
    records.push_back(recent_[n]);
  }
  return records;
}

bool control_stream::log_reachable(time_point now) const {
  return !log_failed_ && now - last_read_ < reachability_timeout;
}

}  // namespace vanillaladder::control
