#include "batch/pace_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace vanillaladder::batch {
namespace {

/// Granularity of a pace in percent. A finer one would cost more orders without
/// a measurable effect on response times.
constexpr int percent_step = 10;
/// Best-effort tasks whose headroom losses differ by at most this factor are
/// slowed down equally.
constexpr double similar_loss_factor = 2;

int rounded_percent(double speed) {
  return static_cast<int>(std::floor(speed * 100 / percent_step + 0.01)) *
         percent_step;
}

}  // namespace

std::vector<int> plan_pace(std::span<const serving_task_load> serving_tasks,
                           std::size_t best_effort_count) {
  std::vector<double> speeds(best_effort_count, 1);
  std::vector<std::size_t> order(best_effort_count);
  for (const auto& task : serving_tasks) {
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::sort(order, [&](std::size_t a, std::size_t b) {
      return task.headroom_losses[a] < task.headroom_losses[b];
    });
    double remaining = task.headroom - min_running_headroom;
    for (std::size_t first = 0; first < best_effort_count;) {
      // Tasks with similar losses share the remaining headroom.
      std::size_t last = first;
      double wanted = 0;
      while (last < best_effort_count &&
             task.headroom_losses[order[last]] <=
                 similar_loss_factor * task.headroom_losses[order[first]]) {
        wanted += task.headroom_losses[order[last]];
        ++last;
      }
      double speed = wanted <= 0 ? 1 : std::clamp(remaining / wanted, 0.0, 1.0);
      for (auto n = first; n < last; ++n) {
        speeds[order[n]] = std::min(speeds[order[n]], speed);
      }
      remaining -= speed * wanted;
      first = last;
    }
  }
  std::vector<int> percents(best_effort_count);
  std::ranges::transform(speeds, percents.begin(), rounded_percent);
  return percents;
}

double achievable_speed(const serving_task_load& serving_task,
                        double full_speed_loss) {
  double remaining = serving_task.headroom - min_headroom_to_start;
  for (double loss : serving_task.headroom_losses) {
    // Tasks with a much larger loss are slowed down instead.
    remaining -= loss <= similar_loss_factor * full_speed_loss ? loss : 0;
  }
  if (full_speed_loss <= 0) {
    return remaining >= 0 ? 1 : 0;
  }
  return std::clamp(remaining / full_speed_loss, 0.0, 1.0);
}

}  // namespace vanillaladder::batch
