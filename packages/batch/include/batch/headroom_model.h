#pragma once

#include <absl/container/flat_hash_map.h>

#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "batch/job.h"

namespace vanillaladder::batch {

/// Index of an image within one `headroom_model`.
using image_number = int;

/// Load of the best-effort tasks of one image on a worker.
struct best_effort_load {
  image_number image = 0;
  /// Processor time used, as a share of the worker's capacity.
  double share = 0;
};

/// Estimate of a value by its mean and variance.
struct estimate {
  double mean = 0;
  double variance = 0;
  time_point updated_at;
};

/// Estimates how much best-effort tasks slow down serving tasks.
///
/// A serving task is modelled as a single-server queue: its response time is
/// inversely proportional to its idle share. Its *headroom*, the response time
/// target divided by the response time, therefore falls linearly with its own
/// load and with the processor time that best-effort tasks use on the same
/// worker, by a weight for each pair of images. Below a headroom of 1 the
/// target is missed. The headroom that a task would have alone varies with its
/// own load.
///
/// Each report corrects the headroom and the weights by the prediction error,
/// each in proportion to its uncertainty (a Kalman filter without covariances).
class headroom_model {
 public:
  /// Headroom of a serving task alone and its variance, before any report.
  /// Typical targets are 4.5 times the response time of an idle task, and its
  /// load varies between 0.2 and 0.65.
  static constexpr double initial_headroom = 2.6;
  static constexpr double initial_headroom_variance = 0.5;
  /// Growth of this variance per second; loads vary within about 10 s.
  static constexpr double headroom_variance_growth = 0.25;
  /// Weight of a pair of images and its variance, before any report. Typical
  /// weights are 0 to 2 without interference and 10 to 20 with it.
  static constexpr double initial_weight = 2;
  static constexpr double initial_weight_variance = 30;
  /// Growth of this variance per second; weights may change within seconds.
  static constexpr double weight_variance_growth = 0.5;
  /// Headroom below which the task is overloaded and its response time does not
  /// show by how much.
  static constexpr double overload_headroom = 0.4;
  /// Upper bound on a reported headroom; short response times are inaccurate
  /// because they are rounded to whole milliseconds.
  static constexpr double max_headroom = 4;

  image_number number_of(std::string_view image);

  /// @return the headroom estimate for a serving task that has just started.
  static estimate initial_estimate(time_point now) {
    return {initial_headroom, initial_headroom_variance, now};
  }

  /// Updates the model with the response time of one serving task.
  /// @param own_headroom its headroom without best-effort tasks; updated.
  /// @param neighbours best-effort load on the same worker, by image.
  /// @param headroom its response time target divided by its response time.
  void learn(estimate& own_headroom, image_number serving,
             std::span<const best_effort_load> neighbours, double headroom,
             time_point now);

  /// @return the headroom that a serving task would lose if best-effort tasks
  ///   of the image used the worker's whole processor capacity.
  double weight(image_number serving, image_number best_effort) const;

 private:
  using pair_key = std::pair<image_number, image_number>;

  estimate weight_at(const pair_key& key, time_point now) const;

  absl::flat_hash_map<std::string, image_number> numbers_;
  absl::flat_hash_map<pair_key, estimate> weights_;
};

}  // namespace vanillaladder::batch
