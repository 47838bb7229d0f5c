#pragma once

#include <chrono>
#include <string>

#include "dispatch/reporter.h"
#include "model/types.h"

namespace vanillaladder::dispatch {

/// Measures how long one kind of work holds the event loop.
///
/// Every turn goes into the histogram `vanillaladder_loop_held_seconds`; a
/// long one is logged, since timers and answers wait behind it.
class work_timer {
 public:
  /// A third of the margin by which a leadership ends before others may claim.
  static constexpr std::chrono::milliseconds log_threshold{50};

  /// @param work label of the histogram and name in the log.
  work_timer(reporter report, std::string work);

  /// Ends the measurement when it goes out of scope.
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
  /// Takes a duration that was measured otherwise.
  void observe(model::time_point::duration held) const;

 private:
  reporter report_;
  std::string work_;
  runtime::latency_histogram* histogram_;
};

}  // namespace vanillaladder::dispatch
