#pragma once

#include <chrono>

#include "batch/job.h"

namespace vanillaladder::batch {

/// Sizes turns of work so that each takes about as long on any processor.
///
/// Learns what a unit of work costs from the turns before. Reads no clock.
class work_budget {
 public:
  /// Longest that a turn should take: a lease of 1.5 s is renewed every 450 ms,
  /// and reports and callers wait behind each turn.
  static constexpr milliseconds target{30};
  /// Units of the first turn; a look at a worker takes 1 microsecond on the
  /// weakest instances.
  static constexpr int initial_units = 8000;
  static constexpr int min_units = 2000;
  static constexpr int max_units = 200000;

  /// @return units that the next turn may spend.
  int units() const { return units_; }
  /// @param spent units of a turn.
  /// @param held how long it took.
  void observe(int spent, std::chrono::nanoseconds elapsed);

 private:
  int units_ = initial_units;
};

}  // namespace vanillaladder::batch
