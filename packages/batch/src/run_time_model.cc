#include "batch/run_time_model.h"

#include <algorithm>

namespace vanillaladder::batch {
namespace {

/// Weight of the newest task in the moving averages.
constexpr double newest_weight = 0.02;

}  // namespace

void run_time_model::observe(std::string_view queue, milliseconds estimated,
                             milliseconds actual) {
  auto& known = queues_[std::string(queue)];
  // The first tasks have equal weights.
  double weight = std::max(newest_weight, 1.0 / ++known.observations);
  auto average = [weight](double& mean, double value) {
    mean += weight * (value - mean);
  };
  auto estimate = static_cast<double>(estimated.count());
  auto time = static_cast<double>(actual.count());
  average(known.mean_estimated, estimate);
  average(known.mean_actual, time);
  double error = (estimate - known.mean_estimated) - (time - known.mean_actual);
  double deviation = time - known.mean_actual;
  average(known.error_square, error * error);
  average(known.spread_square, deviation * deviation);
}

milliseconds run_time_model::expected(std::string_view queue,
                                      milliseconds estimated) const {
  auto found = queues_.find(std::string(queue));
  if (found == queues_.end() || found->second.observations < min_observations) {
    return estimated;
  }
  const auto& known = found->second;
  double total = known.error_square + known.spread_square;
  double trust = total <= 0 ? 1 : known.spread_square / total;
  double time =
      known.mean_actual +
      trust * (static_cast<double>(estimated.count()) - known.mean_estimated);
  return milliseconds(static_cast<std::int64_t>(std::max(time, 1.0)));
}

}  // namespace vanillaladder::batch
