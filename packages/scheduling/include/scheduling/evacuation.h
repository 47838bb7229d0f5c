#pragma once

#include <cstdint>
#include <map>

#include "model/types.h"

namespace vanillaladder::scheduling {

/// Limits how many checkpoints are started per second.
class checkpoint_rate_limiter {
 public:
  /// @param milli_per_second checkpoints per 1000 s; must be positive.
  void set_rate(std::int64_t milli_per_second);
  /// @return whether a checkpoint may start now; counts it if so.
  bool try_acquire(model::time_point now);
  /// @return when the next checkpoint may start.
  [[nodiscard]] model::time_point next_start(model::time_point now) const;

 private:
  model::milliseconds interval_{50};
  model::time_point free_at_;
};

/// Spreads the starts on workers of a domain that has come back.
///
/// The usable part of a returning worker grows linearly to its whole capacity,
/// so that not all of the waiting work moves there at once.
class capacity_ramp {
 public:
  static constexpr model::milliseconds duration{20'000};

  /// The worker may be used again.
  void begin_ramp(const model::worker_id& worker, model::time_point now);
  /// @return the usable part of the worker's capacity, 5 to 100 percent.
  [[nodiscard]] std::int64_t usable_percent(const model::worker_id& worker,
                                            model::time_point now) const;
  /// Forgets a worker that is gone or out again.
  void forget(const model::worker_id& worker) { since_.erase(worker); }

 private:
  std::map<model::worker_id, model::time_point> since_;
};

}  // namespace vanillaladder::scheduling
