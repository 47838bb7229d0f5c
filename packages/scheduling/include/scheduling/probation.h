#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "model/types.h"

namespace vanillaladder::scheduling {

/// Limits starts on workers that have not proved that they can run tasks.
///
/// A start counts as unproved until its task has finished, or has been seen
/// running for `confirmation_time`. At most `max_unconfirmed` starts of the
/// last minute may be unproved or failed, so a worker that fails everything
/// gets no more than that, and a worker that works is limited only in how fast
/// it is filled.
class start_probation {
 public:
  static constexpr std::size_t max_unconfirmed = 5;
  static constexpr model::milliseconds window = std::chrono::minutes(1);
  /// A task that runs this long counts as proof; shorter on a worker without
  /// recent failures, so that it is filled at 5 tasks every 2 s.
  static constexpr model::milliseconds confirmation_time{10'000};
  static constexpr model::milliseconds trusted_confirmation_time{2'000};

  using attempt = std::pair<std::string, std::uint32_t>;

  /// @return whether the worker may get another start.
  [[nodiscard]] bool allows_start(const model::worker_id& worker,
                                  model::time_point now);
  /// @return whether a failure within the last minute limits the worker.
  [[nodiscard]] bool on_probation(const model::worker_id& worker,
                                  model::time_point now);

  void record_start(const model::worker_id& worker, const attempt& id,
                    model::time_point now);
  /// The task was seen running.
  void record_running(const model::worker_id& worker, const attempt& id,
                      model::time_point now);
  /// The task finished, or was stopped on request.
  void record_success(const model::worker_id& worker, const attempt& id);
  /// The task failed, or the worker refused to start it.
  /// @param job failures of a job on three workers are put down to the job.
  void record_failure(const model::worker_id& worker, const attempt& id,
                      const model::job_id& job, model::time_point now);
  /// Forgets a worker that is gone.
  void forget(const model::worker_id& worker);
  /// Forgets a job that has ended.
  void forget_job(const model::job_id& job);

 private:
  struct start {
    model::time_point at;
    bool failed = false;
    model::job_id job;
  };
  using starts = std::map<attempt, start>;

  void expire(starts& of_worker, model::time_point now);
  void absolve(const model::job_id& job);

  std::map<model::worker_id, starts> workers_;
  std::map<model::job_id, std::set<model::worker_id>> failed_jobs_;
};

}  // namespace vanillaladder::scheduling
