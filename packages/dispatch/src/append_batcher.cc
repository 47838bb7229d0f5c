#include "dispatch/append_batcher.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "dispatch/clock.h"

namespace vanillaladder::dispatch {

struct append_batcher::impl
    : std::enable_shared_from_this<append_batcher::impl> {
  struct entry {
    batch::topic_record record;
    callback done;
  };

  impl(http::event_loop& loop_in, external::keyed_store& store_in,
       std::string topic_in, const external::store_limits& limits)
      : loop(loop_in),
        store(store_in),
        topic(std::move(topic_in)),
        max_bytes(std::min(max_batch_bytes, limits.max_call_bytes)) {}

  void send();
  void unblock(std::int64_t number);

  http::event_loop& loop;
  external::keyed_store& store;
  std::string topic;
  std::size_t max_bytes;
  std::deque<entry> queued;
  /// Sending times of the appends in flight, by their numbers.
  std::map<std::int64_t, model::time_point> in_flight;
  model::time_point last_success_at;
  std::int64_t last_number = 0;
  /// Number of the append that queued records wait for; 0 if none.
  std::int64_t blocking_number = 0;
  bool stopped = false;
};

void append_batcher::impl::send() {
  std::vector<batch::topic_record> records;
  std::vector<callback> callbacks;
  std::size_t bytes = 0;
  while (!queued.empty()) {
    auto& next = queued.front();
    bytes += external::record_bytes(next.record);
    if (!records.empty() && bytes > max_bytes) {
      break;
    }
    records.push_back(std::move(next.record));
    callbacks.push_back(std::move(next.done));
    queued.pop_front();
  }
  auto number = ++last_number;
  blocking_number = number;
  in_flight.emplace(number, boot_now());
  loop.call_after(max_append_wait, [self = shared_from_this(), number] {
    self->unblock(number);
  });
  store.append(
      topic, records, {},
      [self = shared_from_this(), number, callbacks = std::move(callbacks)](
          const absl::StatusOr<model::offset>& end) {
        if (self->stopped) {
          return;
        }
        self->in_flight.erase(number);
        if (end.ok()) {
          self->last_success_at = boot_now();
        }
        for (const auto& done : callbacks) {
          done(end);
        }
        self->unblock(number);
      });
}

/// Sends the records that wait for append `number`.
void append_batcher::impl::unblock(std::int64_t number) {
  if (stopped || blocking_number != number) {
    return;
  }
  blocking_number = 0;
  if (!queued.empty()) {
    send();
  }
}

append_batcher::append_batcher(http::event_loop& loop,
                               external::keyed_store& store, std::string topic,
                               const external::store_limits& limits)
    : impl_(std::make_shared<impl>(loop, store, std::move(topic), limits)) {}

append_batcher::~append_batcher() {
  impl_->stopped = true;
}

void append_batcher::add(batch::topic_record record, callback done) {
  impl_->queued.push_back({std::move(record), std::move(done)});
  if (impl_->blocking_number == 0) {
    impl_->send();
  }
}

std::optional<model::time_point> append_batcher::oldest_append_sent_at() const {
  if (impl_->in_flight.empty()) {
    return std::nullopt;
  }
  return impl_->in_flight.begin()->second;
}

model::time_point append_batcher::last_success_at() const {
  return impl_->last_success_at;
}

}  // namespace vanillaladder::dispatch
