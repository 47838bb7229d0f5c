#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "coordination/records.h"

namespace vanillaladder::coordination {

/// Result of applying a shard record.
enum class shard_verdict {
  accepted,
  duplicate_record,
  stale_incarnation,
  /// The epoch is not the current one, or not the next one for a claim.
  stale_epoch,
  /// The job, worker or key already exists.
  already_exists,
  /// The job, task, worker or key is unknown.
  unknown_subject,
  /// The state of the subject does not allow the change, such as a second start
  /// of a task whose attempt has not ended.
  wrong_state,
  /// Some entries of a batch were accepted; see `rejected`.
  partially_accepted,
  snapshot_matched,
  snapshot_skipped,
  snapshot_differs,
};

/// Outcome of one shard record.
struct shard_result {
  shard_verdict verdict = shard_verdict::accepted;
  /// Job number, for an accepted or repeated `job_submitted`.
  std::optional<job_number> job;
  /// Worker number, for an accepted or repeated `worker_registered`.
  std::optional<worker_number> worker;
  /// Indexes of the rejected entries of a batch.
  std::vector<std::size_t> rejected;
  /// For a rejected `key_claimed`: the claim that came first.
  std::optional<key_claim_entry> first_claim;

  /// @return whether the record, or at least one entry of a batch, took effect.
  bool valid() const;
};

/// Home shard of a job: the key's xxHash64 modulo the placement shard count.
model::shard_id home_shard(std::string_view key);
/// Hash of an idempotency key, as stored in records.
std::uint64_t key_hash(std::string_view key);
/// @return the shard that a worker belongs to.
model::shard_id worker_shard(std::string_view worker);
/// @return `s07-<key>` for a caller's key.
model::job_id make_job_id(std::string_view key);

/// Replicated state of a shard stream: ownership, jobs, tasks, workers and
/// idempotency keys.
class shard_state {
 public:
  /// Ended jobs kept, so that a repeated submission finds them.
  static constexpr std::size_t max_ended_jobs = 4096;
  /// Maximum number of tasks of a job.
  static constexpr std::uint32_t max_tasks = 100000;

  /// Applies the record at an offset. Offsets must increase; the result is a
  /// pure function of this record and those before it.
  shard_result apply(model::offset offset, const shard_record& record);

  /// Advances past a record that cannot be decoded.
  void skip(model::offset offset);

  /// @return the last offset applied or skipped; -1 before the first.
  model::offset applied() const { return data_.covers; }
  model::epoch epoch() const { return data_.epoch; }
  /// @return the owner of the current epoch; empty before the first claim and
  ///   after a release.
  const std::optional<owner_claimed>& owner() const { return data_.owner; }
  bool owned_by(const model::instance_id& instance,
                model::incarnation incarnation) const;

  const std::map<job_number, job_entry>& jobs() const { return data_.jobs; }
  /// @return the job, or null.
  const job_entry* find_job(job_number job) const;
  std::optional<job_number> find_job(const model::job_id& id) const;
  /// @return the task, or null; the tasks of an ended job are not kept.
  const task_entry* find_task(job_number job, std::uint32_t task) const;
  /// @return the attempts that have not ended, of all jobs.
  std::vector<task_start> running_attempts() const;

  const std::vector<model::worker_id>& workers() const { return data_.workers; }
  std::optional<worker_number> find_worker(const model::worker_id& id) const;

  /// @return the claim of an idempotency key, or null.
  const key_claim_entry* find_key(std::uint64_t key) const;
  std::size_t key_count() const { return data_.keys.size(); }

  shard_snapshot to_snapshot() const { return data_; }
  /// @return the state, or INVALID_ARGUMENT for an inconsistent snapshot.
  static absl::StatusOr<shard_state> from_snapshot(
      const shard_snapshot& snapshot);

  bool operator==(const shard_state& other) const {
    return data_ == other.data_;
  }

 private:
  shard_result apply_body(model::offset offset, const owner_claimed& body);
  shard_result apply_body(model::offset offset, const owner_released& body);
  shard_result apply_body(model::offset offset, const job_submitted& body);
  shard_result apply_body(model::offset offset, const job_delegated& body);
  shard_result apply_body(model::offset offset, const job_cancelled& body);
  shard_result apply_body(model::offset offset, const tasks_started& body);
  shard_result apply_body(model::offset offset, const tasks_ended& body);
  shard_result apply_body(model::offset offset, const key_claimed& body);
  shard_result apply_body(model::offset offset, const key_finished& body);
  shard_result apply_body(model::offset offset, const keys_expired& body);
  shard_result apply_body(model::offset offset, const worker_registered& body);
  shard_result apply_body(model::offset offset, const shard_snapshot& body);
  bool start_task(const task_start& entry);
  bool end_task(const task_end& entry);
  task_entry* find_mutable_task(job_number job, std::uint32_t task);
  void end_job_if_complete(job_number number, job_entry& job);
  void retire_job(job_number number, job_entry& job);
  void rebuild_indexes();

  shard_snapshot data_;
  absl::flat_hash_map<model::job_id, job_number> job_index_;
  absl::flat_hash_map<model::worker_id, worker_number> worker_index_;
};

}  // namespace vanillaladder::coordination
