#pragma once

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "http/client.h"
#include "runtime/log.h"
#include "serving/front.h"
#include "serving/request_machine.h"

namespace vanillaladder::serving {
namespace detail {

/// A request that was accepted and has not been answered yet.
struct served_request {
  http::request message;
  front::forwarded_callback done;
  std::string service;
  model::class_id request_class;
  model::time_point arrived;
  std::uint64_t key_hash = 0;
  bool key_claimed = false;
  /// Response of the last attempt.
  http::response answer;
};

}  // namespace detail

struct front::impl : std::enable_shared_from_this<front::impl> {
  impl(http::event_loop& event_loop, key_claims& key_port, forwarder& peer_port,
       front_metrics& counters, const front_limits& settings)
      : loop(event_loop),
        claims(key_port),
        peers(peer_port),
        metrics(counters),
        limits(settings),
        sender(event_loop),
        machine({.request_timeout_ms = settings.request_timeout_ms}) {}

  std::optional<request_id> accept(http::request message, bool forwarded,
                                   std::optional<milliseconds> remaining,
                                   forwarded_callback done);
  void run(action_list actions);
  void execute(const claim_action& requested);
  void execute(const send_action& requested);
  void execute(const forward_action& requested);
  void execute(const deliver_action& requested);
  void execute(const refuse_action& requested);
  void execute(const fail_action& requested);
  void execute(const drop_action& requested);
  void execute(const retry_notice& requested);
  void execute(const health_notice& requested);

  void claim_ended(request_id id, std::uint64_t key_hash,
                   const claim_result& result);
  void send_ended(request_id id, unsigned attempt, http::client_result result);
  void forward_ended(request_id id, unsigned attempt, forward_result result);
  void attempt_ended(request_id id, unsigned attempt,
                     scheduling::attempt_end end, http::response* answer,
                     std::string_view source);
  void finish(request_id id, key_outcome outcome, http::response answer);
  detail::served_request extract_request(request_id id, key_outcome outcome);
  void on_timer();
  void schedule();
  void report_idle();

  http::event_loop& loop;
  key_claims& claims;
  forwarder& peers;
  front_metrics& metrics;
  front_limits limits;
  http::client sender;
  request_machine machine;
  runtime::logger log{"front"};
  request_id last_id = 0;
  std::unordered_map<request_id, detail::served_request> requests;
  std::deque<action> pending;
  bool running = false;
  std::optional<std::pair<model::time_point, http::event_loop::timer_id>> timer;
  bool draining = false;
  std::function<void()> idle;
};

}  // namespace vanillaladder::serving
