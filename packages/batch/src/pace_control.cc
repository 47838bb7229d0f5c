#include "batch/pace_control.h"

namespace vanillaladder::batch {

int pace_control::update(double pressure, time_point now) {
  pressure_ = pressure;
  if (pressure < speed_below) {
    is_over_ = false;
    percent_ = 100;
    return percent_;
  }
  if (pressure <= slow_above) {
    // Neither late nor relieved: a figure around the target must not begin
    // the patience anew.
    return percent_;
  }
  if (!is_over_) {
    is_over_ = true;
    changed_at_ = now;
  } else if (now - changed_at_ >= patience) {
    percent_ = percent_ == 100 ? slow_percent : 0;
    changed_at_ = now;
  }
  return percent_;
}

}  // namespace vanillaladder::batch
