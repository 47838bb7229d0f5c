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
  static constexpr milliseconds first_pause{1500};
  static constexpr milliseconds longest_pause{12000};
  /// A worker on trial without a further failure is trusted after this time.
  static constexpr milliseconds trial_time{10000};
  /// Failures in a row, of different jobs, that end the trust. One may well
  /// be the job's own fault: the users' jobs fail by themselves at 2 to 5%.
  static constexpr int failures_to_pause = 2;

  void on_done();
  void on_failed(const model::job_id& job, time_point now);
  /// Counts what else speaks against the worker, such as refused orders.
  void on_refused(time_point now);

  /// @param running tasks that the worker has at present and that will end;
  ///   a lasting task says nothing about the next one.
  bool may_start(time_point now, int running) const;
  /// @return whether the last task that ended there was done.
  bool proven() const { return proven_; }
  int failures_in_a_row() const { return failures_; }

 private:
  void pause(time_point now);

  bool proven_ = false;
  int failures_ = 0;
  model::job_id last_failed_job_;
  bool on_trial_ = false;
  milliseconds pause_ = first_pause;
  time_point paused_until_;
};

}  // namespace vanillaladder::batch
