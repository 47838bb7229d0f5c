#pragma once

#include <cstdint>

#include "batch/job.h"

namespace vanillaladder::batch {

/// Sets the share at which the filling tasks of one worker may work, by the
/// response times of the serving tasks beside them.
class pace_control {
 public:
  /// Share of a serving task's target above which filling tasks slow down.
  /// Below 1, since reports lag by half a second.
  static constexpr double slow_above = 0.9;
  /// Share of the target below which they may speed up again.
  static constexpr double speed_below = 0.7;
  /// Reports cover the last half second; a change shows only after that.
  static constexpr milliseconds settle{600};
  static constexpr double slow_factor = 0.3;
  static constexpr int speed_step = 50;
  /// Below this share a filling task stands still.
  static constexpr int least_percent = 10;

  /// @param pressure highest tail response time of a serving task as a share
  ///   of its target; 0 without serving tasks.
  /// @return the share in percent at which filling tasks may work.
  int update(double pressure, time_point now);

  int percent() const { return percent_; }
  double pressure() const { return pressure_; }

 private:
  int percent_ = 100;
  double pressure_ = 0;
  time_point changed_at_;
};

}  // namespace vanillaladder::batch
