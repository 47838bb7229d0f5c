#include "scheduling/interference.h"

#include <algorithm>

namespace vanillaladder::scheduling {
namespace {

/// Share of the error that one measurement corrects.
constexpr double learning_rate = 0.2;
/// Measurements at which the confidence is one half.
constexpr double half_confidence_samples = 5;
constexpr int lowest_throttle_percent = 25;

}  // namespace

void interference_model::observe(const model::class_id& measured,
                                 const class_counts& neighbours,
                                 std::int64_t slowdown_percent) {
  double predicted = 0;
  double norm = 0;
  for (const auto& [by, count] : neighbours) {
    const auto n = static_cast<double>(count);
    predicted += pair_estimate(measured, by).excess_percent * n;
    norm += n * n;
  }
  if (norm <= 0)
    return;
  const auto excess = static_cast<double>(slowdown_percent - 100);
  const double step = learning_rate * (excess - predicted) / norm;
  for (const auto& [by, count] : neighbours) {
    coefficient& entry = pairs_[{measured, by}];
    const auto n = static_cast<double>(count);
    entry.excess = std::max(0.0, entry.excess + step * n);
    entry.samples += n * n / norm;
  }
}

interference_model::estimate interference_model::pair_estimate(
    const model::class_id& slowed, const model::class_id& by) const {
  const auto found = pairs_.find({slowed, by});
  if (found == pairs_.end())
    return {};
  const coefficient& entry = found->second;
  return {entry.excess,
          entry.samples / (entry.samples + half_confidence_samples)};
}

double interference_model::expected_slowdown(
    const model::class_id& slowed, const class_counts& neighbours) const {
  double percent = 100;
  for (const auto& [by, count] : neighbours) {
    const estimate known = pair_estimate(slowed, by);
    percent +=
        known.excess_percent * known.confidence * static_cast<double>(count);
  }
  return percent;
}

throttle_decision throttle_controller::observe(std::int64_t slowdown_percent,
                                               std::int64_t limit_percent) {
  const bool above = slowdown_percent > limit_percent;
  const bool well_below = slowdown_percent - 100 <= (limit_percent - 100) / 2;
  above_ = above ? above_ + 1 : 0;
  below_ = well_below ? below_ + 1 : 0;
  if (above_ >= 2) {
    above_ = 0;
    if (percent_ <= lowest_throttle_percent)
      return throttle_decision::evict;
    percent_ /= 2;
    return throttle_decision::throttle;
  }
  if (below_ >= 3 && percent_ < 100) {
    below_ = 0;
    percent_ *= 2;
    return throttle_decision::unthrottle;
  }
  return throttle_decision::none;
}

}  // namespace vanillaladder::scheduling
