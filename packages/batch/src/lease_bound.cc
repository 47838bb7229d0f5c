#include "batch/lease_bound.h"

#include <algorithm>

namespace vanillaladder::batch {

void lease_bound::observe_clock(milliseconds clock, time_point received,
                                milliseconds longest) {
  if (!clock_known_) {
    // Earlier holders were fenced off before this response was sent.
    deadline_ = clock + longest;
  }
  clock_known_ = true;
  clock_ = clock;
  clock_read_at_ = received;
  update();
}

void lease_bound::extend(milliseconds deadline) {
  deadline_ = std::max(deadline_, deadline);
  update();
}

milliseconds lease_bound::clock_at(time_point now) const {
  return clock_ +
         std::chrono::duration_cast<milliseconds>(now - clock_read_at_);
}

void lease_bound::update() {
  if (!clock_known_) {
    return;
  }
  auto remaining = std::max(deadline_ - clock_, milliseconds(0));
  auto longest = static_cast<std::int64_t>(
      static_cast<double>(remaining.count()) / min_clock_rate);
  expires_at_ = clock_read_at_ + milliseconds(longest) + rounding_margin;
}

}  // namespace vanillaladder::batch
