#include "batch/job_order.h"

#include <algorithm>
#include <chrono>

namespace vanillaladder::batch {
namespace {

/// Weight of the newest job in the moving averages.
constexpr double newest_weight = 0.02;

}  // namespace

void job_order::observe(std::string_view queue, double work,
                        milliseconds allowed) {
  auto& known = queues_[std::string(queue)];
  // The first jobs have equal weights.
  double weight = std::max(newest_weight, 1.0 / ++known.jobs);
  known.mean_work += weight * (work - known.mean_work);
  known.mean_allowed_ms +=
      weight * (static_cast<double>(allowed.count()) - known.mean_allowed_ms);
}

time_point job_order::position(std::string_view queue, time_point due_at,
                               double remaining_work) const {
  auto found = queues_.find(std::string(queue));
  if (found == queues_.end() || found->second.mean_work <= 0) {
    return due_at;
  }
  const auto& known = found->second;
  std::chrono::duration<double, std::milli> delay(
      size_weight * known.mean_allowed_ms * remaining_work / known.mean_work);
  return due_at + std::chrono::duration_cast<time_point::duration>(delay);
}

}  // namespace vanillaladder::batch
