#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>

#include "batch/job.h"

namespace vanillaladder::batch {

/// Corrects the callers' estimates of run times by the tasks that have ended.
///
/// Pattern: estimates of a queue are far off, so that jobs which could be on
/// time count as late and the other way round. For each queue, the correction
/// weighs the estimate against the mean run time by how much the estimates err
/// and how much the run times differ (a linear regression).
class run_time_model {
 public:
  /// Tasks of a queue that must have ended before its estimates are corrected.
  static constexpr int min_observations = 30;

  /// Records a task that ended successfully and was not slowed down.
  void observe(std::string_view queue, milliseconds estimated,
               milliseconds actual);
  /// @return the expected run time of a task of the queue.
  milliseconds expected(std::string_view queue, milliseconds estimated) const;

 private:
  /// Moving averages; times in milliseconds.
  struct statistics {
    int observations = 0;
    double mean_estimated = 0;
    double mean_actual = 0;
    /// Mean squares of the error of an estimate and of the deviation of a run
    /// time from the mean.
    double error_square = 0;
    double spread_square = 0;
  };

  absl::flat_hash_map<std::string, statistics> queues_;
};

}  // namespace vanillaladder::batch
