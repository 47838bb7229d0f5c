#pragma once

#include <absl/container/flat_hash_map.h>

#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "batch/job.h"

namespace vanillaladder::batch {

/// An image of filling tasks at work beside a serving task.
struct active_image {
  std::string_view image;
  /// Share of the measured time for which it was at work, 0 to 1.
  double activity = 1;
};

/// Learns which images of filling tasks slow which images of serving tasks.
///
/// Each report gives the response time of a serving task and the images that
/// were at work beside it. The excess over the usual is explained by one
/// weight for each pair of images, corrected by the error of the prediction.
/// What is known fades, so that a pair that is kept apart is tried again.
class disturbance_model {
 public:
  /// Share of its target that a serving task reaches by itself.
  static constexpr double usual_pressure = 0.7;
  /// Excess above this says no more about the weights.
  static constexpr double largest_excess = 3;
  static constexpr double learning_rate = 0.3;
  /// Weight of a pair of which nothing is known: not heavy, but the first to
  /// be blamed.
  static constexpr double first_weight = 0.1;
  /// Weight from which a pair is kept apart.
  static constexpr double heavy_weight = 0.6;

  /// Time in which half of what is known of a pair fades; a trial costs a
  /// serving task a second over its target.
  static constexpr milliseconds half_life{30000};

  /// @param serving image of the serving task.
  /// @param beside images at work beside it, each once.
  /// @param pressure its tail response time as a share of its target.
  void learn(std::string_view serving, std::span<const active_image> beside,
             double pressure, time_point now);

  double weight(std::string_view serving, std::string_view filling,
                time_point now) const;
  bool is_heavy(std::string_view serving, std::string_view filling,
                time_point now) const {
    return weight(serving, filling, now) >= heavy_weight;
  }

 private:
  using pair_key = std::pair<std::string, std::string>;

  struct estimate {
    double weight = first_weight;
    time_point at;
  };

  absl::flat_hash_map<pair_key, estimate> weights_;
};

}  // namespace vanillaladder::batch
