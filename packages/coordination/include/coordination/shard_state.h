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

/// What a fold decides about a shard record.
enum class shard_verdict {
  accepted,
  duplicate_record,
  stale_incarnation,
  /// The epoch is not the current one, or not the next one for a claim.
  stale_epoch,
  /// The job, worker or key is known already.
  already_exists,
  /// The job, task, worker or key is unknown.
  unknown_subject,
  /// The subject's state doesn't allow it, such as a second start of a task
  /// whose attempt has not ended.
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
  /// Positions of refused entries of a batch.
  std::vector<std::size_t> rejected;
  /// For a refused `key_claimed`: the claim that came first.
  std::optional<key_claim_entry> first_claim;

  /// @return whether the record, or at least a part of a batch, took effect.
  bool valid() const;
};

/// Home shard of a job: the key's xxHash64 modulo the placement shard count.
model::shard_id home_shard(std::string_view key);
/// Hash of an idempotency key, as records carry it.
std::uint64_t key_hash(std::string_view key);
/// @return the shard that a worker belongs to.
model::shard_id worker_shard(std::string_view worker);
/// @return `s07-<key>` for a caller's key.
model::job_id make_job_id(std::string_view key);

/// Fold of a shard stream: ownership, jobs, tasks and idempotency keys.
class shard_state {
 public:
  /// Ended jobs remembered, so that a repeated submission finds them.
  static constexpr std::size_t max_ended_jobs = 4096;
  /// Largest number of tasks of a job.
  static constexpr std::uint32_t max_tasks = 100000;

  /// Applies the record at an offset. Offsets must increase; the decision is a
  /// pure function of the records before it.
  shard_result apply(model::offset offset, const shard_record& record);

  /// Advances over a record that cannot be decoded.
  void skip(model::offset offset);

  /// @return the last offset applied or skipped, -1 before the first.
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
  /// @return the task, or null; tasks of an ended job are forgotten.
  const task_entry* find_task(job_number job, std::uint32_t task) const;
  /// @return the task's attempts that have not ended, over all jobs.
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
  shard_result visit(model::offset offset, const owner_claimed& body);
  shard_result visit(model::offset offset, const owner_released& body);
  shard_result visit(model::offset offset, const job_submitted& body);
  shard_result visit(model::offset offset, const job_delegated& body);
  shard_result visit(model::offset offset, const job_cancelled& body);
  shard_result visit(model::offset offset, const tasks_started& body);
  shard_result visit(model::offset offset, const tasks_ended& body);
  shard_result visit(model::offset offset, const key_claimed& body);
  shard_result visit(model::offset offset, const key_finished& body);
  shard_result visit(model::offset offset, const keys_expired& body);
  shard_result visit(model::offset offset, const worker_registered& body);
  shard_result visit(model::offset offset, const shard_snapshot& body);
  bool start(const task_start& entry);
  bool end(const task_end& entry);
  task_entry* open_task(job_number job, std::uint32_t task);
  void end_job_if_done(job_number number, job_entry& job);
  void close_job(job_number number, job_entry& job);
  void index();

  shard_snapshot data_;
  absl::flat_hash_map<model::job_id, job_number> job_index_;
  absl::flat_hash_map<model::worker_id, worker_number> worker_index_;
};

}  // namespace vanillaladder::coordination
