#pragma once

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <vector>

#include "control/config_api.h"
#include "control/control_stream.h"
#include "control/peer_mesh.h"
#include "control/peer_server.h"
#include "control/shard_set.h"
#include "coordination/slot_grants.h"
#include "coordination/view_freshness.h"
#include "external/http_instance_list.h"
#include "external/http_log_service.h"
#include "external/http_worker_service.h"
#include "http/event_loop.h"
#include "runtime/metrics.h"
#include "runtime/settings.h"
#include "serving/view.h"

namespace vanillaladder::control {

/// Load that the front end reports after it has applied a view.
struct front_status {
  std::map<model::backend_id, unsigned> in_flight;
  std::map<std::string, unsigned> free_slots;
};

/// The front end's interface towards the control plane. Functions may be called
/// from any thread; callbacks run on the front end's thread.
class front_interface {
 public:
  virtual ~front_interface() = default;
  virtual void update(const serving::serving_view& view,
                      std::function<void(front_status)> applied) = 0;
  virtual void forward(http::request message, model::milliseconds remaining,
                       std::function<void(http::response)> done) = 0;
  /// Rejects new requests and calls `on_idle` once the accepted ones are done.
  virtual void drain(std::function<void()> on_idle) = 0;
};

class control_plane;

/// Gives other threads access to the current control plane; there is none while
/// it is being restarted.
class control_channel {
 public:
  /// Runs `task` on the control plane's thread.
  /// @return false if there is currently no control plane; `task` is dropped.
  bool post(std::function<void(control_plane&)> task);

 private:
  friend class control_plane;
  std::mutex mutex_;
  control_plane* plane_ = nullptr;
};

/// All of a daemon except the interactive path: follows the control stream,
/// exchanges heartbeats, owns shards, publishes views to the front end.
class control_plane : public peer_handler {
 public:
  struct options {
    runtime::daemon_settings settings;
    std::uint16_t operator_port = 0;
  };

  /// @param front, channel, metrics must outlive the control plane.
  control_plane(const options& settings, front_interface& front,
                control_channel& channel, runtime::metrics& metrics);
  ~control_plane() override;

  /// Binds the peer port.
  absl::Status listen();
  std::uint16_t peer_port() const { return server_->port(); }

  /// Runs until `stop`, or until a drain has completed.
  /// @return `OkStatus` after a drain or stop, `Aborted` if other members
  ///   removed this incarnation; the caller then builds a new control plane.
  absl::Status run(std::stop_token stop);

  /// Runs `task` on the control plane's thread; may be called from any thread.
  void post(std::function<void(control_plane&)> task);

  /// The functions below must be called on the control plane's thread.
  void publish(parsed_change change, std::function<void(http::response)> done);
  http::response config() const;
  http::response version(std::string_view number) const;
  http::response status() const;
  http::response instances() const;
  void begin_drain();
  /// Claims an idempotency key for a request that this daemon received.
  void claim_key(wire::key_claim claim, model::milliseconds timeout,
                 shard_set::claim_reply done);
  void finish_key(wire::key_claim claim, const std::string& outcome);
  /// @param done may be called on any thread.
  void forward_request(const model::instance_id& member,
                       const wire::http_request& request,
                       model::milliseconds timeout,
                       peer_mesh::http_callback done);
  shard_set& shards() { return *shards_; }

  void on_heartbeat(const wire::heartbeat_message& message,
                    reply<wire::heartbeat_message> done) override;
  void on_fetch_records(model::offset first, std::int32_t limit,
                        reply<std::vector<wire::log_record>> done) override;
  void on_push_records(const std::vector<wire::log_record>& records) override;
  void on_forward_request(const wire::call_context& context,
                          const wire::http_request& request,
                          reply<wire::http_result> done) override;
  void on_claim_key(const wire::key_claim& claim,
                    reply<wire::key_result> done) override;
  void on_finish_key(const wire::key_claim& claim,
                     const std::string& outcome) override;
  void on_job_call(job_call call, model::shard_id shard, const std::string& key,
                   const std::string& body,
                   reply<wire::http_result> done) override;

 private:
  enum class drain_phase {
    none,
    /// Reports not ready; the load balancer may still send requests.
    announced,
    finishing_requests,
    releasing_shards,
    leaving,
  };
  struct peer_state {
    wire::heartbeat_message last_message;
    model::time_point last_heard{};
  };
  /// A change that was read back from the log and waits until a majority has
  /// applied it.
  struct pending_confirmation {
    publish_result result;
    model::time_point deadline;
    std::function<void(http::response)> done;
  };

  void tick();
  void join_if_needed(model::time_point now);
  void create_first_version(model::time_point now);
  void expel_silent_members(model::time_point now);
  void on_control_changed();
  void on_stream_end(model::time_point sent, model::offset next);
  void send_heartbeats(model::time_point now);
  bool heartbeat_needed(const model::instance_id& member,
                        model::time_point now) const;
  void on_peer_message(const wire::heartbeat_message& message,
                       model::time_point now);
  void request_missing_records();
  wire::heartbeat_message own_heartbeat(model::time_point now) const;
  bool limits_match(const wire::protocol_limits& limits) const;
  void fetch_instances();
  void publish_view(model::time_point now);
  serving::serving_view make_view(model::time_point now) const;
  void on_front_status(std::uint64_t sequence, const front_status& status);
  void update_freshness(model::time_point now);
  void confirm_changes(model::time_point now);
  void advance_drain(model::time_point now);
  std::vector<coordination::member_liveness> liveness(
      model::time_point now) const;
  bool is_member() const;
  std::vector<model::member_info> other_members() const;

  options options_;
  caller_identity self_;
  front_interface& front_;
  control_channel& channel_;
  runtime::metrics& metrics_;
  runtime::logger logger_{"control"};
  http::event_loop loop_;
  external::http_log_service log_;
  external::http_worker_service workers_;
  external::http_instance_list instance_list_;
  peer_mesh mesh_;
  std::unique_ptr<control_stream> stream_;
  std::unique_ptr<shard_set> shards_;
  coordination::view_freshness freshness_;
  coordination::grant_tracker grants_;
  coordination::config_view config_{coordination::config_keys{}};
  external::instance_snapshot instances_;
  std::map<model::instance_id, peer_state> peers_;
  std::vector<pending_confirmation> confirmations_;
  model::offset applied_offset_ = -1;
  model::offset config_since_ = -1;
  std::uint64_t version_ = 0;
  std::uint64_t revision_ = 0;
  model::time_point last_heartbeat_{};
  model::time_point last_instance_fetch_{};
  model::time_point last_view_{};
  model::time_point last_missing_request_{};
  model::time_point last_expel_{};
  bool view_dirty_ = true;
  bool joining_ = false;
  bool joined_ = false;
  bool creating_version_ = false;
  bool fetching_instances_ = false;
  bool instances_known_ = false;
  std::uint64_t view_sequence_ = 0;
  /// First view sequence that carries the grants of the newest membership view.
  std::uint64_t grant_sequence_ = 0;
  model::offset reported_view_ = -1;
  bool within_grant_ = false;
  front_status front_status_;
  events::view_freshness_changed shard_freshness_;
  drain_phase drain_ = drain_phase::none;
  model::time_point drain_started_{};
  bool requests_finished_ = false;
  std::optional<absl::Status> result_;
  /// Declared last and thus destroyed first, so that no call arrives after the
  /// other members are destroyed.
  std::unique_ptr<peer_server> server_;
};

}  // namespace vanillaladder::control
