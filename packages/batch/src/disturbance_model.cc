#include "batch/disturbance_model.h"

#include <algorithm>

namespace vanillaladder::batch {

double disturbance_model::weight(std::string_view image) const {
  auto found = weights_.find(absl::string_view(image.data(), image.size()));
  return found == weights_.end() ? first_weight : found->second;
}

void disturbance_model::learn(std::span<const std::string_view> images,
                              double pressure) {
  if (images.empty()) {
    return;
  }
  double excess =
      std::clamp(pressure - usual_pressure, 0.0, largest_excess);
  double predicted = 0;
  for (auto image : images) {
    predicted += weight(image);
  }
  double error = excess - predicted;
  for (auto image : images) {
    // By what the weights already say, so that light images are not blamed
    // for a heavy one beside them.
    double part = predicted > 0
                      ? weight(image) / predicted
                      : 1.0 / static_cast<double>(images.size());
    if (error < 0) {
      part = 1.0 / static_cast<double>(images.size());
    }
    double updated = weight(image) + learning_rate * error * part;
    weights_[std::string(image)] = std::clamp(updated, 0.01, largest_excess);
  }
}

}  // namespace vanillaladder::batch
