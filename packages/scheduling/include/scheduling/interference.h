#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "model/types.h"

namespace vanillaladder::scheduling {

/// Number of tasks on a worker, by class.
using class_counts = std::map<model::class_id, std::int64_t>;

/// Estimates how much one class slows down another on the same worker.
///
/// Models the excess slowdown of a task as the sum, over its neighbours, of a
/// coefficient for the pair of classes. Each measurement corrects the
/// coefficients in proportion to the prediction error (normalized least mean
/// squares).
class interference_model {
 public:
  struct estimate {
    /// Excess slowdown caused by one neighbour, in percent.
    double excess_percent = 0;
    /// 0 without measurements; approaches 1 as they accumulate.
    double confidence = 0;
  };

  /// Updates the model with one measurement.
  /// @param neighbours tasks on the worker at the time of the measurement,
  ///   without the measured task. The caller discards measurements that are
  ///   older than the last change of the neighbours.
  /// @param slowdown_percent run time in percent of the run time without
  ///   neighbours.
  void observe(const model::class_id& measured, const class_counts& neighbours,
               std::int64_t slowdown_percent);

  /// @return the slowdown of `affected` caused by one task of `neighbour`.
  [[nodiscard]] estimate pair_estimate(const model::class_id& affected,
                                       const model::class_id& neighbour) const;

  /// @return the expected run time in percent of the run time without
  ///   neighbours, with each pair weighted by its confidence; 100 without
  ///   measurements.
  [[nodiscard]] double expected_slowdown(const model::class_id& affected,
                                         const class_counts& neighbours) const;

 private:
  struct coefficient {
    double excess = 0;
    double samples = 0;
  };
  using pair_key = std::pair<model::class_id, model::class_id>;

  std::map<pair_key, coefficient> pairs_;
};

/// Countermeasure for a worker whose tasks or services run too slowly.
enum class throttle_decision { none, throttle, unthrottle, evict };

/// Decides when tasks of one worker are throttled or evicted.
///
/// Throttles one step after two consecutive measurements above the limit, and
/// evicts a task if two more are above it at the lowest CPU limit. Unthrottles
/// one step only after three consecutive measurements below half of the
/// allowed excess; this hysteresis prevents oscillation around the limit.
class throttle_controller {
 public:
  /// Evaluates a measurement made after the last change took effect.
  /// @return the countermeasure to apply.
  throttle_decision observe(std::int64_t slowdown_percent,
                            std::int64_t limit_percent);

  /// @return the share of its processors that a throttled task may use, in
  ///   percent; 100 if not throttled.
  [[nodiscard]] int cpu_limit_percent() const { return cpu_limit_percent_; }

 private:
  int cpu_limit_percent_ = 100;
  int samples_above_ = 0;
  int samples_below_ = 0;
};

}  // namespace vanillaladder::scheduling
