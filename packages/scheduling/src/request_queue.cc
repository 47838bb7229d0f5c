#include "scheduling/request_queue.h"

#include <algorithm>

namespace vanillaladder::scheduling {
namespace {

constexpr double default_weight = 10;

double as_ms(model::time_point point) {
  return std::chrono::duration<double, std::milli>(point.time_since_epoch())
      .count();
}

}  // namespace

double request_queue::key_of(const queued_request& request) const {
  double arrived = as_ms(request.arrived);
  if (order_ == queue_order::arrival || request.urgent) {
    return arrived;
  }
  return arrived + alpha_ * request.expected_cost_ms * default_weight /
                       std::max(1U, request.class_weight);
}

void request_queue::push(const queued_request& request) {
  auto& team = teams_[order_ == queue_order::arrival ? "" : request.team];
  if (team.by_key.empty()) {
    team.weight = std::max(1U, request.team_weight);
    active_weight_ += team.weight;
  }
  double key_ms = key_of(request);
  team.by_key.emplace(key_ms, request.id);
  team.backlog_ms += request.expected_cost_ms;
  backlog_ms_ += request.expected_cost_ms;
  by_overdue_.emplace(request.overdue_at, request.id);
  requests_.emplace(request.id, entry{request, key_ms});
}

std::optional<request_id> request_queue::overdue(model::time_point now) const {
  if (order_ == queue_order::arrival || by_overdue_.empty() ||
      by_overdue_.begin()->first > now) {
    return std::nullopt;
  }
  return by_overdue_.begin()->second;
}

double request_queue::start_tag(const team_state& team) const {
  return std::max(virtual_time_, team.finish);
}

std::optional<request_id> request_queue::next_in_order() const {
  const team_state* best = nullptr;
  for (const auto& [id, team] : teams_) {
    if (team.by_key.empty()) {
      continue;
    }
    if (best == nullptr ||
        std::pair(start_tag(team), *team.by_key.begin()) <
            std::pair(start_tag(*best), *best->by_key.begin())) {
      best = &team;
    }
  }
  return best == nullptr ? std::nullopt
                         : std::optional(best->by_key.begin()->second);
}

std::optional<request_id> request_queue::front(model::time_point now) const {
  if (overdue_turn_) {
    if (auto id = overdue(now)) {
      return id;
    }
  }
  return next_in_order();
}

void request_queue::pop(request_id id, model::time_point now) {
  auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  overdue_turn_ = !(overdue_turn_ && overdue(now) == id);
  const auto& request = found->second.request;
  auto& team = teams_[order_ == queue_order::arrival ? "" : request.team];
  double start = start_tag(team);
  virtual_time_ = std::max(virtual_time_, start);
  team.finish = start + std::max(1.0, request.expected_cost_ms) / team.weight;
  erase(id);
}

void request_queue::remove(request_id id) {
  erase(id);
}

void request_queue::erase(request_id id) {
  auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  const auto& [request, key_ms] = found->second;
  auto team = teams_.find(order_ == queue_order::arrival ? "" : request.team);
  team->second.by_key.erase({key_ms, id});
  team->second.backlog_ms -= request.expected_cost_ms;
  backlog_ms_ -= request.expected_cost_ms;
  by_overdue_.erase({request.overdue_at, id});
  if (team->second.by_key.empty()) {
    active_weight_ -= team->second.weight;
    team->second.backlog_ms = 0;
  }
  requests_.erase(found);
  if (requests_.empty()) {
    // No team waits, so no debt is worth keeping; this also bounds the map.
    teams_.clear();
    backlog_ms_ = 0;
    active_weight_ = 0;
    virtual_time_ = 0;
  }
}

double request_queue::backlog_ms(const model::team_id& team) const {
  auto found = teams_.find(team);
  return found == teams_.end() ? 0 : found->second.backlog_ms;
}

}  // namespace vanillaladder::scheduling
