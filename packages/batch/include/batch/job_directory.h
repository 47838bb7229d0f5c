#pragma once

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "batch/job.h"
#include "batch/job_records.h"

namespace vanillaladder::batch {

/// A daemon's copy of the jobs in the store.
///
/// Fed with the records of the jobs topic in order; the same record may come
/// more than once, as after a reload of the newest records.
class job_directory {
 public:
  struct entry {
    /// Gone once the job has ended and none of its tasks runs.
    std::shared_ptr<const job_spec> spec;
    job_status status;
    /// Cancelled by its caller; the leader may still have to stop tasks.
    bool cancelled = false;

    /// @return the state as callers see it.
    job_state visible_state() const;
  };

  /// What a record changed.
  enum class change {
    none,
    job_added,
    job_cancelled,
    state_changed,
    /// A job came after its end; its record should be removed.
    duplicate_job,
    /// The record can't be read.
    unreadable,
  };

  /// Applies a record of the jobs topic.
  /// @param value empty if the key was removed.
  change apply(std::string_view key, std::string_view value);

  /// @return the job, or null if it is not known.
  const entry* find(std::string_view id) const;
  /// @return jobs of a queue of which no task has started, but those that run
  ///   at set times.
  int pending(std::string_view queue) const;
  void for_each(const std::function<void(const model::job_id&, const entry&)>&
                    visit) const;
  std::size_t size() const { return entries_.size(); }

 private:
  void remove(record_kind kind, const model::job_id& id);
  change add_job(const model::job_id& id, std::string_view value);
  change cancel(const model::job_id& id);
  change set_status(const model::job_id& id, std::string_view value);
  void count(const entry& counted, int by);
  static bool is_pending(const entry& counted);

  absl::flat_hash_map<std::string, entry> entries_;
  absl::flat_hash_map<std::string, int> pending_;
};

}  // namespace vanillaladder::batch
