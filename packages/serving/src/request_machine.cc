#include "serving/request_machine.h"

#include <algorithm>

namespace vanillaladder::serving {
namespace {

using scheduling::attempt_end;
using scheduling::refusal_reason;

const class_config default_class;
// Common name of all classes that are not configured, so that callers cannot
// grow the cost tables with arbitrary class names.
constexpr std::string_view default_class_name = "default";

double as_ms(model::time_point::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

request_machine::request_machine(const machine_options& options)
    : options_(options), backends_(options.routing) {}

bool request_machine::fresh(model::time_point now) const {
  return has_view_ && view_.fresh && now < view_.fresh_until;
}

action_list request_machine::update(const serving_view& view,
                                    model::time_point now) {
  action_list actions;
  view_ = view;
  has_view_ = true;
  backends_.update(view);
  budget_.set_percent(view.retry.budget_percent);
  for (auto& [service, queue] : queues_) {
    queue.set_alpha(view.queue.alpha);
    queue.set_slots(backends_.slots(service));
  }
  expire(now, actions);
  dispatch_all(now, actions);
  return actions;
}

const class_config& request_machine::class_of(
    const model::class_id& name) const {
  auto found = view_.classes.find(name);
  return found == view_.classes.end() ? default_class : found->second;
}

milliseconds request_machine::class_deadline(
    const model::class_id& name) const {
  return class_of(name).deadline_ms;
}

unsigned request_machine::team_weight(const model::team_id& team) const {
  auto found = view_.teams.find(team);
  return found == view_.teams.end() ? team_config{}.weight
                                    : found->second.weight;
}

action_list request_machine::request_arrived(request_id id,
                                             const request_info& info,
                                             model::time_point now) {
  action_list actions;
  open_request request{.info = info,
                       .state = scheduling::request_state(info.idempotent),
                       .arrived = now};
  if (!view_.classes.contains(info.request_class)) {
    request.info.request_class = default_class_name;
  }
  request.expected_cost_ms =
      costs_.estimate_cost(info.service, request.info.request_class, info.path);
  auto& added = requests_.emplace(id, std::move(request)).first->second;
  if (auto reason = admit(added, now)) {
    give_up(id, *reason, actions);
    return actions;
  }
  if (!info.forwarded) {
    budget_.record_admission(now);
  }
  deadlines_.emplace(info.deadline, id);
  if (info.needs_claim) {
    added.current = phase::claiming;
    ++claiming_;
    actions.emplace_back(claim_action{id, time_left(added, now)});
    return actions;
  }
  enqueue(id, added);
  dispatch(info.service, now, actions);
  return actions;
}

std::optional<refusal_reason> request_machine::check_view(
    const request_info& info, model::time_point now) const {
  if (!fresh(now)) {
    return refusal_reason::stale_view;
  }
  if (info.forwarded && view_.draining) {
    return refusal_reason::draining;
  }
  if (!backends_.has_service(info.service)) {
    return refusal_reason::unknown_service;
  }
  if (!backends_.accepts_service(info.service)) {
    return refusal_reason::no_backend;
  }
  return std::nullopt;
}

bool request_machine::slot_free(const request_info& info,
                                model::time_point now) const {
  auto queue = queues_.find(info.service);
  if (queue != queues_.end() && !queue->second.empty()) {
    return false;
  }
  return backends_.free_slots(info.service, now) > 0 ||
         (!info.forwarded && backends_.choose_peer(info.service, {}));
}

std::size_t request_machine::waiting() const {
  std::size_t count = claiming_;
  for (const auto& [service, queue] : queues_) {
    count += queue.size();
  }
  return count;
}

scheduling::admission_input request_machine::admission_input_for(
    const open_request& request, model::time_point now) const {
  const auto& info = request.info;
  scheduling::admission_input input{
      .queued = waiting(),
      .max_queued = view_.queue.max_queued,
      .slots = backends_.slots(info.service),
      .slot_free = request.slot_free_on_arrival,
      .team_weight = static_cast<double>(team_weight(info.team)),
      .expected_cost_ms = request.expected_cost_ms,
      .remaining_ms = as_ms(info.deadline - now)};
  input.active_weight = input.team_weight;
  auto found = queues_.find(info.service);
  if (found != queues_.end()) {
    const auto& queue = found->second;
    input.work_ahead_ms = queue.work_ahead_ms(queue_entry(0, request), now);
    input.backlog_ms = queue.backlog_ms();
    input.team_backlog_ms = queue.backlog_ms(info.team);
    bool counted = input.team_backlog_ms > 0;
    input.active_weight =
        queue.active_weight() + (counted ? 0 : input.team_weight);
  }
  return input;
}

std::optional<refusal_reason> request_machine::admit(
    open_request& request, model::time_point now) const {
  if (auto reason = check_view(request.info, now)) {
    return reason;
  }
  request.slot_free_on_arrival = slot_free(request.info, now);
  if (request.info.forwarded) {
    // Refuse instead of queueing, so that the sender can try another peer.
    return request.slot_free_on_arrival
               ? std::nullopt
               : std::optional(refusal_reason::no_backend);
  }
  auto input = admission_input_for(request, now);
  if (!options_.check_expected_wait) {
    input.expected_cost_ms = 0;
    input.work_ahead_ms = 0;
  }
  return scheduling::decide_admission(input);
}

action_list request_machine::claim_granted(request_id id,
                                           model::time_point now) {
  action_list actions;
  auto found = requests_.find(id);
  if (found == requests_.end() || found->second.current != phase::claiming) {
    return actions;
  }
  --claiming_;
  enqueue(id, found->second);
  dispatch(std::string(found->second.info.service), now, actions);
  return actions;
}

void request_machine::remove_unclaimed(request_id id) {
  remove_request(id);
}

action_list request_machine::caller_disconnected(request_id id,
                                                 model::time_point now) {
  action_list actions;
  auto found = requests_.find(id);
  if (found == requests_.end()) {
    return actions;
  }
  auto& request = found->second;
  if (request.current == phase::sending ||
      request.current == phase::forwarding) {
    // The attempt may be running, so its slot stays in use until it ends.
    request.caller_gone = true;
    return actions;
  }
  std::string service = request.info.service;
  actions.emplace_back(drop_action{id, request.state.may_have_run()
                                           ? key_outcome::unknown
                                           : key_outcome::not_run});
  remove_request(id);
  dispatch(service, now, actions);
  return actions;
}

bool request_machine::is_current(request_id id, unsigned attempt) const {
  auto found = requests_.find(id);
  return found != requests_.end() &&
         (found->second.current == phase::sending ||
          found->second.current == phase::forwarding) &&
         found->second.state.attempts() == attempt;
}

action_list request_machine::attempt_ended(request_id id, unsigned attempt,
                                           const attempt_result& result,
                                           model::time_point now) {
  action_list actions;
  if (!is_current(id, attempt)) {
    return actions;
  }
  auto& request = requests_.at(id);
  std::string service = request.info.service;
  bool from_backend = request.current == phase::sending;
  release(request, result, now, actions);
  // Retries after a peer's refusal put no load on backend servers, so only
  // `max_attempts` limits them.
  bool budget_allows = !from_backend || budget_.allows_retry(now);
  auto step = request.state.end_attempt(
      result.end, request.caller_gone ? 0 : view_.retry.max_attempts,
      budget_allows);
  if (request.caller_gone) {
    end_after_disconnect(id, result, actions);
  } else if (std::holds_alternative<scheduling::retry_request>(step)) {
    retry(id, result.end, from_backend, now, actions);
  } else {
    apply(id, step, actions);
  }
  expire(now, actions);
  dispatch(service, now, actions);
  return actions;
}

void request_machine::end_after_disconnect(request_id id,
                                           const attempt_result& result,
                                           action_list& actions) {
  auto outcome = key_outcome::not_run;
  if (result.end == attempt_end::responded) {
    outcome = key_outcome::answered;
  } else if (requests_.at(id).state.may_have_run()) {
    outcome = key_outcome::unknown;
  }
  actions.emplace_back(drop_action{id, outcome});
  remove_request(id);
}

action_list request_machine::attempt_cancelled(request_id id, unsigned attempt,
                                               model::time_point now) {
  action_list actions;
  if (!is_current(id, attempt)) {
    return actions;
  }
  auto& request = requests_.at(id);
  std::string service = request.info.service;
  release(request, {.end = attempt_end::abandoned}, now, actions);
  // Nothing was sent; this only ends the attempt in the request state.
  request.state.end_attempt(attempt_end::not_sent, 0, false);
  give_up(id, refusal_reason::stale_view, actions);
  dispatch(service, now, actions);
  return actions;
}

action_list request_machine::tick(model::time_point now) {
  action_list actions;
  expire(now, actions);
  dispatch_all(now, actions);
  return actions;
}

void request_machine::expire(model::time_point now, action_list& actions) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    request_id id = deadlines_.begin()->second;
    auto& request = requests_.at(id);
    if (request.current == phase::forwarding) {
      attempt_result result{.end = attempt_end::timed_out};
      release(request, result, now, actions);
      auto step = request.state.end_attempt(result.end, 0, false);
      if (request.caller_gone) {
        end_after_disconnect(id, result, actions);
      } else {
        apply(id, step, actions);
      }
      continue;
    }
    give_up(id, refusal_reason::deadline, actions);
  }
}

model::time_point request_machine::next_wakeup() const {
  auto next =
      deadlines_.empty() ? model::time_point::max() : deadlines_.begin()->first;
  if (waiting() > claiming_) {
    next = std::min({next, backends_.health().next_probe(), view_.fresh_until});
  }
  return next;
}

std::string_view request_machine::phase_name(request_id id) const {
  auto found = requests_.find(id);
  if (found == requests_.end()) {
    return "ended";
  }
  switch (found->second.current) {
    case phase::claiming:
      return "claiming";
    case phase::queued:
      return "queued";
    case phase::sending:
      return "sending";
    case phase::forwarding:
      return "forwarding";
  }
  return "unknown";
}

std::map<std::string, unsigned> request_machine::free_slots(
    model::time_point now) const {
  auto slots = backends_.free_slots(now);
  if (!fresh(now) || view_.draining) {
    for (auto& [service, count] : slots) {
      count = 0;
    }
  }
  return slots;
}

std::map<model::backend_id, unsigned> request_machine::in_flight() const {
  return backends_.in_flight();
}

}  // namespace vanillaladder::serving
