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

/// What a shard driver needs from its surroundings; all must outlive it.
struct shard_environment {
  http::event_loop& loop;
  external::log_service& log;
  external::worker_service& workers;
  runtime::metrics& metrics;
  /// Where traces are written; empty writes none.
  std::string trace_folder;
};

/// Calls to the owners of other shards.
class shard_peers {
 public:
  using outcome_callback = std::function<void(call_outcome)>;

  virtual ~shard_peers() = default;
  virtual void delegate(model::shard_id shard, const job_request& job,
                        outcome_callback done) = 0;
  virtual void cancel_delegated(model::shard_id shard, const model::job_id& job,
                                outcome_callback done) = 0;
};

/// Performs the actions of one shard machine: reads and appends its stream,
/// calls workers, answers requests. Lives on one event loop.
class shard_driver {
 public:
  using submit_callback =
      std::function<void(submit_result, const std::string& reason)>;
  using cancel_callback = std::function<void(cancel_result)>;
  using query_callback = std::function<void(bool found, const job_status&)>;
  using body_callback = std::function<void(coordination::append_outcome,
                                           const coordination::shard_result&)>;

  shard_driver(shard_environment environment, shard_peers& peers,
               model::shard_id shard, const caller_identity& self,
               const shard_limits& limits);
  ~shard_driver();
  shard_driver(const shard_driver&) = delete;
  shard_driver& operator=(const shard_driver&) = delete;

  /// Reads the stream until `pause`; a paused driver keeps its state.
  void follow();
  void pause() { following_ = false; }
  bool following() const { return following_; }
  /// @return whether the last read returned the end of the stream.
  bool at_end() const { return following_ && at_end_; }

  /// Passes an event to the machine and performs its actions.
  void feed(const event& input);
  /// Sends the machine's tick if it is due.
  void poll(model::time_point now);

  void submit(const job_request& job, bool delegated, submit_callback done);
  void cancel(const model::job_id& job, cancel_callback done);
  void query(const model::job_id& job, query_callback done);
  /// Appends a record about an idempotency key.
  void append(coordination::shard_body body, body_callback done);

  const shard_machine& machine() const { return machine_; }
  model::shard_id shard() const { return shard_; }

 private:
  class performer;

  void read_next();
  void on_read(absl::StatusOr<external::read_result> result);
  external::worker_address address_of(const model::worker_id& worker) const;
  external::worker_service::status_callback call_done(call_id call,
                                                      bool not_sent_is_refusal);
  void expire_keys(model::time_point now);

  shard_environment environment_;
  shard_peers& peers_;
  model::shard_id shard_;
  std::string stream_;
  shard_machine machine_;
  std::unique_ptr<trace_writer> trace_;
  bool following_ = false;
  bool reading_ = false;
  bool at_end_ = false;
  std::deque<event> pending_events_;
  request_token last_token_ = 0;
  model::time_point next_tick_{};
  std::unordered_map<model::worker_id, external::worker_address> addresses_;
  std::unordered_map<request_token, submit_callback> submits_;
  std::unordered_map<request_token, cancel_callback> cancels_;
  std::unordered_map<request_token, query_callback> queries_;
  std::unordered_map<request_token, body_callback> bodies_;
  /// Offsets at known times, for the expiry of keys.
  std::deque<std::pair<model::time_point, model::offset>> key_marks_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace vanillaladder::control
