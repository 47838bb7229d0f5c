#pragma once

#include <chrono>

#include "batch/job.h"

namespace vanillaladder::batch {

/// Adapts the number of work units per turn of the event loop so that a turn
/// takes about the same time on fast and slow processors.
///
/// Estimates the cost of a unit from the previous turn. Reads no clock.
class work_budget {
 public:
  /// Maximum duration of a turn. A lease of 1.5 s is renewed every 450 ms, and
  /// reports and requests wait until the turn ends.
  static constexpr milliseconds target{30};
  /// Units of the first turn. Examining a worker takes 1 microsecond on the
  /// slowest instances.
  static constexpr int initial_units = 8000;
  static constexpr int min_units = 2000;
  static constexpr int max_units = 200000;

  /// @return units that the next turn may use.
  int units() const { return units_; }
  /// Records a completed turn.
  /// @param spent units used.
  /// @param elapsed duration of the turn.
  void observe(int spent, std::chrono::nanoseconds elapsed);

 private:
  int units_ = initial_units;
};

}  // namespace vanillaladder::batch
