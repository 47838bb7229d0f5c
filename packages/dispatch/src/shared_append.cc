#include "dispatch/shared_append.h"

#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "dispatch/clock.h"

namespace vanillaladder::dispatch {

struct shared_append::impl : std::enable_shared_from_this<shared_append::impl> {
  struct entry {
    batch::topic_record record;
    callback done;
  };

  impl(http::event_loop& loop_in, external::keyed_store& store_in,
       std::string topic_in)
      : loop(loop_in), store(store_in), topic(std::move(topic_in)) {}

  void send();
  void release(std::int64_t number);

  http::event_loop& loop;
  external::keyed_store& store;
  std::string topic;
  std::deque<entry> waiting;
  /// When each append under way was sent, by its number.
  std::map<std::int64_t, model::time_point> under_way;
  model::time_point answered_at;
  std::int64_t last = 0;
  /// The append that further records wait for; 0 is none.
  std::int64_t awaited = 0;
  bool stopped = false;
};

void shared_append::impl::send() {
  std::vector<batch::topic_record> records;
  std::vector<callback> callbacks;
  std::size_t bytes = 0;
  while (!waiting.empty()) {
    auto& next = waiting.front();
    bytes += next.record.key.size() + next.record.value.size();
    if (!records.empty() && bytes > most_bytes) {
      break;
    }
    records.push_back(std::move(next.record));
    callbacks.push_back(std::move(next.done));
    waiting.pop_front();
  }
  auto number = ++last;
  awaited = number;
  under_way.emplace(number, boot_now());
  loop.call_after(
      patience, [self = shared_from_this(), number] { self->release(number); });
  store.append(
      topic, records, {},
      [self = shared_from_this(), number, callbacks = std::move(callbacks)](
          const absl::StatusOr<model::offset>& end) {
        if (self->stopped) {
          return;
        }
        self->under_way.erase(number);
        if (end.ok()) {
          self->answered_at = boot_now();
        }
        for (const auto& done : callbacks) {
          done(end);
        }
        self->release(number);
      });
}

/// Lets the records go on that wait for an append.
void shared_append::impl::release(std::int64_t number) {
  if (stopped || awaited != number) {
    return;
  }
  awaited = 0;
  if (!waiting.empty()) {
    send();
  }
}

shared_append::shared_append(http::event_loop& loop,
                             external::keyed_store& store, std::string topic)
    : impl_(std::make_shared<impl>(loop, store, std::move(topic))) {}

shared_append::~shared_append() {
  impl_->stopped = true;
}

void shared_append::add(batch::topic_record record, callback done) {
  impl_->waiting.push_back({std::move(record), std::move(done)});
  if (impl_->awaited == 0) {
    impl_->send();
  }
}

std::optional<model::time_point> shared_append::waiting_since() const {
  if (impl_->under_way.empty()) {
    return std::nullopt;
  }
  return impl_->under_way.begin()->second;
}

model::time_point shared_append::answered_at() const {
  return impl_->answered_at;
}

}  // namespace vanillaladder::dispatch
