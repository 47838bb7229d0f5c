#pragma once

#include "batch/job.h"

namespace vanillaladder::batch {

/// @return the longest chain of the steps' estimated run times.
milliseconds longest_chain(const job_spec& spec);

/// When a job is on time, and when it is worth nothing any more.
struct objective {
  /// Multiple of the objective up to which a late job still counts.
  static constexpr int late_factor = 3;

  time_point on_time;
  time_point late;
};

/// @param arrival when the caller sent the job.
/// @param chain run time of the longest chain of steps.
objective objective_of(const queue_policy& policy, milliseconds chain,
                       time_point arrival);

}  // namespace vanillaladder::batch
