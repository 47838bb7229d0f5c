#include "batch/lease_bound.h"

#include <algorithm>

namespace vanillaladder::batch {

void lease_bound::observe_clock(milliseconds clock, time_point received,
                                milliseconds longest) {
  if (!clock_known_) {
    // Holders before us were fenced off by the time of this answer.
    deadline_ = clock + longest;
  }
  clock_known_ = true;
  clock_ = clock;
  read_at_ = received;
  update();
}

void lease_bound::extend(milliseconds deadline) {
  deadline_ = std::max(deadline_, deadline);
  update();
}

milliseconds lease_bound::clock_at(time_point now) const {
  return clock_ + std::chrono::duration_cast<milliseconds>(now - read_at_);
}

void lease_bound::update() {
  if (!clock_known_) {
    return;
  }
  auto left = std::max(deadline_ - clock_, milliseconds(0));
  auto longest = static_cast<std::int64_t>(static_cast<double>(left.count()) /
                                           min_clock_rate);
  over_ = read_at_ + milliseconds(longest) + rounding;
}

}  // namespace vanillaladder::batch
