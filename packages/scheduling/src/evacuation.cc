#include "scheduling/evacuation.h"

#include <algorithm>

namespace vanillaladder::scheduling {

void checkpoint_rate_limiter::set_rate(std::int64_t milli_per_second) {
  interval_ = model::milliseconds(1'000'000 / milli_per_second);
}

bool checkpoint_rate_limiter::try_acquire(model::time_point now) {
  if (now < next_start_)
    return false;
  next_start_ = now + interval_;
  return true;
}

model::time_point checkpoint_rate_limiter::next_start(
    model::time_point now) const {
  return std::max(now, next_start_);
}

void capacity_ramp::begin_ramp(const model::worker_id& worker,
                               model::time_point now) {
  started_at_[worker] = now;
}

std::int64_t capacity_ramp::usable_percent(const model::worker_id& worker,
                                           model::time_point now) const {
  const auto found = started_at_.find(worker);
  if (found == started_at_.end() || now - found->second >= duration)
    return 100;
  return std::max<std::int64_t>(5, (now - found->second) * 100 / duration);
}

}  // namespace vanillaladder::scheduling
