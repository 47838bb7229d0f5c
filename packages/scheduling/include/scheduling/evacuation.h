#pragma once

#include <cstdint>
#include <map>

#include "model/types.h"

namespace vanillaladder::scheduling {

/// Limits the rate at which checkpoints are started.
class checkpoint_rate_limiter {
 public:
  /// @param milli_per_second checkpoints per 1000 s; must be positive.
  void set_rate(std::int64_t milli_per_second);
  /// Counts one checkpoint against the rate, if it may start now.
  /// @return whether a checkpoint may start now.
  bool try_acquire(model::time_point now);
  /// @return the earliest time at which a checkpoint may start.
  [[nodiscard]] model::time_point next_start(model::time_point now) const;

 private:
  model::milliseconds interval_{50};
  model::time_point next_start_;
};

/// Ramps up the workers of a failure domain that is in service again.
///
/// The usable share of such a worker's capacity grows linearly to 100% over
/// `duration`, so that pending tasks do not all move there at once.
class capacity_ramp {
 public:
  static constexpr model::milliseconds duration{20'000};

  /// Starts the ramp of a worker that may be used again.
  void begin_ramp(const model::worker_id& worker, model::time_point now);
  /// @return the usable share of the worker's capacity, 5 to 100 percent.
  [[nodiscard]] std::int64_t usable_percent(const model::worker_id& worker,
                                            model::time_point now) const;
  /// Removes a worker that is gone or whose domain is out again.
  void forget(const model::worker_id& worker) { started_at_.erase(worker); }

 private:
  std::map<model::worker_id, model::time_point> started_at_;
};

}  // namespace vanillaladder::scheduling
