#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "control/peer_mesh.h"
#include "control/shard_machine.h"
#include "control/trace.h"
#include "external/log_service.h"
#include "external/worker_service.h"
#include "http/event_loop.h"
#include "runtime/metrics.h"

namespace vanillaladder::control {

/// Dependencies of a shard driver; all references must outlive it.
struct shard_environment {
  http::event_loop& loop;
  external::log_service& log;
  external::worker_service& workers;
  runtime::metrics& metrics;
  /// Folder for trace files; tracing is disabled if empty.
  std::string trace_folder;
};

/// Forwards jobs to the owners of other shards.
class shard_peers {
 public:
  using outcome_callback = std::function<void(call_outcome)>;

  virtual ~shard_peers() = default;
  virtual void delegate(model::shard_id shard, const job_request& job,
                        outcome_callback done) = 0;
  virtual void cancel_delegated(model::shard_id shard, const model::job_id& job,
                                outcome_callback done) = 0;
};

/// I/O layer of one shard machine: reads and appends its log stream, calls
/// workers and completes requests. Must be used on one event loop only.
class shard_driver {
 public:
  using submit_callback =
      std::function<void(submit_result, const std::string& reason)>;
  using cancel_callback = std::function<void(cancel_result)>;
  using query_callback = std::function<void(bool found, const job_status&)>;
  using append_callback = std::function<void(
      coordination::append_outcome, const coordination::shard_result&)>;

  shard_driver(shard_environment environment, shard_peers& peers,
               model::shard_id shard, const caller_identity& self,
               const shard_limits& limits);
  ~shard_driver();
  shard_driver(const shard_driver&) = delete;
  shard_driver& operator=(const shard_driver&) = delete;

  /// Reads the stream continuously until `pause` is called; a paused driver
  /// keeps its state.
  void follow();
  void pause() { following_ = false; }
  bool following() const { return following_; }
  /// @return whether the driver follows the stream and has read up to its end.
  bool at_end() const { return following_ && at_end_; }

  /// Passes an event to the machine and executes the resulting actions.
  void handle_event(const event& input);
  /// Sends a tick to the machine if one is due, and expires idempotency keys
  /// while the machine owns its shard.
  void poll(model::time_point now);

  void submit(const job_request& job, bool delegated, submit_callback done);
  void cancel(const model::job_id& job, cancel_callback done);
  void query(const model::job_id& job, query_callback done);
  /// Appends a record about an idempotency key.
  void append(coordination::shard_body body, append_callback done);

  const shard_machine& machine() const { return machine_; }
  model::shard_id shard() const { return shard_; }

 private:
  class action_executor;

  void read_next();
  void on_read(absl::StatusOr<external::read_result> result);
  external::worker_address address_of(const model::worker_id& worker) const;
  external::worker_service::status_callback make_status_callback(
      call_id call, bool refused_if_not_sent);
  void expire_keys(model::time_point now);

  shard_environment environment_;
  shard_peers& peers_;
  model::shard_id shard_;
  std::string stream_;
  shard_machine machine_;
  std::unique_ptr<trace_writer> trace_;
  bool following_ = false;
  bool read_in_progress_ = false;
  bool at_end_ = false;
  std::deque<event> pending_events_;
  request_token last_token_ = 0;
  model::time_point next_tick_{};
  std::unordered_map<model::worker_id, external::worker_address> addresses_;
  std::unordered_map<request_token, submit_callback> submit_callbacks_;
  std::unordered_map<request_token, cancel_callback> cancel_callbacks_;
  std::unordered_map<request_token, query_callback> query_callbacks_;
  std::unordered_map<request_token, append_callback> append_callbacks_;
  /// Applied offsets sampled over time; idempotency keys up to a sample expire
  /// when it is older than the retention time.
  std::deque<std::pair<model::time_point, model::offset>> offset_samples_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace vanillaladder::control
