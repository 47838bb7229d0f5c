#include "batch/pace_control.h"

#include <algorithm>

namespace vanillaladder::batch {

int pace_control::update(double pressure, time_point now) {
  pressure_ = pressure;
  if (pressure <= 0) {
    percent_ = 100;
    return percent_;
  }
  if (now - changed_at_ < settle) {
    return percent_;
  }
  int before = percent_;
  if (pressure > slow_above) {
    percent_ = static_cast<int>(percent_ * slow_factor);
    if (pressure > 1 || percent_ < least_percent) {
      percent_ = 0;
    }
  } else if (pressure < speed_below) {
    percent_ = std::min(100, std::max(percent_, least_percent) + speed_step);
  }
  if (percent_ != before) {
    changed_at_ = now;
  }
  return percent_;
}

}  // namespace vanillaladder::batch
