#include "scheduling/interference.h"

#include <algorithm>

namespace vanillaladder::scheduling {
namespace {

/// Share of the prediction error that one measurement corrects.
constexpr double learning_rate = 0.2;
/// Number of measurements at which the confidence is 0.5.
constexpr double half_confidence_samples = 5;
constexpr int min_cpu_limit_percent = 25;

}  // namespace

void interference_model::observe(const model::class_id& measured,
                                 const class_counts& neighbours,
                                 std::int64_t slowdown_percent) {
  double predicted = 0;
  double norm = 0;
  for (const auto& [neighbour, count] : neighbours) {
    const auto n = static_cast<double>(count);
    predicted += pair_estimate(measured, neighbour).excess_percent * n;
    norm += n * n;
  }
  if (norm <= 0)
    return;
  const auto excess = static_cast<double>(slowdown_percent - 100);
  const double step = learning_rate * (excess - predicted) / norm;
  for (const auto& [neighbour, count] : neighbours) {
    coefficient& entry = pairs_[{measured, neighbour}];
    const auto n = static_cast<double>(count);
    entry.excess = std::max(0.0, entry.excess + step * n);
    entry.samples += n * n / norm;
  }
}

interference_model::estimate interference_model::pair_estimate(
    const model::class_id& affected, const model::class_id& neighbour) const {
  const auto found = pairs_.find({affected, neighbour});
  if (found == pairs_.end())
    return {};
  const coefficient& entry = found->second;
  return {entry.excess,
          entry.samples / (entry.samples + half_confidence_samples)};
}

double interference_model::expected_slowdown(
    const model::class_id& affected, const class_counts& neighbours) const {
  double percent = 100;
  for (const auto& [neighbour, count] : neighbours) {
    const estimate pair = pair_estimate(affected, neighbour);
    percent +=
        pair.excess_percent * pair.confidence * static_cast<double>(count);
  }
  return percent;
}

throttle_decision throttle_controller::observe(std::int64_t slowdown_percent,
                                               std::int64_t limit_percent) {
  const bool above = slowdown_percent > limit_percent;
  const bool well_below = slowdown_percent - 100 <= (limit_percent - 100) / 2;
  samples_above_ = above ? samples_above_ + 1 : 0;
  samples_below_ = well_below ? samples_below_ + 1 : 0;
  if (samples_above_ >= 2) {
    samples_above_ = 0;
    if (cpu_limit_percent_ <= min_cpu_limit_percent)
      return throttle_decision::evict;
    cpu_limit_percent_ /= 2;
    return throttle_decision::throttle;
  }
  if (samples_below_ >= 3 && cpu_limit_percent_ < 100) {
    samples_below_ = 0;
    cpu_limit_percent_ *= 2;
    return throttle_decision::unthrottle;
  }
  return throttle_decision::none;
}

}  // namespace vanillaladder::scheduling
