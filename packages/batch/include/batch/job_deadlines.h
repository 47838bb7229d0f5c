#pragma once

#include "batch/job.h"

namespace vanillaladder::batch {

/// @return the longest chain of the steps' estimated run times.
milliseconds critical_path_length(const job_spec& spec);

/// When a job is on time, and when it is worth nothing any more.
struct job_deadlines {
  /// Multiple of the objective up to which a late job still counts.
  static constexpr int expiry_factor = 3;

  time_point due_at;
  time_point expired_at;
};

/// @param arrival when the caller sent the job.
/// @param chain run time of the longest chain of steps.
job_deadlines deadlines_of(const queue_policy& policy, milliseconds chain,
                           time_point arrival);

}  // namespace vanillaladder::batch
