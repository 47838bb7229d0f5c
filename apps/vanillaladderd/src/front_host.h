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

/// Counts the front's events in the daemon's metrics.
class front_counters : public serving::front_metrics {
 public:
  explicit front_counters(runtime::metrics& metrics) : metrics_(metrics) {}

  void count(serving::front_event event, std::string_view label) override;
  void observe_latency(const model::class_id& request_class,
                       model::milliseconds latency) override;

 private:
  runtime::metrics& metrics_;
};

/// The event loop with the callers' and the operators' HTTP servers and the
/// front; connects it with the control plane.
class front_host : public control::front_interface,
                   public serving::key_claims,
                   public serving::forwarder {
 public:
  /// @param channel, metrics must outlive the host.
  front_host(const runtime::daemon_settings& settings,
             control::control_channel& channel, runtime::metrics& metrics);
  ~front_host() override;

  /// Binds both ports.
  absl::Status listen();
  std::uint16_t caller_port() const { return callers_->port(); }
  std::uint16_t operator_port() const { return operators_->port(); }

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
  using plane_call = std::function<void(control::control_plane&,
                                        std::function<void(http::response)>)>;

  void handle_caller(http::request message, const responder_ptr& answer);
  void handle_operator(const http::request& message,
                       const responder_ptr& answer);
  /// @return whether the request was one for the jobs API.
  bool handle_jobs(const http::request& message, const responder_ptr& answer);
  bool handle_config(const http::request& message, const responder_ptr& answer);
  /// Calls `idle` once every response has been written or its caller is gone.
  void wait_for_last_responses(const std::function<void()>& idle);
  /// Runs `call` on the control plane's thread and sends its answer.
  void ask_plane(const responder_ptr& answer, plane_call call);

  runtime::daemon_settings settings_;
  control::control_channel& channel_;
  runtime::metrics& metrics_;
  http::event_loop loop_;
  front_counters counters_;
  serving::front front_;
  std::unique_ptr<http::server> callers_;
  std::unique_ptr<http::server> operators_;
};

}  // namespace vanillaladder::daemon
