#pragma once

#include <string>

#include "batch/job.h"

namespace vanillaladder::batch {

/// Judges by the ends of its tasks whether a worker may get more.
///
/// A worker on which tasks of several jobs fail in a row is left out for a
/// while, then tried with one task at a time until one is done. A worker of
/// which nothing is known yet, or on which the last task failed, gets a few
/// tasks only.
class worker_trust {
 public:
  /// First time out; doubled with each failed trial.
  static constexpr milliseconds initial_pause{1500};
  static constexpr milliseconds max_pause{12000};
  /// A worker on trial without a further failure is trusted after this time.
  static constexpr milliseconds probation_time{10000};
  /// Failures in a row, of different jobs, that end the trust. One may well
  /// be the job's own fault: the users' jobs fail by themselves at 2 to 5%.
  static constexpr int failures_to_pause = 2;

  void on_task_done();
  void on_task_failed(const model::job_id& job, time_point now);
  /// Counts what else speaks against the worker, such as refused orders.
  void on_refused(time_point now);

  /// @param running tasks that the worker has at present and that will end;
  ///   a lasting task says nothing about the next one.
  bool may_start(time_point now, int running) const;
  /// @return whether the last task that ended there was done.
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
};

}  // namespace vanillaladder::batch
