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

/// Events that `shard_machine` takes and actions that it returns.
namespace vanillaladder::control {

/// Identifies one call to a worker; never reused by a machine.
using call_id = std::uint64_t;
/// Identifies a caller's request; chosen by the I/O layer.
using request_token = std::uint64_t;
using external::attempt_id;
using external::lease_id;

/// Kind of a class of jobs (`class.<name>.kind`).
enum class class_kind { interactive, urgent, batch };

/// A job as a caller submits it.
struct job_request {
  /// `s03-<key>`; names the home shard.
  model::job_id id;
  model::team_id team;
  model::class_id job_class;
  std::uint32_t tasks = 1;
  model::resources size;
  std::string command;
  std::int64_t expected_run_ms = 0;
  /// How often the job has moved to another shard; 0 for a caller's job.
  std::uint32_t moves = 0;
  /// Where its tasks stand after earlier moves.
  std::vector<coordination::task_progress> progress;
};

/// Outcome of a call to a worker.
enum class call_outcome {
  /// The worker answered and did it.
  ok,
  /// The worker answered that it did not do it and will not.
  refused,
  /// No answer: the call may or may not have taken effect, or still may.
  unknown,
};

/// Limits of a team (`team.<name>.*`); a negative quota is unlimited.
struct team_policy {
  std::int64_t weight = 10;
  model::resources quota{-1, -1, -1};
};

/// The part of the configuration that batch decisions depend on.
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

/// Response to a read of the shard's stream from `next_offset()`; also an
/// empty one, which proves that the end was reached. Read at least once a
/// second: without a response for 3 s nothing is started and no lease of
/// another owner is deleted, since the process may have been paused.
struct log_read {
  coordination::read_result read;
};

/// An append was answered with the offset of its first record.
struct append_answered {
  std::uint64_t number = 0;
  model::offset at = -1;
};

/// An append failed or timed out; whether it took effect is not known.
struct append_failed {
  std::uint64_t number = 0;
};

/// Append a record that the machine does not decide about (idempotency keys);
/// answered by `actions::body_resolved`.
struct append_body {
  request_token token = 0;
  coordination::shard_body body;
};

/// Result of `acquire_lease`, `renew_lease`, `delete_lease`, `start_task`,
/// `adopt_task`, `checkpoint_task`, `throttle_task`, `stop_task`,
/// `acknowledge_end`; also of a `list_worker` that got no report.
struct worker_call_done {
  call_id call = 0;
  call_outcome outcome = call_outcome::unknown;
  /// The new lease, for `acquire_lease`.
  lease_id lease;
  /// Checkpoint that was taken, for `checkpoint_task`.
  std::string checkpoint;
};

/// Result of `list_worker`.
struct worker_listed {
  call_id call = 0;
  external::worker_report report;
};

/// The workers of this shard, as the instance list has them now.
struct workers_changed {
  std::vector<model::worker_info> workers;
};

struct policy_changed {
  batch_policy policy;
};

/// The current members; a former owner that is present with a higher
/// incarnation, or whose instance is dead, no longer renews leases.
struct members_changed {
  std::map<model::instance_id, model::incarnation> members;
};

/// Batch starts need a fresh view and a reachable log.
struct view_freshness_changed {
  bool fresh = false;
  bool log_reachable = false;
  /// Whether a peer reaches the log. Then another daemon may claim the shard
  /// unnoticed while this one does not reach the log, so that renewals end
  /// after the blind renewal limit although the view is fresh.
  bool log_reachable_by_peer = false;
};

/// Free room of the other shards, from heartbeats.
struct shards_changed {
  struct room {
    /// Sum of the free room of the shard's workers.
    model::resources free;
    /// Largest capacity of a single worker, per dimension.
    model::resources largest_worker;
  };
  std::map<model::shard_id, room> shards;
};

struct submit_job {
  request_token token = 0;
  job_request job;
  /// Whether another shard's owner delegates the job to this shard.
  bool delegated = false;
};

struct cancel_job {
  request_token token = 0;
  model::job_id job;
};

struct query_job {
  request_token token = 0;
  model::job_id job;
};

/// Answer of another shard's owner to `delegate_job`.
struct delegation_done {
  model::job_id job;
  /// The submission's `moves`, since an answer to an earlier move may be late.
  std::uint32_t moves = 0;
  /// `ok` once that owner has read the submission back.
  call_outcome outcome = call_outcome::unknown;
};

/// Answer of another shard's owner to `cancel_delegated`.
struct delegated_cancel_done {
  model::job_id job;
  call_outcome outcome = call_outcome::unknown;
};

/// The time of the last `set_next_tick` has come, or any time passed.
struct tick {};

/// This daemon stops: no more starts, release the shard.
struct drain_requested {};

/// This daemon should claim the shard.
struct claim_shard {};

/// Another daemon is preferred: release the shard after pending appends.
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

/// Result of a submission.
enum class submit_result {
  /// 201: the submission was read back.
  created,
  /// 200: the same id was submitted before.
  already_exists,
  /// 422: fits on no known worker, or the job is malformed; see `reason`.
  unschedulable,
  /// 503 `not-run`: not the owner, stale view or unreachable log.
  not_run,
  /// 503 `unknown`: sent but not read back, for example ownership was lost.
  unknown,
};

enum class cancel_result { cancelled, no_such_job, not_run, unknown };

/// Counts of a job's tasks by state.
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
  /// Shard that runs the job, if it was delegated.
  std::int32_t delegated_to = -1;
};

namespace actions {

/// Append a batch to the shard's stream as one call; at most one is in flight.
/// Answered by `events::append_answered` or `events::append_failed`.
struct append {
  coordination::append_batch batch;
};

/// Outcome of `events::append_body`.
struct body_resolved {
  request_token token = 0;
  coordination::append_outcome outcome = coordination::append_outcome::unknown;
  /// What the fold decided, if the record was read back.
  coordination::shard_result result;
};

/// `POST /leases` with the machine's holder name.
struct acquire_lease {
  call_id call = 0;
  model::worker_id worker;
  std::string holder;
  std::int64_t duration_ms = 0;
};

struct renew_lease {
  call_id call = 0;
  model::worker_id worker;
  lease_id lease;
};

struct delete_lease {
  call_id call = 0;
  model::worker_id worker;
  lease_id lease;
};

struct list_worker {
  call_id call = 0;
  model::worker_id worker;
};

struct start_task {
  call_id call = 0;
  model::worker_id worker;
  external::task_start start;
};

/// Moves a running task under `lease`.
struct adopt_task {
  call_id call = 0;
  model::worker_id worker;
  attempt_id id;
  lease_id lease;
};

struct checkpoint_task {
  call_id call = 0;
  model::worker_id worker;
  attempt_id id;
};

struct throttle_task {
  call_id call = 0;
  model::worker_id worker;
  attempt_id id;
  /// Share of its processors that the task may use; 100 lifts the throttle.
  int percent = 100;
};

struct stop_task {
  call_id call = 0;
  model::worker_id worker;
  attempt_id id;
};

/// `DELETE /tasks/<task>?attempt=n` once the end has been read back.
struct acknowledge_end {
  call_id call = 0;
  model::worker_id worker;
  attempt_id id;
};

struct reply_submit {
  request_token token = 0;
  submit_result result = submit_result::unknown;
  std::string reason;
};

struct reply_cancel {
  request_token token = 0;
  cancel_result result = cancel_result::unknown;
};

struct reply_query {
  request_token token = 0;
  bool found = false;
  job_status status;
};

/// Submit the job to the owner of `shard`, with `delegated` set; answer with
/// `events::delegation_done`.
struct delegate_job {
  model::shard_id shard = 0;
  job_request job;
};

/// Forward a cancellation of a delegated job to the owner of `shard`; answer
/// with `events::delegated_cancel_done`.
struct cancel_delegated {
  model::shard_id shard = 0;
  model::job_id job;
};

/// Send `events::tick` at `at`; replaces the previous time.
struct set_next_tick {
  model::time_point at;
};

/// Add one to the counter `name` with label `reason`.
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
