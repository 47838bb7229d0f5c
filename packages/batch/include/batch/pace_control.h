#pragma once

#include "batch/job.h"

namespace vanillaladder::batch {

/// Feedback control of the pace of the best-effort tasks on one worker, by the
/// response times of its serving tasks.
///
/// Used as a fallback: tasks that are known to interfere are paced individually
/// by `plan_pace` and moved to other workers.
class pace_control {
 public:
  /// Latency ratio above which best-effort tasks slow down. Below 1 because
  /// reports are inaccurate and slightly delayed.
  static constexpr double slow_down_threshold = 0.95;
  /// Latency ratio below which best-effort tasks run at full speed.
  static constexpr double speed_up_threshold = 0.8;
  /// How long a serving task may be late before best-effort tasks slow down,
  /// and how much longer before they stop. With reports every 0.5 s, they stop
  /// well within the limit of 4 s.
  static constexpr milliseconds reaction_delay{700};
  static constexpr int slow_percent = 30;

  /// @param latency_ratio highest ratio of tail response time to target of the
  ///   worker's serving tasks; 0 without serving tasks.
  /// @return the pace of the best-effort tasks in percent of full speed.
  int update(double latency_ratio, time_point now);

  int percent() const { return percent_; }
  double latency_ratio() const { return latency_ratio_; }

 private:
  int percent_ = 100;
  double latency_ratio_ = 0;
  bool is_above_threshold_ = false;
  time_point changed_at_;
};

}  // namespace vanillaladder::batch
