#pragma once

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "model/types.h"

/// Records of the control and shard streams and their encoding.
namespace vanillaladder::coordination {

/// Identifies a record across repeated appends; sequence numbers start at 1 and
/// are consecutive per stream and incarnation.
struct record_id {
  model::instance_id instance;
  model::incarnation incarnation = 0;
  std::uint64_t sequence = 0;

  auto operator<=>(const record_id&) const = default;
};

/// Record ids of one writer that a reader has applied.
struct writer_history {
  model::incarnation incarnation = 0;
  /// Highest sequence number applied.
  std::uint64_t highest = 0;
  /// Sequence numbers below `highest` that have not been applied.
  std::set<std::uint64_t> missing;
  /// Offset of the last record of this writer.
  model::offset last_offset = -1;

  bool operator==(const writer_history&) const = default;
};

using writer_histories = std::map<model::instance_id, writer_history>;
using config_keys = std::map<std::string, std::string>;

/// A new numbered version of the configuration, as a change to its base.
struct version_created {
  std::uint64_t version = 0;
  std::uint64_t base_version = 0;
  std::uint64_t base_revision = 0;
  std::string author;
  config_keys set;
  std::vector<std::string> remove;

  bool operator==(const version_created&) const = default;
};

/// A change to the current version, published by an operator.
struct patch_published {
  std::string id;
  std::string author;
  std::string branch;
  std::uint64_t version = 0;
  /// Number of accepted patches on `version` that the author has seen.
  std::uint64_t seen_revision = 0;
  config_keys set;
  std::vector<std::string> remove;

  bool operator==(const patch_published&) const = default;
};

struct member_joined {
  model::member_info member;

  bool operator==(const member_joined&) const = default;
};

/// Why an incarnation is no longer a member.
enum class leave_reason {
  /// It left by itself after it had released all its resources.
  graceful,
  /// Another member removed it; it may still run requests.
  expelled,
  /// A later incarnation of the instance joined; only inferred, never encoded
  /// in `member_left`.
  replaced,
};

struct member_left {
  model::instance_id instance;
  model::incarnation incarnation = 0;
  leave_reason reason = leave_reason::graceful;

  bool operator==(const member_left&) const = default;
};

/// Value of a key in the current version, with its last change.
struct key_entry {
  /// Empty if the key was removed by a patch of this version.
  std::optional<std::string> value;
  /// Revision that changed the key; 0 if the version itself set it.
  std::uint64_t revision = 0;
  std::string author;
  std::string patch;

  bool operator==(const key_entry&) const = default;
};

/// A configuration version that readers still keep.
struct version_entry {
  version_created created;
  model::offset created_at = -1;
  /// Keys at the last revision of the version; unused for the current version.
  config_keys keys;
  std::uint64_t revision = 0;

  bool operator==(const version_entry&) const = default;
};

/// Result of applying a control record.
enum class control_verdict {
  accepted,
  /// A record with this record id was applied before.
  duplicate_record,
  /// A later incarnation of the writing instance has already written a record.
  stale_incarnation,
  /// A key was changed after the revision that the author had seen.
  conflict,
  /// The record names a version that is not the current one.
  stale_version,
  /// The record names a revision that does not exist or is too old.
  stale_revision,
  /// The member is unknown, or present with another incarnation.
  stale_member,
  /// The snapshot equals the state of the reader.
  snapshot_matched,
  /// The snapshot covers another offset, so it was not compared.
  snapshot_skipped,
  /// The snapshot differs from the state of the reader.
  snapshot_differs,
};

/// Verdict on the first record with a patch id.
struct patch_entry {
  control_verdict verdict = control_verdict::accepted;
  model::offset offset = -1;
  std::uint64_t version = 0;
  std::uint64_t revision = 0;

  bool operator==(const patch_entry&) const = default;
};

/// An incarnation of an instance.
using member_key = std::pair<model::instance_id, model::incarnation>;

/// An incarnation that is no longer a member.
struct departure {
  member_key member;
  leave_reason reason = leave_reason::graceful;

  bool operator==(const departure&) const = default;
};

/// A change of membership.
struct membership_change {
  model::offset offset = -1;
  /// Members after the change.
  std::set<member_key> members;
  std::optional<departure> left;

  bool operator==(const membership_change&) const = default;
};

/// The complete control state after the record at offset `covers`.
struct control_snapshot {
  model::offset covers = -1;
  std::uint64_t version = 0;
  std::uint64_t revision = 0;
  std::map<std::string, key_entry> entries;
  std::map<std::uint64_t, version_entry> versions;
  std::map<std::string, patch_entry> patches;
  std::map<model::instance_id, model::member_info> members;
  model::offset view = -1;
  /// Latest membership changes, oldest first.
  std::vector<membership_change> changes;
  writer_histories writers;

  bool operator==(const control_snapshot&) const = default;
};

using control_body = std::variant<version_created, patch_published,
                                  member_joined, member_left, control_snapshot>;

/// A record of the stream `control`.
struct control_record {
  record_id id;
  control_body body;

  bool operator==(const control_record&) const = default;
};

/// Number of a job within its shard, assigned in log order.
using job_number = std::uint32_t;
/// Number of a worker within its shard, assigned in log order.
using worker_number = std::uint32_t;

struct owner_claimed {
  model::instance_id owner;
  model::incarnation incarnation = 0;

  bool operator==(const owner_claimed&) const = default;
};

struct owner_released {
  bool operator==(const owner_released&) const = default;
};

enum class task_state { pending, started, finished, failed, cancelled };

/// Progress of a task when its job moves to another shard; the state is never
/// `started`.
struct task_progress {
  std::uint32_t task = 0;
  task_state state = task_state::pending;
  /// Last attempt, which has ended; the next shard continues the numbering.
  std::uint32_t attempt = 0;
  std::string checkpoint;

  bool operator==(const task_progress&) const = default;
};

struct job_submitted {
  model::job_id id;
  model::team_id team;
  model::class_id class_name;
  std::uint32_t tasks = 1;
  model::resources resources;
  std::string command;
  model::milliseconds expected_run{0};
  /// Home shard, if this shard received the job by delegation.
  std::optional<model::shard_id> home;
  /// Number of times that the job has moved between shards. A shard that has
  /// delegated the job accepts it again only with a higher number, which
  /// rejects delayed repeats of earlier moves.
  std::uint32_t moves = 0;
  /// Tasks that are no longer in their initial state, by ascending index; empty
  /// in a job entry.
  std::vector<task_progress> progress;

  bool operator==(const job_submitted&) const = default;
};

struct job_delegated {
  job_number job = 0;
  model::shard_id to = 0;
  /// Whether the other shard has recorded the submission: it is not sent again,
  /// and this shard discards the tasks.
  bool confirmed = false;

  bool operator==(const job_delegated&) const = default;
};

struct job_cancelled {
  job_number job = 0;

  bool operator==(const job_cancelled&) const = default;
};

struct task_start {
  job_number job = 0;
  std::uint32_t task = 0;
  worker_number worker = 0;
  std::uint32_t attempt = 0;

  bool operator==(const task_start&) const = default;
};

struct tasks_started {
  std::vector<task_start> starts;

  bool operator==(const tasks_started&) const = default;
};

/// How an attempt ended; `finished` and `failed` also end the task.
enum class task_outcome { finished, failed, evicted, lost };

struct task_end {
  job_number job = 0;
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;
  task_outcome outcome = task_outcome::finished;
  /// Checkpoint from which the next attempt resumes; empty keeps the previous
  /// one.
  std::string checkpoint;

  bool operator==(const task_end&) const = default;
};

struct tasks_ended {
  std::vector<task_end> ends;

  bool operator==(const tasks_ended&) const = default;
};

struct key_claimed {
  std::uint64_t key = 0;
  /// Daemon that requested the claim.
  model::instance_id instance;
  model::incarnation incarnation = 0;
  std::uint64_t nonce = 0;

  bool operator==(const key_claimed&) const = default;
};

/// How a request with an idempotency key ended. `not_run` removes the key,
/// since the request has certainly not run.
enum class key_outcome { answered, unknown, not_run };

struct key_finished {
  std::uint64_t key = 0;
  std::uint64_t nonce = 0;
  key_outcome outcome = key_outcome::unknown;
  std::uint32_t status = 0;

  bool operator==(const key_finished&) const = default;
};

/// Removes the keys that were claimed at or before an offset. Expiry is a
/// record because the replicated state must not depend on a clock.
struct keys_expired {
  model::offset claimed_until = -1;

  bool operator==(const keys_expired&) const = default;
};

struct worker_registered {
  model::worker_id worker;

  bool operator==(const worker_registered&) const = default;
};

struct task_entry {
  task_state state = task_state::pending;
  /// Last attempt started; 0 before the first.
  std::uint32_t attempt = 0;
  /// Worker of the last attempt.
  worker_number worker = 0;
  std::string checkpoint;

  bool operator==(const task_entry&) const = default;
};

struct job_entry {
  job_submitted job;
  model::offset submitted_at = -1;
  bool cancelled = false;
  std::optional<model::shard_id> delegated_to;
  /// One entry per task; empty once the job has ended or its delegation was
  /// confirmed.
  std::vector<task_entry> tasks;
  std::uint32_t finished = 0;
  std::uint32_t failed = 0;
  bool ended = false;

  bool operator==(const job_entry&) const = default;
};

struct key_claim_entry {
  key_claimed claim;
  model::offset claimed_at = -1;
  /// Present once the request has ended.
  std::optional<key_finished> finished;

  bool operator==(const key_claim_entry&) const = default;
};

/// The complete state of a shard after the record at offset `covers`.
struct shard_snapshot {
  model::offset covers = -1;
  model::epoch epoch = 0;
  std::optional<owner_claimed> owner;
  model::offset owned_since = -1;
  job_number next_job = 0;
  std::map<job_number, job_entry> jobs;
  /// Ended jobs and confirmed delegations, oldest first; the oldest are
  /// dropped.
  std::vector<job_number> ended_jobs;
  /// Registered workers; the number of a worker is its index.
  std::vector<model::worker_id> workers;
  std::map<std::uint64_t, key_claim_entry> keys;
  writer_histories writers;

  bool operator==(const shard_snapshot&) const = default;
};

using shard_body =
    std::variant<owner_claimed, owner_released, job_submitted, job_delegated,
                 job_cancelled, tasks_started, tasks_ended, key_claimed,
                 key_finished, keys_expired, worker_registered, shard_snapshot>;

/// A record of a shard stream.
struct shard_record {
  record_id id;
  /// Epoch of the writer; for `owner_claimed`, the epoch that it claims.
  model::epoch epoch = 0;
  shard_body body;

  bool operator==(const shard_record&) const = default;
};

/// Format byte of the current encoding.
inline constexpr char record_format = 1;

/// @return the record in its envelope: format byte, xxHash64 (little endian)
///   of the rest, Thrift compact struct.
std::string encode(const control_record& record);
std::string encode(const shard_record& record);

/// Decodes a record; never throws on malformed bytes.
/// @return the record, `DATA_LOSS` for corrupt bytes, `UNIMPLEMENTED` for a
///   format or a kind of record that this release does not know.
absl::StatusOr<control_record> decode_control(std::string_view bytes);
absl::StatusOr<shard_record> decode_shard(std::string_view bytes);

}  // namespace vanillaladder::coordination
