#pragma once

#include "batch/job.h"

namespace vanillaladder::batch {

/// Bounds the time at which all leases on a worker have certainly ended.
///
/// A lease ends at a time on the worker's own clock, which may run slow.
class lease_bound {
 public:
  /// Slowest a worker's clock may run against ours; the platform's figure.
  static constexpr double min_clock_rate = 0.98;
  /// Covers the rounding of times to whole milliseconds on both sides.
  static constexpr milliseconds rounding{50};

  /// @param over a time after which every lease of earlier holders has ended.
  explicit lease_bound(time_point over = {}) : over_(over) {}

  /// Notes the worker's clock as read from an answer.
  /// @param longest the longest lease that an earlier holder may have given,
  ///   from the time of this answer.
  void observe_clock(milliseconds clock, time_point received,
                     milliseconds longest);
  /// Notes a lease until `deadline` on the worker's clock, also one whose
  /// order was not answered.
  void extend(milliseconds deadline);

  bool clock_known() const { return clock_known_; }
  /// @return the worker's clock at `now` if it runs at our speed.
  milliseconds clock_at(time_point now) const;
  /// @return the time after which no lease on the worker is left.
  time_point over() const { return over_; }

 private:
  void update();

  bool clock_known_ = false;
  milliseconds clock_{0};
  time_point read_at_;
  milliseconds deadline_{0};
  time_point over_;
};

}  // namespace vanillaladder::batch
