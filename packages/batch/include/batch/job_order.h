#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>

#include "batch/job.h"

namespace vanillaladder::batch {

/// Order in which the jobs of a queue get workers while some have to wait.
///
/// Pattern: a backlog after an outage or a burst. By earliest deadline, each
/// job gets its workers only once its slack is used up, and nearly all end
/// late. A job's position is its deadline plus a delay in proportion to the
/// work that it has left (alpha scheduling): small and nearly complete jobs
/// pass large ones, but by a limited time, so that no job starves.
class job_order {
 public:
  /// Delay of a job of mean size, as a multiple of the mean time allowed.
  static constexpr double size_weight = 1;

  /// Records a job that arrived.
  /// @param work run time of all its tasks, in core milliseconds.
  /// @param allowed time from the arrival to the deadline.
  void observe(std::string_view queue, double work, milliseconds allowed);
  /// @param remaining_work work of the tasks that are not done, in core
  ///   milliseconds.
  /// @return the job's position; lower ones are served first.
  time_point position(std::string_view queue, time_point due_at,
                      double remaining_work) const;

 private:
  /// Moving averages over the jobs of a queue.
  struct statistics {
    int jobs = 0;
    double mean_work = 0;
    double mean_allowed_ms = 0;
  };

  absl::flat_hash_map<std::string, statistics> queues_;
};

}  // namespace vanillaladder::batch
