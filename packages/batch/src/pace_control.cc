#include "batch/pace_control.h"

namespace vanillaladder::batch {

int pace_control::update(double latency_ratio, time_point now) {
  latency_ratio_ = latency_ratio;
  if (latency_ratio < speed_up_threshold) {
    is_above_threshold_ = false;
    percent_ = 100;
    return percent_;
  }
  if (latency_ratio <= slow_down_threshold) {
    // Between the thresholds: a ratio that fluctuates around the target must
    // not restart the reaction delay.
    return percent_;
  }
  if (!is_above_threshold_) {
    is_above_threshold_ = true;
    changed_at_ = now;
  } else if (now - changed_at_ >= reaction_delay) {
    percent_ = percent_ == 100 ? slow_percent : 0;
    changed_at_ = now;
  }
  return percent_;
}

}  // namespace vanillaladder::batch
