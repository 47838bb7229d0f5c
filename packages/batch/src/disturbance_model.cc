#include "batch/disturbance_model.h"

#include <algorithm>

namespace vanillaladder::batch {
namespace {

constexpr double least_weight = 0.01;

}  // namespace

double disturbance_model::weight(std::string_view serving,
                                 std::string_view filling) const {
  auto found =
      weights_.find(pair_key(std::string(serving), std::string(filling)));
  return found == weights_.end() ? first_weight : found->second;
}

void disturbance_model::learn(std::string_view serving,
                              std::span<const active_image> beside,
                              double pressure) {
  double predicted = 0;
  double activity = 0;
  for (const auto& each : beside) {
    predicted += each.activity * weight(serving, each.image);
    activity += each.activity;
  }
  if (predicted <= 0) {
    return;
  }
  double excess = std::clamp(pressure - usual_pressure, 0.0, largest_excess);
  double error = excess - predicted;
  for (const auto& each : beside) {
    double before = weight(serving, each.image);
    // Too much is blamed by what the weights already say, so that a light
    // image is not blamed for a heavy one beside it.
    double part = error > 0 ? each.activity * before / predicted
                            : each.activity / activity;
    weights_[pair_key(std::string(serving), std::string(each.image))] =
        std::clamp(before + learning_rate * error * part, least_weight,
                   largest_excess);
  }
}

}  // namespace vanillaladder::batch
