#pragma once

#include <absl/container/flat_hash_map.h>

#include <span>
#include <string>
#include <string_view>

namespace vanillaladder::batch {

/// Learns which images of filling tasks slow the serving tasks beside them.
///
/// Each report of a worker gives the images that have worked there and the
/// pressure on its serving tasks. The excess pressure is explained by one
/// weight for each image, corrected by normalised least mean squares.
class disturbance_model {
 public:
  /// Pressure (share of the target) that serving tasks reach by themselves.
  static constexpr double usual_pressure = 0.65;
  /// Excess above this says no more about the weights.
  static constexpr double largest_excess = 3;
  static constexpr double learning_rate = 0.3;
  /// Weight of an image of which nothing is known: not heavy, but the first
  /// to be blamed.
  static constexpr double first_weight = 0.2;
  /// Weight from which an image is kept apart from serving tasks.
  static constexpr double heavy_weight = 0.5;

  /// @param images of the filling tasks that have worked for a while; each
  ///   once.
  /// @param pressure highest tail of a serving task as a share of its target.
  void learn(std::span<const std::string_view> images, double pressure);

  double weight(std::string_view image) const;
  bool is_heavy(std::string_view image) const {
    return weight(image) >= heavy_weight;
  }

 private:
  absl::flat_hash_map<std::string, double> weights_;
};

}  // namespace vanillaladder::batch
