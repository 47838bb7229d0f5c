#pragma once

#include <map>
#include <set>
#include <string>

#include "model/types.h"
#include "scheduling/request_state.h"

namespace vanillaladder::scheduling {

/// How a backend server may be used.
enum class availability {
  normal,
  /// Ejected; the next request probes it.
  probe,
  /// Failing, but the share of ejected servers is at its limit; to be used
  /// only when no other server has a free slot.
  last_resort,
  /// Ejected and no probe is due.
  none,
};

/// A change of a server's state, for counters and logs.
enum class health_change { none, ejected, readmitted };

struct health_config {
  unsigned max_ejected_percent = 30;
  model::milliseconds probe_interval_ms{1000};
};

/// Result of one attempt as far as it tells about the server.
struct health_sample {
  attempt_end end = attempt_end::responded;
  /// Whether the response had a status of 500 or above.
  bool server_error = false;
  /// Measured over expected duration, for responses.
  double slowdown = 1;
};

/// Ejects backend servers that fail or are far slower than expected, at most
/// a share of each service, and readmits them after a successful probe.
class backend_health {
 public:
  void configure(const health_config& config) { config_ = config; }

  /// Replaces the known servers; the state of those that stay is kept.
  /// @param services service of each server.
  void set_backends(const std::map<model::backend_id, std::string>& services);

  /// Records how an attempt ended.
  health_change record(const model::backend_id& id, const health_sample& sample,
                       model::time_point now);

  /// @param idempotent whether the request to be placed is idempotent; others
  ///   probe only servers that no idempotent request has probed for two more
  ///   intervals, since a failed probe leaves their outcome unknown.
  availability state(const model::backend_id& id, bool idempotent,
                     model::time_point now) const;

  /// Marks a probe as sent.
  void begin_probe(const model::backend_id& id, model::time_point now);

  /// @return the moving average of measured over expected duration.
  double slowdown(const model::backend_id& id) const;

  /// @return when the next probe is due, `max` if no server is ejected.
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
  void learn(entry& server, const health_sample& sample) const;

  health_config config_;
  std::map<model::backend_id, entry> entries_;
};

}  // namespace vanillaladder::scheduling
