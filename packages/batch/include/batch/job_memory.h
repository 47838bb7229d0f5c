#pragma once

#include <cstddef>

#include "batch/job.h"

/// Memory that daemons need for what callers submit.
namespace vanillaladder::batch {

/// Memory of an id in a daemon's copy of the jobs topic, whether its job runs,
/// has ended or was cancelled before it came.
inline constexpr std::size_t directory_entry_bytes = 320;

/// @return memory of a specification in the copy of each daemon.
std::size_t specification_bytes(const job_spec& spec);

/// @return the most memory that one open occurrence takes in the leader, with
///   all of its tasks started.
std::size_t occurrence_bytes(const job_spec& spec);

/// @return how many occurrences of a job a leader keeps open at a time. Allows
///   for runs that take a few times as long as estimated, but not for a job
///   whose occurrences fall due faster than they complete.
int max_open_occurrences(const job_spec& spec);

/// @return the most memory that a job takes in a daemon that leads, for as long
///   as the job exists.
std::size_t memory_of(const job_spec& spec);

}  // namespace vanillaladder::batch
