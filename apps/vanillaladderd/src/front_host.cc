#include "front_host.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "control/wire_convert.h"

namespace vanillaladder::daemon {
namespace {

constexpr unsigned max_descriptors = 16384;
constexpr model::milliseconds write_poll_interval{20};

serving::front_limits make_limits(const runtime::limit_settings& settings) {
  serving::front_limits limits;
  limits.max_response_bytes = settings.max_response_bytes;
  limits.request_timeout_ms = settings.request_timeout;
  return limits;
}

serving::key_outcome parse_key_outcome(std::string_view name) {
  if (name == "answered") {
    return serving::key_outcome::answered;
  }
  return name == "not-run" ? serving::key_outcome::not_run
                           : serving::key_outcome::unknown;
}

serving::claim_result to_claim_result(const control::wire::key_result& result) {
  if (result.outcome != control::wire::call_outcome::DONE) {
    return serving::claim_unavailable{result.reason};
  }
  if (result.claimed) {
    return serving::key_claimed{};
  }
  return serving::key_repeated{parse_key_outcome(result.recorded_outcome)};
}

serving::forward_result to_forward_result(
    const std::variant<control::wire::http_result, control::call_failure>&
        answer) {
  if (const auto* failure = std::get_if<control::call_failure>(&answer)) {
    if (!failure->possibly_sent) {
      return serving::forward_not_run{"peer-unavailable"};
    }
    return serving::forward_unknown{"peer-silent", true};
  }
  const auto& result = std::get<control::wire::http_result>(answer);
  switch (result.outcome) {
    case control::wire::call_outcome::DONE:
      return control::from_wire(result);
    case control::wire::call_outcome::NOT_RUN:
      return serving::forward_not_run{result.reason};
    case control::wire::call_outcome::UNKNOWN:
      break;
  }
  return serving::forward_unknown{result.reason, true};
}

/// @return the metric name and the label name for a front event.
std::pair<std::string, std::string> metric_and_label_name(
    serving::front_event event) {
  std::string name = "vanillaladder_";
  name += serving::to_string(event);
  name += "_total";
  switch (event) {
    case serving::front_event::sent:
    case serving::front_event::forwarded:
    case serving::front_event::answered:
      return {name, "service"};
    case serving::front_event::refused:
    case serving::front_event::failed:
    case serving::front_event::retried:
      return {name, "reason"};
    case serving::front_event::ejected:
    case serving::front_event::readmitted:
      return {name, "backend"};
    default:
      return {name, "kind"};
  }
}

}  // namespace

void front_counters::count(serving::front_event event, std::string_view label) {
  auto [name, label_name] = metric_and_label_name(event);
  if (label.empty()) {
    metrics_.counter(name).increment();
  } else {
    metrics_.counter(name, label_name, label).increment();
  }
}

void front_counters::observe_latency(const model::class_id& request_class,
                                     model::milliseconds latency) {
  metrics_
      .histogram("vanillaladder_request_latency_seconds", "class",
                 request_class)
      .observe(latency);
}

front_host::front_host(const runtime::daemon_settings& settings,
                       control::control_channel& channel,
                       runtime::metrics& metrics)
    : settings_(settings),
      channel_(channel),
      metrics_(metrics),
      loop_(max_descriptors),
      counters_(metrics),
      front_(loop_, *this, *this, counters_, make_limits(settings.limits)) {}

front_host::~front_host() = default;

absl::Status front_host::listen() {
  http::server_options options;
  options.address = settings_.listen.address;
  options.max_request_bytes = settings_.limits.max_request_bytes;
  options.port = settings_.listen.caller_port;
  options.limits.max_connections = max_descriptors / 2;
  options.limits.max_buffered_bytes =
      std::max(options.limits.max_buffered_bytes,
               4 * settings_.limits.max_request_bytes);
  options.on_limit = [this](std::string_view cause) {
    metrics_.counter("vanillaladder_callers_limited_total", "cause", cause)
        .increment();
  };
  auto caller_server = http::server::listen(
      loop_, options, [this](http::request message, const auto& answer) {
        handle_caller(std::move(message), answer);
      });
  if (!caller_server.ok()) {
    return caller_server.status();
  }
  caller_server_ = *std::move(caller_server);
  options.port = settings_.listen.operator_port;
  auto operator_server = http::server::listen(
      loop_, options, [this](const http::request& message, const auto& answer) {
        handle_operator(message, answer);
      });
  if (!operator_server.ok()) {
    return operator_server.status();
  }
  operator_server_ = *std::move(operator_server);
  return absl::OkStatus();
}

absl::Status front_host::run(std::stop_token stop) {
  std::stop_callback on_stop(stop, [this] { loop_.stop(); });
  loop_.run();
  return absl::OkStatus();
}

void front_host::update(const serving::serving_view& view,
                        std::function<void(control::front_status)> applied) {
  loop_.post([this, view, applied = std::move(applied)] {
    front_.update(view);
    applied({front_.in_flight(), front_.free_slots()});
  });
}

void front_host::forward(http::request message, model::milliseconds remaining,
                         std::function<void(http::response)> done) {
  loop_.post(
      [this, message = std::move(message), remaining, done = std::move(done)] {
        front_.handle_forwarded(message, remaining, done);
      });
}

void front_host::drain(std::function<void()> idle) {
  loop_.post([this, idle = std::move(idle)] {
    caller_server_->disable_keep_alive();
    front_.begin_drain([this, idle] { wait_for_response_writes(idle); });
  });
}

void front_host::wait_for_response_writes(const std::function<void()>& idle) {
  // The front reports idle when it has passed the last response to the server,
  // which may not have written it yet.
  if (caller_server_->open_requests() == 0) {
    idle();
    return;
  }
  loop_.call_after(write_poll_interval,
                   [this, idle] { wait_for_response_writes(idle); });
}

void front_host::claim(std::uint64_t key_hash, std::uint64_t request_digest,
                       model::milliseconds remaining,
                       serving::key_claims::callback done) {
  control::wire::key_claim claim;
  claim.key_hash = static_cast<std::int64_t>(key_hash);
  claim.digest = static_cast<std::int64_t>(request_digest);
  bool posted = channel_.post(
      [this, claim, remaining, done](control::control_plane& plane) {
        plane.claim_key(
            claim, remaining,
            [this, done](const control::wire::key_result& result) {
              loop_.post([done, result] { done(to_claim_result(result)); });
            });
      });
  if (!posted) {
    done(serving::claim_unavailable{"key-owner-unavailable"});
  }
}

void front_host::finish(std::uint64_t key_hash, serving::key_outcome outcome) {
  control::wire::key_claim claim;
  claim.key_hash = static_cast<std::int64_t>(key_hash);
  std::string name(serving::to_string(outcome));
  channel_.post([claim, name](control::control_plane& plane) {
    plane.finish_key(claim, name);
  });
}

void front_host::forward(const model::instance_id& member,
                         http::request message, model::milliseconds deadline,
                         serving::forwarder::callback done) {
  auto request = control::to_wire(message);
  bool posted = channel_.post(
      [this, member, request, deadline, done](control::control_plane& plane) {
        plane.forward_request(
            member, request, deadline, [this, done](const auto& answer) {
              loop_.post([done, answer] { done(to_forward_result(answer)); });
            });
      });
  if (!posted) {
    done(serving::forward_not_run{"control-restarting"});
  }
}

}  // namespace vanillaladder::daemon
