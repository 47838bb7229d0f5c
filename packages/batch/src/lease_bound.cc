#include "batch/lease_bound.h"

#include <algorithm>

namespace vanillaladder::batch {

/// @return the time that may pass locally while the worker's clock advances.
milliseconds lease_bound::longest_duration(milliseconds on_worker_clock) {
  return milliseconds(static_cast<std::int64_t>(
             static_cast<double>(on_worker_clock.count()) / min_clock_rate)) +
         rounding_margin;
}

void lease_bound::observe_clock(milliseconds clock, time_point received,
                                milliseconds longest) {
  if (!deadline_known_) {
    // Earlier holders were fenced off before this response was sent.
    deadline_ = clock + longest;
  }
  deadline_known_ = true;
  clock_known_ = true;
  longest_of_later_process_.reset();
  clock_ = clock;
  clock_read_at_ = received;
  update();
}

void lease_bound::extend(milliseconds deadline, time_point may_arrive_until) {
  deadline_ = std::max(deadline_, deadline);
  may_arrive_until_ = std::max(may_arrive_until_, may_arrive_until);
  update();
}

void lease_bound::extend_unanswered(time_point may_act_until) {
  may_act_until_ = std::max(may_act_until_, may_act_until);
}

void lease_bound::expect_restart(milliseconds longest) {
  clock_known_ = false;
  longest_of_later_process_ = longest;
}

time_point lease_bound::later_process_expires_at() const {
  return longest_of_later_process_
             ? expires_at_after_restart(*longest_of_later_process_)
             : expires_at_;
}

time_point lease_bound::expires_at_after_restart(milliseconds longest) const {
  return std::max(expires_at_, std::max(may_arrive_until_, may_act_until_) +
                                   longest_duration(longest));
}

time_point lease_bound::bound_for_successor(time_point now,
                                            milliseconds longest,
                                            milliseconds late) const {
  auto bound = expires_at_after_restart(longest);
  if (now <= may_arrive_until_) {
    bound =
        std::max(bound, may_arrive_until_ + late + longest_duration(longest));
  }
  return bound;
}

void lease_bound::inherit_bound_after_restart(time_point bound,
                                              milliseconds longest) {
  extend_unanswered(bound - longest_duration(longest));
}

void lease_bound::restart(milliseconds clock, time_point received,
                          milliseconds given, milliseconds longest) {
  auto last_arrival = may_arrive_until_;
  *this = lease_bound();
  bool may_be_longer = last_arrival > received - longest_duration(clock);
  if (!may_be_longer) {
    observe_clock(clock, received, given);
    return;
  }
  may_arrive_until_ = last_arrival;
  auto until_arrival = std::chrono::ceil<milliseconds>(last_arrival - received);
  observe_clock(clock, received,
                longest + std::max(until_arrival, milliseconds(0)));
  settled_at_ = expires_at_ - longest_duration(given);
}

milliseconds lease_bound::clock_at(time_point now) const {
  return clock_ +
         std::chrono::duration_cast<milliseconds>(now - clock_read_at_);
}

void lease_bound::update() {
  if (!deadline_known_) {
    return;
  }
  auto remaining = std::max(deadline_ - clock_, milliseconds(0));
  expires_at_ = clock_read_at_ + longest_duration(remaining);
}

}  // namespace vanillaladder::batch
