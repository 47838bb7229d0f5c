#pragma once

#include <map>
#include <set>
#include <string>

#include "model/types.h"
#include "scheduling/request_state.h"

namespace vanillaladder::scheduling {

/// Eligibility of a backend server for requests.
enum class availability {
  normal,
  /// Ejected, and the next request is sent to it as a probe.
  probe,
  /// Failing, but not ejected because the share of ejected servers is at its
  /// limit; used only when no other server has a free slot.
  last_resort,
  /// Ejected, and no probe is due.
  none,
};

/// Change of a server's health state, for metrics and logs.
enum class health_change { none, ejected, readmitted };

struct health_config {
  unsigned max_ejected_percent = 30;
  model::milliseconds probe_interval_ms{1000};
};

/// Outcome of one attempt, as evidence about the server's health.
struct health_sample {
  attempt_end end = attempt_end::responded;
  /// Whether the response had a status of 500 or above.
  bool server_error = false;
  /// Ratio of measured to expected duration; set for responses only.
  double slowdown = 1;
};

/// Outlier detection for backend servers.
///
/// Ejects servers that fail or are far slower than expected, up to a limited
/// share of each service, and readmits them after a successful probe.
class backend_health {
 public:
  void configure(const health_config& config) { config_ = config; }

  /// Replaces the set of servers; those already known keep their state.
  /// @param services the service of each server.
  void set_backends(const std::map<model::backend_id, std::string>& services);

  /// Records the outcome of an attempt.
  /// @return whether the server was ejected or readmitted as a result.
  health_change record(const model::backend_id& id, const health_sample& sample,
                       model::time_point now);

  /// @param idempotent whether the request to be sent is idempotent. Other
  ///   requests probe a server only if no idempotent one has probed it for two
  ///   further intervals, since a failed probe leaves their outcome unknown.
  availability state(const model::backend_id& id, bool idempotent,
                     model::time_point now) const;

  /// Records that a probe was sent to the server.
  void begin_probe(const model::backend_id& id, model::time_point now);

  /// @return the moving average of the ratio of measured to expected duration.
  double slowdown(const model::backend_id& id) const;

  /// @return when the next probe is due; `max` if no ejected server awaits one.
  model::time_point next_probe() const;

 private:
  struct entry {
    std::string service;
    unsigned failure_points = 0;
    double slowdown = 1;
    unsigned samples = 0;
    bool failing = false;
    bool ejected = false;
    bool probing = false;
    model::time_point next_probe{};
  };

  bool may_eject(const std::string& service) const;
  void update(entry& server, const health_sample& sample) const;

  health_config config_;
  std::map<model::backend_id, entry> entries_;
};

}  // namespace vanillaladder::scheduling
