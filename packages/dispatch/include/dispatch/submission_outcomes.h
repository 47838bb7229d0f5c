#pragma once

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <string>

#include "model/types.h"

namespace vanillaladder::dispatch {

enum class submit_result {
  /// The job is stored, by this call or an earlier one.
  accepted,
  /// This call stores nothing. An earlier one, at this or another daemon, may
  /// still be stored.
  not_stored,
  /// This call may have stored the job, or may still do so.
  unknown,
  /// As `not_stored`: the memory for jobs is used up.
  no_memory,
  /// The job is not stored: its record is larger than the store takes.
  too_large,
  /// The job is not stored: it takes more memory than daemons have for jobs.
  exceeds_memory,
};

/// Remembers the jobs whose submission at this daemon has no known outcome yet
/// and may still be stored. Does no I/O.
class submission_outcomes {
 public:
  /// Unknown outcomes that are remembered; more than callers submit to one
  /// daemon during an outage of the store.
  static constexpr std::size_t max_unknown = 4096;

  /// Called when an append of the job is sent.
  void begin(const model::job_id& id);
  /// Called with the outcome of an append of the job.
  void end(const model::job_id& id, submit_result outcome);
  /// @return whether an append of the job is in flight or had no answer.
  bool may_be_stored(const model::job_id& id) const;

 private:
  struct entry {
    int in_flight = 0;
    bool unknown = false;
  };

  void forget_oldest();

  absl::flat_hash_map<std::string, entry> entries_;
  /// Jobs with an unknown outcome, oldest first.
  std::deque<std::string> unknown_;
};

}  // namespace vanillaladder::dispatch
