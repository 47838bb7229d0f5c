#include <algorithm>

#include "serving/detail/front_impl.h"
#include "serving/detail/messages.h"

namespace vanillaladder::serving {
namespace {

using clock = std::chrono::steady_clock;
using scheduling::attempt_end;
using scheduling::refusal_reason;

}  // namespace

void front::impl::run(action_list actions) {
  std::ranges::move(actions, std::back_inserter(pending));
  if (running) {
    // Called from a callback that ran inside an action; the outer loop executes
    // the new actions.
    return;
  }
  running = true;
  while (!pending.empty()) {
    auto next = std::move(pending.front());
    pending.pop_front();
    std::visit([this](const auto& requested) { execute(requested); }, next);
  }
  running = false;
  schedule();
  report_idle();
}

void front::impl::execute(const claim_action& requested) {
  auto found = requests.find(requested.id);
  if (found == requests.end()) {
    return;
  }
  auto key_hash = found->second.key_hash;
  claims.claim(key_hash, detail::digest_of(found->second.message),
               requested.remaining,
               [self = weak_from_this(), id = requested.id,
                key_hash](claim_result result) {
                 if (auto locked = self.lock()) {
                   locked->claim_ended(id, key_hash, result);
                 }
               });
}

void front::impl::claim_ended(request_id id, std::uint64_t key_hash,
                              const claim_result& result) {
  bool claimed = std::holds_alternative<key_claimed>(result);
  if (!machine.is_open(id)) {
    metrics.count(front_event::late_result, "claim");
    if (claimed) {
      claims.finish(key_hash, key_outcome::not_run);
    }
    return;
  }
  if (claimed) {
    requests.at(id).key_claimed = true;
    run(machine.claim_granted(id, clock::now()));
    return;
  }
  machine.remove_unclaimed(id);
  if (const auto* repeated = std::get_if<key_repeated>(&result)) {
    metrics.count(front_event::key_repeated, to_string(repeated->outcome));
    finish(id, repeated->outcome,
           detail::outcome_response(409, repeated->outcome, "key-repeated"));
  } else {
    auto reason = scheduling::parse_refusal_reason(
        std::get<claim_unavailable>(result).reason);
    execute(refuse_action{
        id, reason.value_or(refusal_reason::key_owner_unavailable)});
  }
  run({});
}

void front::impl::execute(const send_action& requested) {
  auto now = clock::now();
  if (!machine.fresh(now)) {
    run(machine.attempt_cancelled(requested.id, requested.attempt, now));
    return;
  }
  const auto& served = requests.at(requested.id);
  metrics.count(front_event::sent, served.service);
  http::client_options options;
  options.timeout = requested.timeout;
  options.max_response_bytes = limits.max_response_bytes;
  sender.send(requested.target.address, requested.target.port, served.message,
              options,
              [this, id = requested.id,
               attempt = requested.attempt](http::client_result result) {
                send_ended(id, attempt, std::move(result));
              });
}

void front::impl::send_ended(request_id id, unsigned attempt,
                             http::client_result result) {
  auto end = detail::classify(result);
  attempt_ended(id, attempt, end, std::get_if<http::response>(&result),
                "backend");
}

void front::impl::execute(const forward_action& requested) {
  auto now = clock::now();
  if (!machine.fresh(now)) {
    run(machine.attempt_cancelled(requested.id, requested.attempt, now));
    return;
  }
  const auto& served = requests.at(requested.id);
  metrics.count(front_event::forwarded, served.service);
  peers.forward(requested.member, served.message, requested.timeout,
                [self = weak_from_this(), id = requested.id,
                 attempt = requested.attempt](forward_result result) {
                  if (auto locked = self.lock()) {
                    locked->forward_ended(id, attempt, std::move(result));
                  }
                });
}

void front::impl::forward_ended(request_id id, unsigned attempt,
                                forward_result result) {
  auto end = detail::classify(result);
  attempt_ended(id, attempt, end, std::get_if<http::response>(&result), "peer");
}

void front::impl::attempt_ended(request_id id, unsigned attempt,
                                attempt_end end, http::response* answer,
                                std::string_view source) {
  if (!machine.is_current(id, attempt)) {
    metrics.count(front_event::late_result, source);
    return;
  }
  attempt_result result{.end = end};
  if (end == attempt_end::responded) {
    result.server_error = answer->status >= 500;
    requests.at(id).answer = std::move(*answer);
  }
  auto actions = machine.attempt_ended(id, attempt, result, clock::now());
  run(std::move(actions));
}

void front::impl::execute(const deliver_action& requested) {
  auto& served = requests.at(requested.id);
  metrics.count(front_event::answered, served.service);
  metrics.observe_latency(
      served.request_class,
      std::chrono::duration_cast<milliseconds>(clock::now() - served.arrived));
  finish(requested.id, key_outcome::answered,
         detail::answered_response(std::move(served.answer)));
}

void front::impl::execute(const refuse_action& requested) {
  metrics.count(front_event::refused, scheduling::to_string(requested.reason));
  finish(requested.id, key_outcome::not_run,
         detail::refusal_response(requested.reason));
}

void front::impl::execute(const fail_action& requested) {
  metrics.count(front_event::failed, requested.reason);
  finish(requested.id, key_outcome::unknown,
         detail::outcome_response(requested.status, key_outcome::unknown,
                                  requested.reason));
}

void front::impl::execute(const drop_action& requested) {
  if (requested.outcome == key_outcome::answered) {
    metrics.count(front_event::late_result, "caller-gone");
  }
  extract_request(requested.id, requested.outcome);
}

void front::impl::execute(const retry_notice& requested) {
  metrics.count(front_event::retried, scheduling::to_string(requested.cause));
}

void front::impl::execute(const health_notice& requested) {
  bool ejected = requested.change == scheduling::health_change::ejected;
  metrics.count(ejected ? front_event::ejected : front_event::readmitted,
                requested.backend);
  log.warn("backend server " + requested.backend +
           (ejected ? " ejected after failures" : " readmitted"));
}

detail::served_request front::impl::extract_request(request_id id,
                                                    key_outcome outcome) {
  auto node = requests.extract(id);
  auto served = std::move(node.mapped());
  if (served.key_claimed) {
    claims.finish(served.key_hash, outcome);
  }
  return served;
}

void front::impl::finish(request_id id, key_outcome outcome,
                         http::response answer) {
  extract_request(id, outcome).done(std::move(answer));
}

}  // namespace vanillaladder::serving
