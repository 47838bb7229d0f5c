#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/types.h"

/// Interactive path: request life cycle, proxying to backend servers, key
/// claims and forwarding between daemons.
namespace vanillaladder::serving {

using model::milliseconds;

/// Kind of a request class, from `class.<name>.kind`.
enum class class_kind { interactive, urgent, batch };

/// Settings of one request class, from `class.<name>.*`.
struct class_config {
  milliseconds deadline_ms{1000};
  /// Longest wait before a request goes ahead of the fair order; a part of it
  /// limits how far other classes may exceed their share. The deadline if
  /// absent.
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
  /// Weight of the expected cost in the queue order; 0 is arrival order.
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

/// One backend server and how many of its slots this daemon may use.
///
/// Also list servers without granted slots: a request for a service without
/// any listed server is refused as `unknown-service`.
struct backend_grant {
  model::backend_info info;
  unsigned granted_slots = 0;
  /// False when the server is leaving or draining, or its domain is out.
  bool accepts_work = true;
};

/// Free slots that a peer reported in its last heartbeat.
struct peer_load {
  model::instance_id member;
  /// Free slots by service.
  std::map<std::string, unsigned> free_slots;
};

/// What the front knows; a plain snapshot pushed by the control side.
struct serving_view {
  /// False when the control side knows that its view is stale.
  bool fresh = false;
  /// The view counts as stale from this point on even if no later snapshot
  /// arrives, so that a paused control thread or process sends nothing new.
  /// Set it to the time of the last proof plus `fresh_limit_ms`.
  model::time_point fresh_until = model::time_point::max();
  /// The daemon is to be stopped: forwarded requests are refused and no free
  /// slots are reported, while callers are still served until `begin_drain`.
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
