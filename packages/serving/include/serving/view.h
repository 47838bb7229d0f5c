#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/types.h"

/// Interactive path: request life cycle, proxying to backend servers, claims of
/// idempotency keys, and forwarding between daemons.
namespace vanillaladder::serving {

using model::milliseconds;

/// Kind of a request class, from `class.<name>.kind`.
enum class class_kind { interactive, urgent, batch };

/// Settings of one request class, from `class.<name>.*`.
struct class_config {
  milliseconds deadline_ms{1000};
  /// Wait after which a request has priority over the fair order. A fraction of
  /// it limits by how much other classes may exceed their share. Defaults to
  /// the deadline.
  std::optional<milliseconds> max_wait_ms;
  unsigned weight = 10;
  class_kind kind = class_kind::interactive;
};

/// Settings of one team, from `team.<name>.*`.
struct team_config {
  unsigned weight = 10;
};

/// Settings from `admission.*` and `queue.*`.
struct queue_config {
  unsigned max_queued = 10000;
  /// Weight of the expected cost in the order key; with 0, the key is the
  /// arrival time.
  unsigned alpha = 0;
};

/// Settings from `routing.*`.
struct routing_config {
  unsigned max_ejected_percent = 30;
  milliseconds probe_interval_ms{1000};
};

/// Settings from `retry.*`.
struct retry_config {
  unsigned budget_percent = 10;
  unsigned max_attempts = 3;
};

/// A backend server and the number of its slots granted to this daemon.
///
/// Servers without granted slots must be listed too: a request for a service
/// without any listed server is refused as `unknown-service`.
struct backend_grant {
  model::backend_info info;
  unsigned granted_slots = 0;
  /// False if the server is leaving or draining, or if its failure domain is
  /// out of service.
  bool accepts_work = true;
};

/// Free slots reported by a peer in its last heartbeat.
struct peer_load {
  model::instance_id member;
  /// Free slots by service.
  std::map<std::string, unsigned> free_slots;
};

/// Configuration and cluster state for the front end; a snapshot published by
/// the control plane.
struct serving_view {
  /// False if the control plane knows that its view is stale.
  bool fresh = false;
  /// Time from which the view is stale even without a later snapshot, so that
  /// nothing new is sent after a pause of the control thread or the process.
  /// Must be the time of the last verification plus `fresh_limit_ms`.
  model::time_point fresh_until = model::time_point::max();
  /// The daemon is about to stop: forwarded requests are refused and no free
  /// slots are reported, but callers are served until `begin_drain`.
  bool draining = false;

  std::map<model::class_id, class_config> classes;
  std::map<model::team_id, team_config> teams;
  queue_config queue;
  routing_config routing;
  retry_config retry;

  std::vector<backend_grant> backends;
  std::vector<peer_load> peers;
};

}  // namespace vanillaladder::serving
