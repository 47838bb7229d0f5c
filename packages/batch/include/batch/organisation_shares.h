#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "batch/job.h"
#include "model/types.h"

namespace vanillaladder::batch {

/// What an organisation may use.
struct organisation_policy {
  /// Share under full load, relative to the other organisations; also the jobs
  /// a second to which it is entitled.
  double weight = 1;
  /// What may run at a time across all workers; 0 means no limit.
  model::resources limit;

  bool operator==(const organisation_policy&) const = default;
};

/// Divides the capacity of the workers between organisations.
///
/// Answers a load in which one organisation sends many times its usual: the
/// others get their shares first, by weighted dominant resource fairness. What
/// they leave unused is lent and returns as runs end; nothing is stopped for
/// it. Does no I/O and reads no clock.
class organisation_shares {
 public:
  /// State of an organisation, for metrics.
  struct report {
    std::string name;
    model::resources usage;
    model::resources limit;
    /// Fraction of the capacity: in use of its dominant resource, and due.
    double dominant_share = 0;
    double fair_share = 0;
  };

  /// Sets the policies. An organisation that is no longer named keeps its last
  /// one, as its jobs may still run.
  void set_policies(const std::map<std::string, organisation_policy>& policies);
  /// @return whether organisations are configured.
  bool enabled() const { return !organisations_.empty(); }

  /// Counts a job that was accepted at `accepted_at`; jobs should be passed in
  /// the order of acceptance.
  /// @return whether it is one beyond the rate of its organisation.
  bool is_surplus(std::string_view name, unix_ms accepted_at);

  void add_run(std::string_view name, const model::resources& need);
  void remove_run(std::string_view name, const model::resources& need);
  /// @return whether `count` more tasks stay within the organisation's limit.
  bool is_within_limit(std::string_view name, const model::resources& need,
                       int count = 1) const;

  /// Computes the fair shares.
  /// @param capacity total of the workers.
  /// @param waiting organisations with waiting tasks.
  void begin_round(const model::resources& capacity,
                   std::span<const std::string_view> waiting);
  /// @return whether the organisation stays within its fair share with one more
  ///   task.
  bool is_entitled(std::string_view name, const model::resources& need) const;

  std::vector<report> reports() const;

 private:
  /// Seconds of jobs at its rate that an organisation may send at once: callers
  /// come unevenly.
  static constexpr double burst_seconds = 2;

  struct organisation {
    organisation_policy policy;
    model::resources usage;
    double fair_share = 0;
    /// Jobs that may be accepted before one is surplus, as of `refilled_at`.
    double tokens = 0;
    unix_ms refilled_at = 0;
  };

  double dominant_share(const model::resources& usage) const;
  const organisation* find(std::string_view name) const;

  std::map<std::string, organisation, std::less<>> organisations_;
  model::resources capacity_;
};

}  // namespace vanillaladder::batch
