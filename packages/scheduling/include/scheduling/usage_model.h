#pragma once

#include <array>
#include <map>
#include <optional>

#include "model/types.h"

namespace vanillaladder::scheduling {

/// @return the larger value of each dimension.
model::resources elementwise_max(const model::resources& a,
                                 const model::resources& b);

/// @return the smaller value of each dimension.
model::resources elementwise_min(const model::resources& a,
                                 const model::resources& b);

/// @return `percent` of each dimension, rounded down.
model::resources scale_percent(const model::resources& whole,
                               std::int64_t percent);

/// A measurement of a running task.
struct task_usage {
  model::job_id job;
  model::class_id job_class;
  model::resources declared;
  model::resources used;
  /// Time since the measurement was made.
  model::milliseconds age{0};
  /// How long the task had been running when it was measured.
  model::milliseconds running_time{0};
};

/// Learns how much more than declared tasks use, per job.
///
/// A job is measured once one of its tasks has been measured after its start-up
/// or has finished, and is expected to use the largest size seen in it. Until
/// one of its tasks has finished, that size is enlarged by the growth seen in
/// other jobs of its class. A job that has not been measured is expected to be
/// off as much as a high percentile of the measured jobs of its class, so that
/// one job that declares too little does not enlarge all others.
class usage_model {
 public:
  /// A measurement made earlier in the run of a task may miss what it uses
  /// after its start-up.
  static constexpr model::milliseconds startup_time{10'000};

  /// @param kept how long a job is remembered after its last measurement; must
  ///   be larger than the lag of the measurements.
  explicit usage_model(model::milliseconds kept = std::chrono::minutes(20));

  void observe(const task_usage& task, model::time_point now);

  /// A task of the job ran to its end, so that the job's peak is known.
  void record_completion(const model::job_id& job,
                         const model::class_id& job_class);

  /// @return whether the job has been measured.
  [[nodiscard]] bool has_measurement(const model::job_id& job,
                                     const model::class_id& job_class,
                                     model::time_point now) const;

  /// @return the size to reserve for a new task, never below the declared size
  ///   and the job's peak.
  [[nodiscard]] model::resources expected_size(const model::job_id& job,
                                               const model::class_id& job_class,
                                               const model::resources& declared,
                                               model::time_point now) const;

 private:
  struct learned {
    model::resources declared;
    model::resources peak;
    /// The peak when a task was first measured after its start-up.
    std::optional<model::resources> first;
    bool finished = false;
    model::time_point last;

    [[nodiscard]] bool measured() const { return first || finished; }
  };
  using class_jobs = std::map<model::job_id, learned>;
  /// In percent by dimension, never below 100.
  using ratios = std::array<std::int64_t, 3>;

  [[nodiscard]] bool remembered(const learned& entry,
                                model::time_point now) const;
  [[nodiscard]] const learned* find(const model::job_id& job,
                                    const model::class_id& job_class,
                                    model::time_point now) const;
  /// @return peak over declared size of the measured jobs of a class.
  [[nodiscard]] std::optional<ratios> prior(const model::class_id& job_class,
                                            model::time_point now) const;
  /// @return peak over first measured size of the jobs of a class of which a
  ///   task has finished, since others may still grow.
  [[nodiscard]] std::optional<ratios> growth(const model::class_id& job_class,
                                             model::time_point now) const;
  template <class Counted, class Base>
  [[nodiscard]] std::optional<ratios> class_ratios(
      const model::class_id& job_class, model::time_point now, Counted counted,
      Base base) const;

  model::milliseconds kept_;
  std::map<model::class_id, class_jobs> classes_;
};

}  // namespace vanillaladder::scheduling
