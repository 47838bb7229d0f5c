#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coordination/append_tracker.h"
#include "coordination/records.h"
#include "coordination/shard_state.h"
#include "coordination/stream_reader.h"
#include "external/worker_service.h"
#include "model/types.h"

/// Input events of `shard_machine` and the actions it returns.
namespace vanillaladder::control {

/// Identifies one call to a worker; unique for the lifetime of a machine.
using call_id = std::uint64_t;
/// Identifies a caller's request; chosen by the I/O layer.
using request_token = std::uint64_t;
using external::attempt_id;
using external::lease_id;

/// Scheduling kind of a job class (`class.<name>.kind`).
enum class class_kind { interactive, urgent, batch };

/// A job submission, from a caller or delegated by another shard.
struct job_request {
  /// `s03-<key>`; names the home shard.
  model::job_id id;
  model::team_id team;
  model::class_id job_class;
  std::uint32_t tasks = 1;
  model::resources size;
  std::string command;
  std::int64_t expected_run_ms = 0;
  /// Number of times the job has been delegated to another shard; 0 for a
  /// submission by a caller.
  std::uint32_t moves = 0;
  /// State of the tasks that were started before earlier delegations.
  std::vector<coordination::task_progress> progress;
};

/// Outcome of a call to a worker.
enum class call_outcome {
  /// The worker confirmed that it executed the call.
  ok,
  /// The worker rejected the call; it has had no effect and never will.
  refused,
  /// No response: the call may have taken effect or may do so later.
  unknown,
};

/// Scheduling weight and quota of a team (`team.<name>.*`); a negative quota
/// is unlimited.
struct team_policy {
  std::int64_t weight = 10;
  model::resources quota{-1, -1, -1};
};

/// Configuration used by batch scheduling decisions.
struct batch_policy {
  std::set<model::domain_id> domains_out;
  std::set<model::instance_id> draining;
  std::set<model::instance_id> dead;
  std::map<model::class_id, class_kind> class_kinds;
  std::map<model::team_id, team_policy> teams;
  std::int64_t reserve_percent = 5;
  std::int64_t max_class_slowdown_percent = 120;
  std::int64_t max_checkpoints_per_second = 20;
};

namespace events {

/// Response to a read of the shard's stream from `next_offset()`. An empty
/// response confirms that the end of the stream was reached. The I/O layer
/// reads at least once a second: without a response for 3 s the machine starts
/// nothing and deletes no lease of another owner, since the process may have
/// been paused.
struct log_read {
  coordination::read_result read;
};

/// An append was acknowledged with the offset of its first record.
struct append_answered {
  std::uint64_t number = 0;
  model::offset at = -1;
};

/// An append failed or timed out; it may still have taken effect.
struct append_failed {
  std::uint64_t number = 0;
};

/// Requests an append of a record that scheduling does not depend on, such as
/// an idempotency key. Completed by `actions::body_resolved`.
struct append_body {
  request_token token = 0;
  coordination::shard_body body;
};

/// Result of `acquire_lease`, `renew_lease`, `delete_lease`, `start_task`,
/// `adopt_task`, `checkpoint_task`, `throttle_task`, `stop_task`,
/// `acknowledge_end`; also of a `list_worker` that failed.
struct worker_call_done {
  call_id call = 0;
  call_outcome outcome = call_outcome::unknown;
  /// The new lease, for `acquire_lease`.
  lease_id lease;
  /// The new checkpoint, for `checkpoint_task`.
  std::string checkpoint;
};

/// Result of `list_worker`.
struct worker_listed {
  call_id call = 0;
  external::worker_report report;
};

/// Workers of this shard in the current instance list.
struct workers_changed {
  std::vector<model::worker_info> workers;
};

/// The configuration has changed.
struct policy_changed {
  batch_policy policy;
};

/// The current members. A former owner that has rejoined with a higher
/// incarnation, or whose instance is dead, no longer renews leases.
struct members_changed {
  std::map<model::instance_id, model::incarnation> members;
};

/// Whether the membership view is up to date and the log reachable; batch tasks
/// start only if both hold.
struct view_freshness_changed {
  bool fresh = false;
  bool log_reachable = false;
  /// Whether a peer reaches the log. If so, another daemon may claim the shard
  /// unnoticed while this one cannot read the log, and renewals stop after the
  /// blind renewal limit even though the view is fresh.
  bool log_reachable_by_peer = false;
};

/// Available resources of the other shards, from heartbeats.
struct shards_changed {
  struct room {
    /// Available resources, summed over the shard's workers.
    model::resources free;
    /// Element-wise maximum of the capacities of its workers.
    model::resources largest_worker;
  };
  std::map<model::shard_id, room> shards;
};

/// A caller or the owner of another shard submits a job.
struct submit_job {
  request_token token = 0;
  job_request job;
  /// Whether the job is delegated to this shard by the owner of another one.
  bool delegated = false;
};

/// A caller cancels a job.
struct cancel_job {
  request_token token = 0;
  model::job_id job;
};

/// A caller requests the status of a job.
struct query_job {
  request_token token = 0;
  model::job_id job;
};

/// Response of another shard's owner to `delegate_job`.
struct delegation_done {
  model::job_id job;
  /// `moves` of the submission; distinguishes late responses to earlier
  /// delegations.
  std::uint32_t moves = 0;
  /// `ok` once that owner has read the submission back.
  call_outcome outcome = call_outcome::unknown;
};

/// Response of another shard's owner to `cancel_delegated`.
struct delegated_cancel_done {
  model::job_id job;
  call_outcome outcome = call_outcome::unknown;
};

/// Timer event. Sent at the time of the last `set_next_tick`; additional ticks
/// are harmless.
struct tick {};

/// This daemon is shutting down: start nothing more and release the shard.
struct drain_requested {};

/// This daemon should claim the shard.
struct claim_shard {};

/// Another daemon is the preferred owner: release the shard once all pending
/// appends are resolved.
struct release_shard {};

}  // namespace events

using event = std::variant<
    events::log_read, events::append_answered, events::append_failed,
    events::append_body, events::worker_call_done, events::worker_listed,
    events::workers_changed, events::policy_changed, events::members_changed,
    events::view_freshness_changed, events::shards_changed, events::submit_job,
    events::cancel_job, events::query_job, events::delegation_done,
    events::delegated_cancel_done, events::tick, events::drain_requested,
    events::claim_shard, events::release_shard>;

/// Result of a submission, with the HTTP status it maps to.
enum class submit_result {
  /// 201: the submission was read back.
  created,
  /// 200: a job with this id was submitted before.
  already_exists,
  /// 422: the job is malformed, above its quota, or fits on no known worker;
  /// see
  /// `reason`.
  unschedulable,
  /// 503 `not-run`: not the owner, stale view or unreachable log.
  not_run,
  /// 503 `unknown`: appended but not read back, e.g. because ownership was
  /// lost.
  unknown,
};

/// Result of a cancellation.
enum class cancel_result { cancelled, no_such_job, not_run, unknown };

/// Status of a job and its task counts by state.
struct job_status {
  model::job_id id;
  model::team_id team;
  model::class_id job_class;
  std::uint32_t pending = 0;
  std::uint32_t starting = 0;
  std::uint32_t running = 0;
  std::uint32_t evicting = 0;
  std::uint32_t finished = 0;
  std::uint32_t failed = 0;
  std::uint32_t cancelled = 0;
  bool cancel_requested = false;
  /// Shard that the job was delegated to; -1 if it was not.
  std::int32_t delegated_to = -1;
};

namespace actions {

/// Append a batch to the shard's stream in one call; at most one is in flight.
/// Completed by `events::append_answered` or `events::append_failed`.
struct append {
  coordination::append_batch batch;
};

/// Outcome of `events::append_body`.
struct body_resolved {
  request_token token = 0;
  coordination::append_outcome outcome = coordination::append_outcome::unknown;
  /// Result of applying the record, if it was read back.
  coordination::shard_result result;
};

/// `POST /leases` with the machine's holder name.
struct acquire_lease {
  call_id call = 0;
  model::worker_id worker;
  std::string holder;
  std::int64_t duration_ms = 0;
};

/// Extend a lease by its duration.
struct renew_lease {
  call_id call = 0;
  model::worker_id worker;
  lease_id lease;
};

/// Delete a lease; the worker stops the tasks that still run under it.
struct delete_lease {
  call_id call = 0;
  model::worker_id worker;
  lease_id lease;
};

/// Request the leases, tasks and usage of a worker.
struct list_worker {
  call_id call = 0;
  model::worker_id worker;
};

/// Start an attempt to run a task.
struct start_task {
  call_id call = 0;
  model::worker_id worker;
  external::task_start start;
};

/// Move a running task to `lease`.
struct adopt_task {
  call_id call = 0;
  model::worker_id worker;
  attempt_id id;
  lease_id lease;
};

/// Make a running task write a checkpoint.
struct checkpoint_task {
  call_id call = 0;
  model::worker_id worker;
  attempt_id id;
};

/// Limit the processor share of a running task.
struct throttle_task {
  call_id call = 0;
  model::worker_id worker;
  attempt_id id;
  /// Percentage of its processors that the task may use; 100 removes the limit.
  int percent = 100;
};

/// Checkpoint and stop a running task.
struct stop_task {
  call_id call = 0;
  model::worker_id worker;
  attempt_id id;
};

/// `DELETE /tasks/<task>?attempt=n`, sent once the recorded end has been read
/// back.
struct acknowledge_end {
  call_id call = 0;
  model::worker_id worker;
  attempt_id id;
};

/// Reply to `events::submit_job`.
struct reply_submit {
  request_token token = 0;
  submit_result result = submit_result::unknown;
  std::string reason;
};

/// Reply to `events::cancel_job`.
struct reply_cancel {
  request_token token = 0;
  cancel_result result = cancel_result::unknown;
};

/// Reply to `events::query_job`.
struct reply_query {
  request_token token = 0;
  bool found = false;
  job_status status;
};

/// Submit the job to the owner of `shard` with `delegated` set. Completed by
/// `events::delegation_done`.
struct delegate_job {
  model::shard_id shard = 0;
  job_request job;
};

/// Forward the cancellation of a delegated job to the owner of `shard`.
/// Completed by `events::delegated_cancel_done`.
struct cancel_delegated {
  model::shard_id shard = 0;
  model::job_id job;
};

/// Send `events::tick` at `at`; replaces the previously set time.
struct set_next_tick {
  model::time_point at;
};

/// Add `amount` to the counter `name` with label `reason`.
struct count {
  std::string name;
  std::string reason;
  std::uint64_t amount = 1;
};

}  // namespace actions

using action = std::variant<
    actions::append, actions::body_resolved, actions::acquire_lease,
    actions::renew_lease, actions::delete_lease, actions::list_worker,
    actions::start_task, actions::adopt_task, actions::checkpoint_task,
    actions::throttle_task, actions::stop_task, actions::acknowledge_end,
    actions::reply_submit, actions::reply_cancel, actions::reply_query,
    actions::delegate_job, actions::cancel_delegated, actions::set_next_tick,
    actions::count>;

}  // namespace vanillaladder::control
