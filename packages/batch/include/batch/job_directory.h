#pragma once

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "batch/job.h"
#include "batch/job_memory.h"
#include "batch/job_records.h"

namespace vanillaladder::batch {

/// In-memory copy of the stored jobs, kept by every daemon.
///
/// Built from the records of the jobs topic in order. A record may be applied
/// more than once, for example after the newest records are reloaded.
class job_directory {
 public:
  struct entry {
    /// Null once the job has ended and none of its tasks is running.
    std::shared_ptr<const job_spec> spec;
    job_status status;
    /// Cancelled by its caller; some of its tasks may still be running.
    bool cancelled = false;
    /// When it was cancelled; 0 if it was not, or by an earlier version.
    unix_ms cancelled_at = 0;

    /// @return whether the job is known to have been submitted. The
    /// cancellation
    ///   of a job may be stored before the job is.
    bool is_submitted() const {
      return spec != nullptr || status.state != job_state::queued;
    }
    /// @return the state that is shown to callers.
    job_state visible_state() const;
  };

  /// Effect of a record.
  enum class change {
    none,
    job_added,
    job_cancelled,
    state_changed,
    /// A job was submitted again after it had ended; its record should be
    /// removed.
    duplicate_job,
    /// The record cannot be decoded.
    unreadable,
  };

  /// Applies a record of the jobs topic.
  /// @param value the record's value; empty if the key was removed.
  change apply(std::string_view key, std::string_view value);

  /// Drops what rests on records that no longer exist. To be called after all
  /// existing records have been applied by a load: the removal of others may
  /// have been missed.
  /// @param keys keys of all existing records; keys of other kinds are ignored.
  /// @return number of jobs that were dropped or changed.
  int retain(const std::set<std::string>& keys);

  /// @return the job, or null if it does not exist.
  const entry* find(std::string_view id) const;
  /// @return number of jobs of a queue of which no task has started, without
  ///   recurring jobs.
  int pending(std::string_view queue) const;
  void for_each(const std::function<void(const model::job_id&, const entry&)>&
                    visit) const;
  std::size_t size() const { return entries_.size(); }
  /// @return the most memory that the entries, and the jobs whose specification
  ///   is kept, take in a daemon that leads.
  std::size_t memory_bytes() const {
    return jobs_bytes_ + directory_entry_bytes * entries_.size();
  }
  /// @return the part of it for recurring jobs.
  std::size_t recurring_bytes() const { return recurring_bytes_; }

 private:
  void remove(record_kind kind, const model::job_id& id);
  change add_job(const model::job_id& id, std::string_view value);
  change cancel(const model::job_id& id, std::string_view value);
  change set_status(const model::job_id& id, std::string_view value);
  void adjust_pending(const entry& counted, int delta);
  void keep_spec(entry& job, job_spec&& spec);
  void drop_spec(entry& job);
  static bool is_pending(const entry& counted);

  absl::flat_hash_map<std::string, entry> entries_;
  absl::flat_hash_map<std::string, int> pending_;
  std::size_t jobs_bytes_ = 0;
  std::size_t recurring_bytes_ = 0;
};

}  // namespace vanillaladder::batch
