#include "batch/disturbance_model.h"

#include <algorithm>
#include <cmath>

namespace vanillaladder::batch {
namespace {

constexpr double least_weight = 0.01;

}  // namespace

double disturbance_model::weight(std::string_view serving,
                                 std::string_view filling,
                                 time_point now) const {
  auto found =
      weights_.find(pair_key(std::string(serving), std::string(filling)));
  if (found == weights_.end()) {
    return first_weight;
  }
  std::chrono::duration<double> age = now - found->second.at;
  double left = std::exp2(-age / half_life);
  return first_weight + (found->second.weight - first_weight) * left;
}

void disturbance_model::learn(std::string_view serving,
                              std::span<const active_image> beside,
                              double pressure, time_point now) {
  double predicted = 0;
  double activity = 0;
  for (const auto& each : beside) {
    predicted += each.activity * weight(serving, each.image, now);
    activity += each.activity;
  }
  if (predicted <= 0) {
    return;
  }
  double excess = std::clamp(pressure - usual_pressure, 0.0, largest_excess);
  double error = excess - predicted;
  for (const auto& each : beside) {
    double before = weight(serving, each.image, now);
    // Too much is blamed by what the weights already say, so that a light
    // image is not blamed for a heavy one beside it.
    double part = error > 0 ? each.activity * before / predicted
                            : each.activity / activity;
    weights_[pair_key(std::string(serving), std::string(each.image))] = {
        std::clamp(before + learning_rate * error * part, least_weight,
                   largest_excess),
        now};
  }
}

}  // namespace vanillaladder::batch
