#include "serving/detail/backend_table.h"

#include <algorithm>

namespace vanillaladder::serving::detail {

using scheduling::availability;

void backend_table::update(const serving_view& view) {
  for (auto& [id, server] : servers_) {
    server.granted_slots = 0;
    server.accepts_work = false;
    server.listed = false;
  }
  for (auto& [name, service] : services_) {
    service.servers.clear();
  }
  std::map<model::backend_id, std::string> service_by_backend;
  for (const auto& grant : view.backends) {
    auto& server = servers_[grant.info.id];
    server.info = grant.info;
    server.granted_slots = grant.granted_slots;
    server.accepts_work =
        grant.accepts_work && grant.info.state == model::instance_state::live;
    server.listed = true;
    service_by_backend[grant.info.id] = grant.info.service;
  }
  for (const auto& [id, service] : service_by_backend) {
    services_
        .try_emplace(service, service_state{{}, scheduling::router(policy_)})
        .first->second.servers.push_back(id);
  }
  std::erase_if(servers_, [](const auto& item) {
    return !item.second.listed && item.second.in_flight == 0;
  });
  std::erase_if(services_,
                [](const auto& item) { return item.second.servers.empty(); });
  health_.configure(
      {view.routing.max_ejected_percent, view.routing.probe_interval_ms});
  health_.set_backends(service_by_backend);
  peer_free_slots_.clear();
  for (const auto& peer : view.peers) {
    for (const auto& [service, slots] : peer.free_slots) {
      peer_free_slots_[{peer.member, service}] = slots;
    }
  }
}

bool backend_table::has_service(const std::string& service) const {
  return services_.contains(service);
}

bool backend_table::accepts_service(const std::string& service) const {
  auto found = services_.find(service);
  return found != services_.end() &&
         std::ranges::any_of(found->second.servers, [&](const auto& id) {
           return servers_.at(id).accepts_work;
         });
}

unsigned backend_table::slots(const std::string& service) const {
  unsigned total = 0;
  auto found = services_.find(service);
  if (found != services_.end()) {
    for (const auto& id : found->second.servers) {
      const auto& server = servers_.at(id);
      total += server.accepts_work ? server.granted_slots : 0;
    }
  }
  return total;
}

unsigned backend_table::free_slots(const std::string& service,
                                   model::time_point now) const {
  unsigned total = 0;
  auto found = services_.find(service);
  if (found == services_.end()) {
    return 0;
  }
  for (const auto& id : found->second.servers) {
    const auto& server = servers_.at(id);
    if (server.accepts_work && server.granted_slots > server.in_flight &&
        health_.state(id, true, now) == availability::normal) {
      total += server.granted_slots - server.in_flight;
    }
  }
  return total;
}

std::map<std::string, unsigned> backend_table::free_slots(
    model::time_point now) const {
  std::map<std::string, unsigned> result;
  for (const auto& [name, service] : services_) {
    result[name] = free_slots(name, now);
  }
  return result;
}

std::map<model::backend_id, unsigned> backend_table::in_flight() const {
  std::map<model::backend_id, unsigned> result;
  for (const auto& [id, server] : servers_) {
    if (server.in_flight > 0) {
      result[id] = server.in_flight;
    }
  }
  return result;
}

std::optional<model::backend_id> backend_table::choose(
    const std::string& service, const std::set<std::string>& tried,
    bool idempotent, bool last_resort, model::time_point now) {
  auto found = services_.find(service);
  if (found == services_.end()) {
    return std::nullopt;
  }
  candidates_.clear();
  for (const auto& id : found->second.servers) {
    const auto& server = servers_.at(id);
    candidates_.push_back(
        {.granted_slots = server.accepts_work ? server.granted_slots : 0,
         .in_flight = server.in_flight,
         .state = health_.state(id, idempotent, now),
         .tried = tried.contains(id),
         .slowdown = health_.slowdown(id)});
  }
  auto index = found->second.route.choose(candidates_, last_resort);
  return index ? std::optional(found->second.servers[*index]) : std::nullopt;
}

std::optional<model::instance_id> backend_table::choose_peer(
    const std::string& service, const std::set<std::string>& tried) const {
  std::optional<model::instance_id> best;
  unsigned most_free = 0;
  for (const auto& [key, reported] : peer_free_slots_) {
    if (key.second != service || tried.contains(key.first)) {
      continue;
    }
    auto used = peer_in_flight_.find(key);
    unsigned in_flight = used == peer_in_flight_.end() ? 0 : used->second;
    if (reported > in_flight && reported - in_flight > most_free) {
      most_free = reported - in_flight;
      best = key.first;
    }
  }
  return best;
}

const model::backend_info& backend_table::acquire(const model::backend_id& id,
                                                  model::time_point now) {
  auto& server = servers_.at(id);
  ++server.in_flight;
  if (health_.state(id, true, now) == availability::probe) {
    health_.begin_probe(id, now);
  }
  return server.info;
}

void backend_table::release(const model::backend_id& id) {
  auto found = servers_.find(id);
  if (found == servers_.end()) {
    return;
  }
  --found->second.in_flight;
  if (!found->second.listed && found->second.in_flight == 0) {
    servers_.erase(found);
  }
}

void backend_table::acquire_peer(const model::instance_id& member,
                                 const std::string& service) {
  ++peer_in_flight_[{member, service}];
}

void backend_table::release_peer(const model::instance_id& member,
                                 const std::string& service, bool refused) {
  auto found = peer_in_flight_.find({member, service});
  if (found != peer_in_flight_.end() && --found->second == 0) {
    peer_in_flight_.erase(found);
  }
  if (refused) {
    peer_free_slots_.erase({member, service});
  }
}

}  // namespace vanillaladder::serving::detail
