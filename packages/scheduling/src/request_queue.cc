#include "scheduling/request_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace vanillaladder::scheduling {
namespace {

constexpr double default_weight = 10;
// Time constant of the served rate: long enough to average over the requests of
// a slow class on a small daemon, and short compared with load changes over a
// day.
constexpr double rate_window_ms = 2000;
// Arrival order uses a single flow for all teams and classes.
const std::string single_flow;

double as_ms(model::time_point point) {
  return std::chrono::duration<double, std::milli>(point.time_since_epoch())
      .count();
}

double allowed_wait_ms(const queued_request& request) {
  return as_ms(request.overdue_at) - as_ms(request.arrived);
}

template <typename Group>
double start_tag(const Group& group, double finish_tag) {
  return std::max(group.virtual_time, finish_tag);
}

/// @return the smallest start tag of the flows with waiting requests.
template <typename Group>
double min_start_tag(const Group& group) {
  double min_tag = std::numeric_limits<double>::infinity();
  for (const auto& [name, flow] : group.flows) {
    if (flow.size > 0) {
      min_tag = std::min(min_tag, start_tag(group, flow.finish_tag));
    }
  }
  return min_tag;
}

template <typename Group>
auto& add(Group& group, const std::string& name, double weight,
          double cost_ms) {
  auto& flow = group.flows[name];
  if (flow.size == 0) {
    flow.weight = weight;
    group.active_weight += weight;
  }
  ++flow.size;
  flow.backlog_ms += cost_ms;
  group.backlog_ms += cost_ms;
  return flow;
}

template <typename Group>
auto& subtract(Group& group, const std::string& name, double cost_ms) {
  auto& flow = group.flows.find(name)->second;
  --flow.size;
  flow.backlog_ms -= cost_ms;
  group.backlog_ms -= cost_ms;
  if (flow.size == 0) {
    flow.backlog_ms = 0;
    group.active_weight -= flow.weight;
  }
  return flow;
}

template <typename Flow>
double decayed_served_ms(const Flow& flow, model::time_point now) {
  double age_ms = as_ms(now) - as_ms(flow.served_at);
  return flow.served_ms * std::exp(-std::max(0.0, age_ms) / rate_window_ms);
}

/// Charges a served request to its flow.
template <typename Group>
auto& charge(Group& group, const std::string& name, double cost_ms,
             model::time_point now) {
  auto& flow = group.flows.find(name)->second;
  flow.served_ms = decayed_served_ms(flow, now) + cost_ms;
  flow.served_at = now;
  // The virtual time follows the smallest start tag, not that of the served
  // flow: a flow that has received less than its share must keep its start tag.
  double min_tag = min_start_tag(group);
  flow.finish_tag = start_tag(group, flow.finish_tag) + cost_ms / flow.weight;
  group.virtual_time = std::max(group.virtual_time, min_tag);
  return flow;
}

/// @return the work served by the time a flow has received `work_ms`. Each
///   other flow receives its backlog and its expected arrivals, at most its
///   fair share.
template <typename Group>
double fair_work_ms(const Group& group, const std::string& name, double weight,
                    double work_ms, unsigned slots, model::time_point now) {
  double others_weight = 0;
  for (const auto& [other, flow] : group.flows) {
    others_weight += other != name && flow.size > 0 ? flow.weight : 0;
  }
  double max_duration_ms =
      work_ms * (weight + others_weight) / weight / std::max(1U, slots);
  double total_ms = work_ms;
  for (const auto& [other, flow] : group.flows) {
    if (other != name && flow.size > 0) {
      double rate = decayed_served_ms(flow, now) / rate_window_ms;
      total_ms += std::min(flow.backlog_ms + rate * max_duration_ms,
                           work_ms * flow.weight / weight);
    }
  }
  return total_ms;
}

}  // namespace

const std::string& request_queue::team_of(const queued_request& request) const {
  return order_ == queue_order::arrival ? single_flow : request.team;
}

const std::string& request_queue::class_of(
    const queued_request& request) const {
  return order_ == queue_order::arrival ? single_flow : request.request_class;
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
  auto& class_queue = add(team.classes, class_of(request),
                          std::max(1U, request.class_weight), cost_ms);
  double key_ms = key_of(request);
  class_queue.by_key.emplace(key_ms, request.id);
  by_overdue_.emplace(request.overdue_at, request.id);
  allowed_waits_ms_.insert(allowed_wait_ms(request));
  requests_.emplace(request.id, entry{request, key_ms});
}

std::optional<request_id> request_queue::most_overdue(
    model::time_point now) const {
  if (order_ == queue_order::arrival || by_overdue_.empty() ||
      by_overdue_.begin()->first > now) {
    return std::nullopt;
  }
  return by_overdue_.begin()->second;
}

const request_queue::order_key* request_queue::head(
    const class_flow& flow) const {
  return flow.by_key.empty() ? nullptr : &*flow.by_key.begin();
}

const request_queue::order_key* request_queue::head(
    const team_flow& flow) const {
  return head(flow.classes);
}

template <typename Flow>
const request_queue::order_key* request_queue::head(
    const flow_group<Flow>& group) const {
  const order_key* best = nullptr;
  double burst_ms =
      allowed_waits_ms_.empty() ? 0 : burst_work_ms(*allowed_waits_ms_.begin());
  double limit =
      min_start_tag(group) + burst_ms / std::max(1.0, group.active_weight);
  for (const auto& [name, flow] : group.flows) {
    if (flow.size == 0 || start_tag(group, flow.finish_tag) > limit) {
      continue;
    }
    const order_key* candidate = head(flow);
    if (best == nullptr || *candidate < *best) {
      best = candidate;
    }
  }
  return best;
}

std::optional<request_id> request_queue::front(model::time_point now) const {
  if (serve_overdue_next_) {
    if (auto id = most_overdue(now)) {
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
  serve_overdue_next_ = !(serve_overdue_next_ && most_overdue(now) == id);
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
  auto& class_queue = subtract(team.classes, class_of(request), cost_ms);
  class_queue.by_key.erase({key_ms, id});
  by_overdue_.erase({request.overdue_at, id});
  allowed_waits_ms_.erase(allowed_waits_ms_.find(allowed_wait_ms(request)));
  requests_.erase(found);
  if (requests_.empty()) {
    // An idle queue resets the fair-queueing state, which also bounds the maps.
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
    double class_work_ms =
        found == classes.flows.end() ? 0 : found->second.backlog_ms;
    work_ms = fair_work_ms(classes, request.request_class,
                           std::max(1U, request.class_weight), class_work_ms,
                           slots_, now);
  }
  work_ms =
      fair_work_ms(teams_, request.team, std::max(1U, request.team_weight),
                   work_ms, slots_, now);
  // Within the permitted burst, requests that arrived earlier are served first.
  double shortest_wait_ms = allowed_wait_ms(request);
  if (!allowed_waits_ms_.empty()) {
    shortest_wait_ms = std::min(shortest_wait_ms, *allowed_waits_ms_.begin());
  }
  return work_ms + std::min(teams_.backlog_ms, burst_work_ms(shortest_wait_ms));
}

}  // namespace vanillaladder::scheduling
