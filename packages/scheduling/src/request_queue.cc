#include "scheduling/request_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace vanillaladder::scheduling {
namespace {

constexpr double default_weight = 10;
// Long enough to average over the slow class of a small daemon, and short
// against the change of load over a day.
constexpr double rate_window_ms = 2000;
// Arrival order is one party, whatever the teams and classes.
const std::string common_flow;

double as_ms(model::time_point point) {
  return std::chrono::duration<double, std::milli>(point.time_since_epoch())
      .count();
}

double allowed_wait_ms(const queued_request& request) {
  return as_ms(request.overdue_at) - as_ms(request.arrived);
}

template <typename Share>
double start_tag(const Share& from, double finish) {
  return std::max(from.virtual_time, finish);
}

/// @return the least start tag of the flows with waiting requests.
template <typename Share>
double least_start_tag(const Share& from) {
  double least = std::numeric_limits<double>::infinity();
  for (const auto& [name, flow] : from.flows) {
    if (flow.size > 0) {
      least = std::min(least, start_tag(from, flow.finish));
    }
  }
  return least;
}

template <typename Share>
auto& add(Share& to, const std::string& name, double weight, double cost_ms) {
  auto& flow = to.flows[name];
  if (flow.size == 0) {
    flow.weight = weight;
    to.active_weight += weight;
  }
  ++flow.size;
  flow.backlog_ms += cost_ms;
  to.backlog_ms += cost_ms;
  return flow;
}

template <typename Share>
auto& subtract(Share& from, const std::string& name, double cost_ms) {
  auto& flow = from.flows.find(name)->second;
  --flow.size;
  flow.backlog_ms -= cost_ms;
  from.backlog_ms -= cost_ms;
  if (flow.size == 0) {
    flow.backlog_ms = 0;
    from.active_weight -= flow.weight;
  }
  return flow;
}

template <typename Flow>
double decayed_served_ms(const Flow& flow, model::time_point now) {
  double age_ms = as_ms(now) - as_ms(flow.served_at);
  return flow.served_ms * std::exp(-std::max(0.0, age_ms) / rate_window_ms);
}

/// Counts a served request against its flow.
template <typename Share>
auto& charge(Share& from, const std::string& name, double cost_ms,
             model::time_point now) {
  auto& flow = from.flows.find(name)->second;
  flow.served_ms = decayed_served_ms(flow, now) + cost_ms;
  flow.served_at = now;
  // The least tag, not that of the served flow, or a flow that is behind would
  // lose its claim.
  double least = least_start_tag(from);
  flow.finish = start_tag(from, flow.finish) + cost_ms / flow.weight;
  from.virtual_time = std::max(from.virtual_time, least);
  return flow;
}

/// @return the work served until a flow has got `work_ms`: each other flow
///   gets its backlog and what it still receives, at most its fair share.
template <typename Share>
double fair_work_ms(const Share& from, const std::string& name, double weight,
                    double work_ms, unsigned slots, model::time_point now) {
  double others_weight = 0;
  for (const auto& [other, flow] : from.flows) {
    others_weight += other != name && flow.size > 0 ? flow.weight : 0;
  }
  double longest_ms =
      work_ms * (weight + others_weight) / weight / std::max(1U, slots);
  double total = work_ms;
  for (const auto& [other, flow] : from.flows) {
    if (other != name && flow.size > 0) {
      double rate = decayed_served_ms(flow, now) / rate_window_ms;
      total += std::min(flow.backlog_ms + rate * longest_ms,
                        work_ms * flow.weight / weight);
    }
  }
  return total;
}

}  // namespace

const std::string& request_queue::team_of(const queued_request& request) const {
  return order_ == queue_order::arrival ? common_flow : request.team;
}

const std::string& request_queue::class_of(
    const queued_request& request) const {
  return order_ == queue_order::arrival ? common_flow : request.request_class;
}

double request_queue::key_of(const queued_request& request) const {
  double arrived = as_ms(request.arrived);
  if (order_ == queue_order::arrival || request.urgent) {
    return arrived;
  }
  return arrived + alpha_ * request.expected_cost_ms * default_weight /
                       std::max(1U, request.class_weight);
}

void request_queue::push(const queued_request& request) {
  double cost_ms = request.expected_cost_ms;
  auto& team =
      add(teams_, team_of(request), std::max(1U, request.team_weight), cost_ms);
  auto& of_class = add(team.classes, class_of(request),
                       std::max(1U, request.class_weight), cost_ms);
  double key_ms = key_of(request);
  of_class.by_key.emplace(key_ms, request.id);
  by_overdue_.emplace(request.overdue_at, request.id);
  allowed_waits_ms_.insert(allowed_wait_ms(request));
  requests_.emplace(request.id, entry{request, key_ms});
}

std::optional<request_id> request_queue::overdue(model::time_point now) const {
  if (order_ == queue_order::arrival || by_overdue_.empty() ||
      by_overdue_.begin()->first > now) {
    return std::nullopt;
  }
  return by_overdue_.begin()->second;
}

const request_queue::key* request_queue::head(const class_flow& flow) const {
  return flow.by_key.empty() ? nullptr : &*flow.by_key.begin();
}

const request_queue::key* request_queue::head(const team_flow& flow) const {
  return head(flow.classes);
}

template <typename Flow>
const request_queue::key* request_queue::head(const share<Flow>& from) const {
  const key* best = nullptr;
  double burst_ms =
      allowed_waits_ms_.empty() ? 0 : burst_work_ms(*allowed_waits_ms_.begin());
  double limit =
      least_start_tag(from) + burst_ms / std::max(1.0, from.active_weight);
  for (const auto& [name, flow] : from.flows) {
    if (flow.size == 0 || start_tag(from, flow.finish) > limit) {
      continue;
    }
    const key* candidate = head(flow);
    if (best == nullptr || *candidate < *best) {
      best = candidate;
    }
  }
  return best;
}

std::optional<request_id> request_queue::front(model::time_point now) const {
  if (overdue_turn_) {
    if (auto id = overdue(now)) {
      return id;
    }
  }
  const auto* next = head(teams_);
  return next == nullptr ? std::nullopt : std::optional(next->second);
}

void request_queue::pop(request_id id, model::time_point now) {
  auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  overdue_turn_ = !(overdue_turn_ && overdue(now) == id);
  const auto& request = found->second.request;
  double cost_ms = std::max(1.0, request.expected_cost_ms);
  auto& team = charge(teams_, team_of(request), cost_ms, now);
  charge(team.classes, class_of(request), cost_ms, now);
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
  double cost_ms = request.expected_cost_ms;
  auto& team = subtract(teams_, team_of(request), cost_ms);
  auto& of_class = subtract(team.classes, class_of(request), cost_ms);
  of_class.by_key.erase({key_ms, id});
  by_overdue_.erase({request.overdue_at, id});
  allowed_waits_ms_.erase(allowed_waits_ms_.find(allowed_wait_ms(request)));
  requests_.erase(found);
  if (requests_.empty()) {
    // Nothing waits, so no debt is worth keeping; this also bounds the maps.
    teams_ = {};
  }
}

double request_queue::backlog_ms(const model::team_id& team) const {
  auto found = teams_.flows.find(team);
  return found == teams_.flows.end() ? 0 : found->second.backlog_ms;
}

double request_queue::burst_work_ms(double wait_ms) const {
  return burst_fraction * std::max(0.0, wait_ms) * slots_;
}

double request_queue::work_ahead_ms(const queued_request& request,
                                    model::time_point now) const {
  if (order_ == queue_order::arrival) {
    return teams_.backlog_ms;
  }
  double work_ms = 0;
  auto team = teams_.flows.find(request.team);
  if (team != teams_.flows.end()) {
    const auto& classes = team->second.classes;
    auto found = classes.flows.find(request.request_class);
    double own_ms = found == classes.flows.end() ? 0 : found->second.backlog_ms;
    work_ms =
        fair_work_ms(classes, request.request_class,
                     std::max(1U, request.class_weight), own_ms, slots_, now);
  }
  work_ms =
      fair_work_ms(teams_, request.team, std::max(1U, request.team_weight),
                   work_ms, slots_, now);
  // Up to the permitted burst, requests that came earlier go first.
  double least_ms = allowed_wait_ms(request);
  if (!allowed_waits_ms_.empty()) {
    least_ms = std::min(least_ms, *allowed_waits_ms_.begin());
  }
  return work_ms + std::min(teams_.backlog_ms, burst_work_ms(least_ms));
}

}  // namespace vanillaladder::scheduling
