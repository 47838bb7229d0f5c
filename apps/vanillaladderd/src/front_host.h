#pragma once

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <stop_token>
#include <string>

#include "control/control_plane.h"
#include "http/server.h"
#include "runtime/metrics.h"
#include "runtime/settings.h"
#include "serving/front.h"

namespace vanillaladder::daemon {

/// Records the front's events and latencies in the daemon's metrics.
class front_counters : public serving::front_metrics {
 public:
  explicit front_counters(runtime::metrics& metrics) : metrics_(metrics) {}

  void count(serving::front_event event, std::string_view label) override;
  void observe_latency(const model::class_id& request_class,
                       model::milliseconds latency) override;

 private:
  runtime::metrics& metrics_;
};

/// Runs the front and the HTTP servers for callers and operators on one event
/// loop, and connects them to the control plane, which has its own thread.
class front_host : public control::front_interface,
                   public serving::key_claims,
                   public serving::forwarder {
 public:
  /// @param channel must outlive the host.
  /// @param metrics must outlive the host.
  front_host(const runtime::daemon_settings& settings,
             control::control_channel& channel, runtime::metrics& metrics);
  ~front_host() override;

  /// Binds the caller port and the operator port.
  absl::Status listen();
  std::uint16_t caller_port() const { return caller_server_->port(); }
  std::uint16_t operator_port() const { return operator_server_->port(); }

  absl::Status run(std::stop_token stop);

  void update(const serving::serving_view& view,
              std::function<void(control::front_status)> applied) override;
  void forward(http::request message, model::milliseconds remaining,
               std::function<void(http::response)> done) override;
  void drain(std::function<void()> idle) override;

  void claim(std::uint64_t key_hash, std::uint64_t request_digest,
             model::milliseconds remaining,
             serving::key_claims::callback done) override;
  void finish(std::uint64_t key_hash, serving::key_outcome outcome) override;
  void forward(const model::instance_id& member, http::request message,
               model::milliseconds deadline,
               serving::forwarder::callback done) override;

 private:
  using responder_ptr = std::shared_ptr<http::responder>;
  using control_plane_call = std::function<void(
      control::control_plane&, std::function<void(http::response)>)>;

  void handle_caller(http::request message, const responder_ptr& answer);
  void handle_operator(const http::request& message,
                       const responder_ptr& answer);
  /// @return whether the request belongs to the jobs API.
  bool handle_jobs(const http::request& message, const responder_ptr& answer);
  bool handle_config(const http::request& message, const responder_ptr& answer);
  /// Calls `idle` once every response has been written or its caller has
  /// disconnected.
  void wait_for_response_writes(const std::function<void()>& idle);
  /// Runs `call` on the control plane's thread and sends its response.
  void call_control_plane(const responder_ptr& answer, control_plane_call call);

  runtime::daemon_settings settings_;
  control::control_channel& channel_;
  runtime::metrics& metrics_;
  http::event_loop loop_;
  front_counters counters_;
  serving::front front_;
  std::unique_ptr<http::server> caller_server_;
  std::unique_ptr<http::server> operator_server_;
};

}  // namespace vanillaladder::daemon
