#include <algorithm>

#include "serving/request_machine.h"

namespace vanillaladder::serving {
namespace {

using scheduling::attempt_end;
using scheduling::refusal_reason;

// Added to numerator and denominator of the ratio of measured to expected
// duration, so that scheduling noise in very short requests does not make a
// server look slow.
constexpr double slowdown_offset_ms = 5;

double as_ms(model::time_point::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

milliseconds request_machine::time_left(const open_request& request,
                                        model::time_point now) const {
  auto left =
      std::chrono::duration_cast<milliseconds>(request.info.deadline - now);
  return std::clamp(left, milliseconds(1), options_.request_timeout_ms);
}

scheduling::queued_request request_machine::queue_entry(
    request_id id, const open_request& request) const {
  const auto& config = class_of(request.info.request_class);
  return {.id = id,
          .team = request.info.team,
          .team_weight = team_weight(request.info.team),
          .request_class = request.info.request_class,
          .class_weight = config.weight,
          .urgent = config.kind == class_kind::urgent,
          .expected_cost_ms = request.expected_cost_ms,
          .arrived = request.arrived,
          .overdue_at = request.arrived +
                        config.max_wait_ms.value_or(config.deadline_ms)};
}

void request_machine::enqueue(request_id id, open_request& request) {
  request.current = phase::queued;
  deadlines_.emplace(request.info.deadline, id);
  const auto& service = request.info.service;
  auto [queue, created] = queues_.try_emplace(service, options_.order);
  if (created) {
    queue->second.set_alpha(view_.queue.alpha);
    queue->second.set_slots(backends_.slots(service));
  }
  queue->second.push(queue_entry(id, request));
}

void request_machine::dispatch_all(model::time_point now,
                                   action_list& actions) {
  for (auto& [service, queue] : queues_) {
    dispatch(service, now, actions);
  }
}

bool request_machine::give_up_unservable(const std::string& service,
                                         model::time_point now,
                                         action_list& actions) {
  auto& queue = queues_.at(service);
  std::optional<refusal_reason> reason;
  if (!fresh(now)) {
    reason = refusal_reason::stale_view;
  } else if (!backends_.accepts_service(service)) {
    reason = refusal_reason::no_backend;
  }
  if (!reason) {
    return false;
  }
  while (auto id = queue.front(now)) {
    give_up(*id, *reason, actions);
  }
  return true;
}

void request_machine::dispatch(const std::string& service,
                               model::time_point now, action_list& actions) {
  auto found = queues_.find(service);
  if (found == queues_.end() || found->second.empty() ||
      give_up_unservable(service, now, actions)) {
    return;
  }
  while (auto id = found->second.front(now)) {
    if (!try_dispatch(*id, now, actions)) {
      return;
    }
  }
}

bool request_machine::try_dispatch(request_id id, model::time_point now,
                                   action_list& actions) {
  auto& request = requests_.at(id);
  const auto& info = request.info;
  double left_ms = as_ms(info.deadline - now);
  bool misses_deadline =
      options_.check_expected_wait && !request.slot_free_on_arrival &&
      request.state.attempts() == 0 &&
      left_ms < scheduling::time_needed_ms(request.expected_cost_ms);
  if (left_ms <= 0 || misses_deadline) {
    give_up(id, refusal_reason::deadline, actions);
    return true;
  }
  auto choose = [&](bool last_resort) {
    return backends_.choose(info.service, request.tried, info.idempotent,
                            last_resort, now);
  };
  if (auto target = choose(false)) {
    send(id, request, *target, now, actions);
    return true;
  }
  if (info.forwarded) {
    give_up(id, refusal_reason::no_backend, actions);
    return true;
  }
  if (auto member = backends_.choose_peer(info.service, request.tried)) {
    forward(id, request, *member, now, actions);
    return true;
  }
  if (auto target = choose(true)) {
    send(id, request, *target, now, actions);
    return true;
  }
  return false;
}

void request_machine::send(request_id id, open_request& request,
                           const model::backend_id& target,
                           model::time_point now, action_list& actions) {
  queues_.at(request.info.service).pop(id, now);
  deadlines_.erase({request.info.deadline, id});
  request.current = phase::sending;
  request.target = target;
  request.sent_at = now;
  request.tried.insert(target);
  request.state.begin_attempt();
  actions.emplace_back(send_action{id, request.state.attempts(),
                                   backends_.acquire(target, now),
                                   time_left(request, now)});
}

void request_machine::forward(request_id id, open_request& request,
                              const model::instance_id& member,
                              model::time_point now, action_list& actions) {
  queues_.at(request.info.service).pop(id, now);
  // The deadline stays registered, since the peer may never respond.
  request.current = phase::forwarding;
  request.target = member;
  request.sent_at = now;
  request.tried.insert(member);
  request.state.begin_attempt();
  backends_.acquire_peer(member, request.info.service);
  actions.emplace_back(forward_action{id, request.state.attempts(), member,
                                      time_left(request, now)});
}

void request_machine::release(const open_request& request,
                              const attempt_result& result,
                              model::time_point now, action_list& actions) {
  if (request.current == phase::forwarding) {
    bool refused = result.end == attempt_end::refused ||
                   result.end == attempt_end::not_sent;
    backends_.release_peer(request.target, request.info.service, refused);
    return;
  }
  backends_.release(request.target);
  update_estimates(request, result, now, actions);
}

void request_machine::update_estimates(const open_request& request,
                                       const attempt_result& result,
                                       model::time_point now,
                                       action_list& actions) {
  scheduling::health_sample sample{.end = result.end,
                                   .server_error = result.server_error};
  if (result.end == attempt_end::responded && !result.server_error) {
    const auto& info = request.info;
    double measured_ms = as_ms(now - request.sent_at);
    costs_.observe(info.service, info.request_class, info.path, measured_ms);
    double expected_ms =
        costs_.estimate_cost(info.service, info.request_class, info.path);
    sample.slowdown =
        (measured_ms + slowdown_offset_ms) / (expected_ms + slowdown_offset_ms);
  }
  auto change = backends_.health().record(request.target, sample, now);
  if (change != scheduling::health_change::none) {
    actions.emplace_back(health_notice{request.target, change});
  }
}

void request_machine::retry(request_id id, attempt_end cause, bool from_backend,
                            model::time_point now, action_list& actions) {
  if (from_backend) {
    budget_.record_retry(now);
  }
  auto& request = requests_.at(id);
  actions.emplace_back(retry_notice{id, cause});
  enqueue(id, request);
}

void request_machine::apply(request_id id, const scheduling::next_step& step,
                            action_list& actions) {
  if (std::holds_alternative<scheduling::deliver_response>(step)) {
    actions.emplace_back(deliver_action{id});
  } else if (const auto* refusal =
                 std::get_if<scheduling::refuse_request>(&step)) {
    actions.emplace_back(refuse_action{id, refusal->reason});
  } else if (const auto* failure =
                 std::get_if<scheduling::fail_request>(&step)) {
    actions.emplace_back(fail_action{id, failure->status, failure->reason});
  }
  remove_request(id);
}

void request_machine::give_up(request_id id, refusal_reason reason,
                              action_list& actions) {
  apply(id, requests_.at(id).state.give_up(reason), actions);
}

void request_machine::remove_request(request_id id) {
  auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  const auto& request = found->second;
  if (request.current == phase::claiming) {
    --claiming_;
  }
  auto queue = queues_.find(request.info.service);
  if (queue != queues_.end()) {
    queue->second.remove(id);
  }
  deadlines_.erase({request.info.deadline, id});
  requests_.erase(found);
}

}  // namespace vanillaladder::serving
