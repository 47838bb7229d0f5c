#pragma once

#include <chrono>
#include <string>

#include "dispatch/reporter.h"
#include "model/types.h"

namespace vanillaladder::dispatch {

/// Measures how long one kind of work blocks the event loop.
///
/// Every duration is recorded in the histogram
/// `vanillaladder_loop_held_seconds`; a long one is also logged, since it
/// delays timers and answers.
class work_timer {
 public:
  /// Durations from here on are logged. A third of
  /// `leader_lease::safety_margin`.
  static constexpr std::chrono::milliseconds log_threshold{50};

  /// @param work kind of work, as histogram label and in the log.
  work_timer(reporter report, std::string work);

  /// Measures until the end of its scope.
  class scope {
   public:
    explicit scope(const work_timer& timer);
    ~scope();
    scope(const scope&) = delete;
    scope& operator=(const scope&) = delete;

   private:
    const work_timer* timer_;
    model::time_point started_at_;
  };

  [[nodiscard]] scope begin() const { return scope(*this); }
  /// Records a duration measured by the caller.
  void observe(model::time_point::duration held) const;

 private:
  reporter report_;
  std::string work_;
  runtime::latency_histogram* histogram_;
};

}  // namespace vanillaladder::dispatch
