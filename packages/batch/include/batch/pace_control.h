#pragma once

#include "batch/job.h"

namespace vanillaladder::batch {

/// Sets the share at which the filling tasks of one worker may work, by the
/// response times of the serving tasks beside them.
///
/// A fallback: tasks that are known to press are moved instead.
class pace_control {
 public:
  /// Share of its target above which a serving task needs relief; below 1, as
  /// reports are rough and a little late.
  static constexpr double slow_down_threshold = 0.95;
  /// Share of the target below which filling tasks work at full speed.
  static constexpr double speed_up_threshold = 0.8;
  /// How long a serving task may be late before filling tasks slow down, and
  /// again before they stand still. With reports each half second that is done
  /// well within the 4 s that the users allow.
  static constexpr milliseconds reaction_delay{700};
  static constexpr int slow_percent = 30;

  /// @param pressure highest tail response time of a serving task as a share
  ///   of its target; 0 without serving tasks.
  /// @return the share in percent at which filling tasks may work.
  int update(double latency_ratio, time_point now);

  int percent() const { return percent_; }
  double latency_ratio() const { return latency_ratio_; }

 private:
  int percent_ = 100;
  double latency_ratio_ = 0;
  bool is_above_threshold_ = false;
  time_point changed_at_;
};

}  // namespace vanillaladder::batch
