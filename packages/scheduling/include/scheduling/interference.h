#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "model/types.h"

namespace vanillaladder::scheduling {

/// Number of tasks by class that run next to each other on a worker.
using class_counts = std::map<model::class_id, std::int64_t>;

/// Learns how much a class slows another down on the same worker.
///
/// The excess slowdown of a task is modelled as the sum over its neighbours of
/// a coefficient per pair of classes. Measurements correct the coefficients in
/// proportion to the error (normalized least mean squares).
class interference_model {
 public:
  struct estimate {
    /// Excess slowdown by one neighbour, in percent.
    double excess_percent = 0;
    /// 0 without measurements, close to 1 with many.
    double confidence = 0;
  };

  /// Takes one measurement.
  /// @param neighbours that ran next to it when it was measured, without the
  ///   measured task itself; the caller discards a measurement that is older
  ///   than the last change of the neighbours.
  /// @param slowdown_percent run time over the run time alone.
  void observe(const model::class_id& measured, const class_counts& neighbours,
               std::int64_t slowdown_percent);

  /// @return what is known about one pair.
  [[nodiscard]] estimate pair_estimate(const model::class_id& slowed,
                                       const model::class_id& by) const;

  /// @return expected slowdown in percent, each pair weighted with its
  ///   confidence; 100 if nothing is known.
  [[nodiscard]] double expected_slowdown(const model::class_id& slowed,
                                         const class_counts& neighbours) const;

 private:
  struct coefficient {
    double excess = 0;
    double samples = 0;
  };
  using pair_key = std::pair<model::class_id, model::class_id>;

  std::map<pair_key, coefficient> pairs_;
};

/// What to do about a worker whose tasks or services run too slowly.
enum class throttle_decision { none, throttle, unthrottle, evict };

/// Decides when to throttle and when to evict, for one worker.
///
/// Throttles after two consecutive measurements above the limit, evicts one
/// task if two further ones at the lowest throttle are still above it, and
/// lifts the throttle one step only after three measurements below half of the
/// allowed excess, so that it does not oscillate around the limit.
class throttle_controller {
 public:
  /// Takes a measurement made after the last change took effect.
  /// @return the next step.
  throttle_decision observe(std::int64_t slowdown_percent,
                            std::int64_t limit_percent);

  /// @return share of its processors that a throttled task may use; 100 if
  ///   not throttled.
  [[nodiscard]] int cpu_limit_percent() const { return percent_; }

 private:
  int percent_ = 100;
  int above_ = 0;
  int below_ = 0;
};

}  // namespace vanillaladder::scheduling
