#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "model/types.h"

namespace vanillaladder::scheduling {

/// Limits task starts on workers that fail, or whose health is unconfirmed.
///
/// A start is unconfirmed until its task has finished or has been running for
/// `confirmation_time`. At most `max_unconfirmed` starts of the last minute may
/// be unconfirmed or failed. This bounds the starts on a worker that fails all
/// tasks; on a healthy worker it only limits the rate of starts.
class start_probation {
 public:
  static constexpr std::size_t max_unconfirmed = 5;
  static constexpr model::milliseconds window = std::chrono::minutes(1);
  /// Running time that confirms a start. It is shorter on a worker without
  /// recent failures, which thus gets up to 5 tasks every 2 s.
  static constexpr model::milliseconds confirmation_time{10'000};
  static constexpr model::milliseconds healthy_confirmation_time{2'000};

  using attempt = std::pair<std::string, std::uint32_t>;

  /// @return whether the worker may get another start.
  [[nodiscard]] bool allows_start(const model::worker_id& worker,
                                  model::time_point now);
  /// @return whether a task failed on the worker within the last minute.
  [[nodiscard]] bool on_probation(const model::worker_id& worker,
                                  model::time_point now);

  void record_start(const model::worker_id& worker, const attempt& id,
                    model::time_point now);
  /// Confirms the start if the task has been running for long enough.
  void record_running(const model::worker_id& worker, const attempt& id,
                      model::time_point now);
  /// Confirms the start: the task finished, or was stopped on request.
  void record_success(const model::worker_id& worker, const attempt& id);
  /// Records that the task failed, or that the worker refused to start it.
  /// @param job failures of a job that fails on three workers are attributed to
  ///   the job and no longer count against the workers.
  void record_failure(const model::worker_id& worker, const attempt& id,
                      const model::job_id& job, model::time_point now);
  /// Removes a worker that is gone.
  void forget(const model::worker_id& worker);
  /// Removes a job that has ended.
  void forget_job(const model::job_id& job);

 private:
  struct start {
    model::time_point counted_from;
    bool failed = false;
    model::job_id job;
  };
  using starts = std::map<attempt, start>;

  void expire(starts& worker_starts, model::time_point now);
  void discard_failures(const model::job_id& job);

  std::map<model::worker_id, starts> workers_;
  std::map<model::job_id, std::set<model::worker_id>> failed_jobs_;
};

}  // namespace vanillaladder::scheduling
