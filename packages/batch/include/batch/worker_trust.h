#pragma once

#include <string>

#include "batch/job.h"

namespace vanillaladder::batch {

/// Decides from the results of its tasks whether a worker may get more tasks.
///
/// Works like a circuit breaker: a worker on which tasks of several jobs fail
/// consecutively gets no tasks for a pause, then one at a time on probation
/// until one succeeds. A worker without results, or whose last task failed, is
/// less preferred for placement.
class worker_trust {
 public:
  /// Duration of the first pause; doubled with each further pause.
  static constexpr milliseconds initial_pause{1500};
  static constexpr milliseconds max_pause{12000};
  /// Probation ends after this time without a further failure.
  static constexpr milliseconds probation_time{10000};
  /// How long after a fault, and after the last start there, a paused worker
  /// gets a task that no other worker can run. A task that waits for 3 s beside
  /// free room counts as lost.
  static constexpr milliseconds only_worker_pause{2000};
  /// Consecutive failures of different jobs that pause a worker. A single
  /// failure is often the job's own fault: 2 to 5% of jobs fail by themselves.
  static constexpr int failures_to_pause = 2;

  void on_task_done();
  void on_task_failed(const model::job_id& job, time_point now);
  /// Records another sign of a faulty worker, such as a refused start or a
  /// stalled run.
  void on_refused(time_point now);

  /// @param running number of the worker's running tasks, without long-running
  ///   ones, whose result does not come soon.
  bool may_start(time_point now, int running) const;
  /// @param last_start start of the worker's last task that still runs, without
  ///   long-running ones.
  /// @return whether the worker may get a task that no other worker can run.
  bool may_start_as_only(time_point now, time_point last_start) const;
  /// @return whether the worker's last result was a success.
  bool last_task_succeeded() const { return last_task_succeeded_; }
  int consecutive_failures() const { return consecutive_failures_; }

 private:
  void pause(time_point now);

  bool last_task_succeeded_ = false;
  int consecutive_failures_ = 0;
  model::job_id last_failed_job_;
  bool on_probation_ = false;
  milliseconds pause_ = initial_pause;
  time_point paused_until_;
  time_point last_fault_at_;
};

}  // namespace vanillaladder::batch
