#pragma once

#include <array>
#include <map>
#include <optional>

#include "model/types.h"

namespace vanillaladder::scheduling {

/// @return the element-wise maximum.
model::resources elementwise_max(const model::resources& a,
                                 const model::resources& b);

/// @return the element-wise minimum.
model::resources elementwise_min(const model::resources& a,
                                 const model::resources& b);

/// @return `percent` of each dimension, rounded down.
model::resources scale_percent(const model::resources& whole,
                               std::int64_t percent);

/// A resource measurement of a running task.
struct task_usage {
  model::job_id job;
  model::class_id job_class;
  model::resources declared;
  model::resources used;
  /// Age of the measurement.
  model::milliseconds age{0};
  /// Running time of the task when it was measured.
  model::milliseconds running_time{0};
};

/// Estimates the resource usage of tasks from measurements, by job.
///
/// A job counts as measured once one of its tasks has finished or has been
/// measured after its startup. A measured job is expected to use the largest
/// size observed in it; until one of its tasks has finished, that size is
/// scaled by the growth observed in other jobs of its class. An unmeasured job
/// is expected to exceed its declared size by a high percentile of the ratios
/// of the measured jobs of its class, so that a single job that declares too
/// little does not raise the estimates of all others.
class usage_model {
 public:
  /// Measurements made earlier in the run of a task may not include all that it
  /// uses after its startup.
  static constexpr model::milliseconds startup_time{10'000};

  /// @param retention how long a job is kept after its last measurement; must
  ///   exceed the delay of the measurements.
  explicit usage_model(
      model::milliseconds retention = std::chrono::minutes(20));

  void observe(const task_usage& task, model::time_point now);

  /// Records that a task of the job finished, so that the job's peak is known.
  void record_completion(const model::job_id& job,
                         const model::class_id& job_class);

  /// @return whether the job has been measured.
  [[nodiscard]] bool has_measurement(const model::job_id& job,
                                     const model::class_id& job_class,
                                     model::time_point now) const;

  /// @return the size to reserve for a new task, at least the larger of
  ///   declared size and peak of the job.
  [[nodiscard]] model::resources expected_size(const model::job_id& job,
                                               const model::class_id& job_class,
                                               const model::resources& declared,
                                               model::time_point now) const;

 private:
  struct job_usage {
    model::resources declared;
    model::resources peak;
    /// Peak of the job at the first measurement after the startup of a task.
    std::optional<model::resources> first_settled;
    bool finished = false;
    model::time_point last_measured;

    [[nodiscard]] bool measured() const { return first_settled || finished; }
  };
  using class_jobs = std::map<model::job_id, job_usage>;
  /// Percentages by dimension, at least 100 each.
  using ratios = std::array<std::int64_t, 3>;

  [[nodiscard]] bool is_retained(const job_usage& entry,
                                 model::time_point now) const;
  [[nodiscard]] const job_usage* find(const model::job_id& job,
                                      const model::class_id& job_class,
                                      model::time_point now) const;
  /// @return a high percentile of peak over declared size of the measured jobs
  ///   of a class.
  [[nodiscard]] std::optional<ratios> prior(const model::class_id& job_class,
                                            model::time_point now) const;
  /// @return a high percentile of peak over first measured size of the jobs of
  ///   a class. Only jobs with a finished task count, since others may still
  ///   grow.
  [[nodiscard]] std::optional<ratios> growth(const model::class_id& job_class,
                                             model::time_point now) const;
  template <class Predicate, class Base>
  [[nodiscard]] std::optional<ratios> class_ratios(
      const model::class_id& job_class, model::time_point now,
      Predicate include, Base base) const;

  model::milliseconds retention_;
  std::map<model::class_id, class_jobs> classes_;
};

}  // namespace vanillaladder::scheduling
