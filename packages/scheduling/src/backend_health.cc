#include "scheduling/backend_health.h"

#include <algorithm>

namespace vanillaladder::scheduling {
namespace {

// Failure points at which a server is ejected: two refused connections or
// timeouts, three closed connections or explicit refusals, or six server errors
// in a row. Refused connections weigh most because they are rarely transient;
// server errors weigh least because the request may have caused them.
constexpr unsigned ejection_points = 6;
constexpr double slowdown_limit = 5;
constexpr double slowdown_smoothing = 0.1;
constexpr unsigned min_slowdown_samples = 10;
constexpr int non_idempotent_delay_intervals = 2;

unsigned points_of(const health_sample& sample) {
  switch (sample.end) {
    case attempt_end::responded:
      return sample.server_error ? 1 : 0;
    case attempt_end::not_sent:
    case attempt_end::timed_out:
      return 3;
    case attempt_end::closed:
    case attempt_end::refused:
      return 2;
    case attempt_end::abandoned:
      return 0;
  }
  return 0;
}

}  // namespace

void backend_health::set_backends(
    const std::map<model::backend_id, std::string>& services) {
  std::erase_if(entries_, [&](const auto& item) {
    return !services.contains(item.first);
  });
  for (const auto& [id, service] : services) {
    entries_[id].service = service;
  }
}

bool backend_health::may_eject(const std::string& service) const {
  std::size_t servers = 0;
  std::size_t ejected = 0;
  for (const auto& [id, server] : entries_) {
    if (server.service == service) {
      ++servers;
      ejected += server.ejected ? 1 : 0;
    }
  }
  return (ejected + 1) * 100 <= servers * config_.max_ejected_percent;
}

void backend_health::update(entry& server, const health_sample& sample) const {
  unsigned points = points_of(sample);
  if (sample.end == attempt_end::responded) {
    server.slowdown += slowdown_smoothing * (sample.slowdown - server.slowdown);
    server.samples = std::min(server.samples + 1, min_slowdown_samples);
  }
  if (sample.end == attempt_end::responded && points == 0) {
    server.failure_points = 0;
  }
  server.failure_points =
      std::min(server.failure_points + points, ejection_points);
  bool slow = server.samples >= min_slowdown_samples &&
              server.slowdown > slowdown_limit;
  server.failing = slow || server.failure_points >= ejection_points;
}

health_change backend_health::record(const model::backend_id& id,
                                     const health_sample& sample,
                                     model::time_point now) {
  auto found = entries_.find(id);
  if (found == entries_.end()) {
    return health_change::none;
  }
  auto& server = found->second;
  bool good = sample.end == attempt_end::responded && !sample.server_error &&
              sample.slowdown <= slowdown_limit;
  if (server.ejected) {
    if (!server.probing) {
      // The attempt was sent before the ejection; only a probe readmits.
      return health_change::none;
    }
    server.probing = false;
    server.next_probe = now + config_.probe_interval_ms;
    if (!good) {
      return health_change::none;
    }
    server = entry{.service = server.service};
    return health_change::readmitted;
  }
  update(server, sample);
  if (!server.failing || !may_eject(server.service)) {
    return health_change::none;
  }
  server.ejected = true;
  server.next_probe = now + config_.probe_interval_ms;
  return health_change::ejected;
}

availability backend_health::state(const model::backend_id& id, bool idempotent,
                                   model::time_point now) const {
  auto found = entries_.find(id);
  if (found == entries_.end()) {
    return availability::none;
  }
  const auto& server = found->second;
  if (!server.ejected) {
    return server.failing ? availability::last_resort : availability::normal;
  }
  auto due =
      server.next_probe + (idempotent ? 0 : non_idempotent_delay_intervals) *
                              config_.probe_interval_ms;
  return !server.probing && now >= due ? availability::probe
                                       : availability::none;
}

void backend_health::begin_probe(const model::backend_id& id,
                                 model::time_point now) {
  auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.probing = true;
    found->second.next_probe = now + config_.probe_interval_ms;
  }
}

double backend_health::slowdown(const model::backend_id& id) const {
  auto found = entries_.find(id);
  return found == entries_.end() ? 1 : found->second.slowdown;
}

model::time_point backend_health::next_probe() const {
  auto next = model::time_point::max();
  for (const auto& [id, server] : entries_) {
    if (server.ejected && !server.probing) {
      next = std::min(next, server.next_probe);
    }
  }
  return next;
}

}  // namespace vanillaladder::scheduling
