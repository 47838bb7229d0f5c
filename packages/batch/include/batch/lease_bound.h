#pragma once

#include <optional>

#include "batch/job.h"

namespace vanillaladder::batch {

/// Upper bound on the time at which all leases on a worker have expired.
///
/// A lease expires by the worker's own clock, which may run slow.
class lease_bound {
 public:
  /// Lowest rate of a worker's clock relative to the local clock, as guaranteed
  /// by the platform.
  static constexpr double min_clock_rate = 0.98;
  /// Covers rounding to whole milliseconds on both sides.
  static constexpr milliseconds rounding_margin{50};

  /// @param expires_at time by which all leases of earlier holders have
  ///   expired.
  explicit lease_bound(time_point expires_at = {}) : expires_at_(expires_at) {}

  /// Records the worker's clock from a response.
  /// @param longest the longest lease that an earlier holder may have granted,
  ///   starting at the time of this response.
  void observe_clock(milliseconds clock, time_point received,
                     milliseconds longest);
  /// Records a lease until `deadline` on the worker's clock. Must also be
  /// called for a lease order that got no response.
  /// @param may_arrive_until when the order is answered or given up at the
  ///   latest; it may reach a process that has started on the worker until
  ///   then.
  void extend(milliseconds deadline, time_point may_arrive_until);
  /// Records that a lease order got no response.
  /// @param may_act_until when the order takes effect at the latest; until
  ///   then, a process that has started on the worker may execute it.
  void extend_unanswered(time_point may_act_until);
  /// Marks the clock as unknown until the next response, as a later process is
  /// said to have started on the worker. Leases granted before still count.
  /// @param longest the longest lease that a worker grants; the later process
  ///   takes a deadline by the clock of its predecessor for it.
  void expect_restart(milliseconds longest);
  /// Records the first response of a restarted worker, which holds no lease of
  /// before. An order sent before it was known may have reached it with a
  /// deadline by the clock of its predecessor, which is usually so far ahead
  /// that the worker grants the longest lease.
  /// @param given the longest lease that leaders order.
  /// @param longest the longest lease that a worker grants.
  void restart(milliseconds clock, time_point received, milliseconds given,
               milliseconds longest);

  bool clock_known() const { return clock_known_; }
  /// @return the time by which the worker's lease is one that leaders order,
  ///   not a longer one granted at its restart.
  time_point settled_at() const { return settled_at_; }
  /// @return the worker's clock at `now`, assuming that it runs at the same
  ///   rate as the local clock.
  milliseconds clock_at(time_point now) const;
  /// @return the time after which no lease on the worker is valid. A later
  ///   process that is expected, but has not answered, counts from
  ///   `later_process_expires_at` on.
  time_point expires_at() const { return expires_at_; }
  /// @return the time after which no lease is valid on the worker, whether its
  ///   process is the one that answered last or a later one that has got orders
  ///   meant for it.
  time_point later_process_expires_at() const;
  /// @return the same if a later process is not known, but has started.
  /// @param longest the longest lease that a worker grants.
  time_point expires_at_after_restart(milliseconds longest) const;
  /// @return the same for a successor, which won't know whether calls on their
  ///   way get a response.
  /// @param late how long a call may take effect after it was given up.
  time_point bound_for_successor(time_point now, milliseconds longest,
                                 milliseconds late) const;
  /// Takes over that bound from an earlier holder, whose orders are the only
  /// ones that a later process may have got.
  void inherit_bound_after_restart(time_point bound, milliseconds longest);

 private:
  static milliseconds longest_duration(milliseconds on_worker_clock);
  void update();

  bool clock_known_ = false;
  /// Whether a response has told the clock and thus what `deadline_` means.
  bool deadline_known_ = false;
  milliseconds clock_{0};
  time_point clock_read_at_;
  milliseconds deadline_{0};
  time_point expires_at_;
  time_point may_arrive_until_;
  /// The same for orders without a response.
  time_point may_act_until_;
  /// Longest lease of a later process, if one is expected.
  std::optional<milliseconds> longest_of_later_process_;
  time_point settled_at_;
};

}  // namespace vanillaladder::batch
