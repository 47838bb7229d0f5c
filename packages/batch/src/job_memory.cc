#include "batch/job_memory.h"

#include <algorithm>
#include <cstdint>
#include <vector>

#include "batch/detail/scheduler_state.h"
#include "batch/job_deadlines.h"

namespace vanillaladder::batch {
namespace {

/// Headers and rounding of an allocation.
constexpr std::size_t allocation_bytes = 32;
/// Record of a task in a commit or a takeover.
constexpr std::size_t task_record_bytes = 64;
/// A task with a run: its checkpoint, the worker that it failed on last, and
/// the worker's reference to the run.
constexpr std::size_t task_bytes =
    sizeof(detail::task_state) + sizeof(detail::run_state) +
    2 * sizeof(detail::run_ref) + 3 * allocation_bytes + task_record_bytes;
/// Rank of a step in a placement round, and its record's key.
constexpr std::size_t step_extra_bytes = 128;

/// Occurrences that may be open although no two are expected to overlap.
constexpr int min_open_occurrences = 4;
constexpr int most_open_occurrences = 100;
/// How many times as long as estimated an occurrence may take before later ones
/// wait for it.
constexpr int overlap_factor = 4;
/// Memory of the open occurrences of a job, unless one takes more.
constexpr std::size_t max_open_bytes = 8U << 20;

}  // namespace

std::size_t specification_bytes(const job_spec& spec) {
  std::size_t bytes = sizeof(job_spec) + sizeof(detail::job_state_entry) +
                      4 * allocation_bytes + spec.payload.size();
  for (const auto& step : spec.steps) {
    bytes += sizeof(step_spec) + step.required_label.size() +
             step.data_rack.size() + step.image.size() +
             sizeof(int) * step.depends_on.size() + 2 * allocation_bytes;
  }
  return bytes;
}

std::size_t occurrence_bytes(const job_spec& spec) {
  std::size_t bytes = sizeof(detail::occurrence_state) + allocation_bytes;
  for (const auto& step : spec.steps) {
    bytes += sizeof(detail::step_state) + step_extra_bytes + allocation_bytes +
             task_bytes * static_cast<std::size_t>(step.count);
  }
  return bytes;
}

int max_open_occurrences(const job_spec& spec) {
  if (spec.repeat_count == 0) {
    return 1;
  }
  std::vector<milliseconds> run_times;
  for (const auto& step : spec.steps) {
    run_times.push_back(step.estimated_run_time);
  }
  auto interval = std::max<std::int64_t>(spec.interval.count(), 1);
  auto overlap = std::min<std::int64_t>(
      critical_path_length(spec, run_times).count() / interval,
      most_open_occurrences);
  auto wanted = std::min<std::int64_t>(
      min_open_occurrences + overlap_factor * overlap, most_open_occurrences);
  auto fitting =
      static_cast<std::int64_t>(max_open_bytes / occurrence_bytes(spec));
  return static_cast<int>(std::clamp<std::int64_t>(
      std::min(wanted, fitting), 1, std::max(spec.repeat_count, 1)));
}

std::size_t memory_of(const job_spec& spec) {
  return specification_bytes(spec) +
         static_cast<std::size_t>(max_open_occurrences(spec)) *
             occurrence_bytes(spec);
}

}  // namespace vanillaladder::batch
