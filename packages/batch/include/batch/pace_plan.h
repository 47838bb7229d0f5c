#pragma once

#include <span>
#include <vector>

namespace vanillaladder::batch {

/// Headroom that a serving task must keep when another best-effort task starts;
/// below 1 the response time target is missed.
inline constexpr double min_headroom_to_start = 1.0;
/// Headroom that the pace plan leaves to a serving task. Below 1 because
/// predictions are too low while loads fall, and `pace_control` reacts to
/// measured lateness.
inline constexpr double min_running_headroom = 0.8;

/// Headroom of a serving task and its loss to best-effort tasks.
struct serving_task_load {
  /// Target divided by the response time without best-effort tasks.
  double headroom = 0;
  /// Headroom lost to each best-effort task at full speed.
  std::vector<double> headroom_losses;
};

/// Computes the pace of the best-effort tasks of one worker so that every
/// serving task meets its response time target.
///
/// For each serving task, the headroom is given first to the best-effort tasks
/// that need the least; similar ones share it equally. A best-effort task gets
/// the lowest pace over all serving tasks.
/// @param best_effort_count number of best-effort tasks.
/// @return the pace of each best-effort task in percent, in steps of 10.
std::vector<int> plan_pace(std::span<const serving_task_load> serving_tasks,
                           std::size_t best_effort_count);

/// Computes the speed of another best-effort task next to a serving task.
/// @param full_speed_loss headroom lost to the added task at full speed.
/// @return the speed of the added task, 0 to 1.
double achievable_speed(const serving_task_load& serving_task,
                        double full_speed_loss);

}  // namespace vanillaladder::batch
