#pragma once

#include <absl/container/flat_hash_map.h>

#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "batch/job.h"

namespace vanillaladder::batch {

/// Names an image within one `disturbance_model`.
using image_number = int;

/// Filling tasks of one image beside a serving task.
struct best_effort_load {
  image_number image = 0;
  /// Processor that they worked with, as a share of the worker's.
  double share = 0;
};

/// What is believed of a figure.
struct estimate {
  double mean = 0;
  double variance = 0;
  time_point updated_at;
};

/// Learns how much filling tasks slow serving tasks.
///
/// A serving task answers like a single-server queue: its response time is
/// inversely proportional to its idle share. Its *headroom*, the target divided
/// by the response time, therefore falls linearly with its own load and with
/// the processor that filling tasks use beside it, by a weight for each pair
/// of images; at 1 the target is missed. The headroom that a task would have
/// alone changes with its own load.
///
/// Each report corrects both by the error of the prediction, each in
/// proportion to its uncertainty (a Kalman filter without covariances).
class headroom_model {
 public:
  /// Typical headroom of a serving task by itself, and its variance: the
  /// users' targets are 4.5 times the response time without load, and the load
  /// moves between 0.2 and 0.65.
  static constexpr double initial_headroom = 2.6;
  static constexpr double initial_headroom_variance = 0.5;
  /// Growth of that variance by the second: loads swing in about 10 s.
  static constexpr double headroom_variance_growth = 0.25;
  /// Weights that the users' pairs have are 0 to 2, or 10 to 20.
  static constexpr double initial_weight = 2;
  static constexpr double initial_weight_variance = 30;
  /// Growth of that variance by the second: the users' weights change within
  /// seconds.
  static constexpr double weight_variance_growth = 0.5;
  /// Headroom below which a response time only says "overloaded".
  static constexpr double overload_headroom = 0.4;
  /// Largest headroom that a report shows; short times are rough.
  static constexpr double max_headroom = 4;

  image_number number_of(std::string_view image);

  /// @return a belief about a serving task that has just begun.
  static estimate initial_estimate(time_point now) {
    return {initial_headroom, initial_headroom_variance, now};
  }

  /// Learns from the response time of one serving task.
  /// @param own its headroom without filling tasks; brought up to date.
  /// @param beside what worked beside it, each image once.
  /// @param headroom its target divided by its response time.
  void learn(estimate& headroom_without_interference, image_number serving,
             std::span<const best_effort_load> neighbours, double headroom,
             time_point now);

  /// @return the headroom that filling tasks take for the whole processor.
  double weight(image_number serving, image_number filling) const;

 private:
  using pair_key = std::pair<image_number, image_number>;

  estimate weight_at(const pair_key& key, time_point now) const;

  absl::flat_hash_map<std::string, image_number> numbers_;
  absl::flat_hash_map<pair_key, estimate> weights_;
};

}  // namespace vanillaladder::batch
