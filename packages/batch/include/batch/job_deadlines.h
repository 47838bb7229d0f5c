#pragma once

#include <span>
#include <vector>

#include "batch/job.h"

namespace vanillaladder::batch {

/// @param run_times expected run time of a task of each step.
/// @return the run time of the longest chain of dependent steps.
milliseconds critical_path_length(const job_spec& spec,
                                  std::span<const milliseconds> run_times);

/// @param run_times expected run time of a task of each step.
/// @return for each step, the run time of the longest chain of dependent steps
///   that begins with it.
std::vector<milliseconds> remaining_chains(
    const job_spec& spec, std::span<const milliseconds> run_times);

/// Until when a job is on time, and when its result has lost all value.
struct job_deadlines {
  /// A late result keeps some value up to this multiple of the time allowed.
  static constexpr int expiry_factor = 3;

  time_point due_at;
  time_point expired_at;
};

/// @param chain length of the job's critical path.
/// @param arrival time when the job was accepted or its occurrence opened.
job_deadlines deadlines_of(const queue_policy& policy, milliseconds chain,
                           time_point arrival);

}  // namespace vanillaladder::batch
