#pragma once

#include <span>
#include <vector>

namespace vanillaladder::batch {

/// Headroom that a further filling task must leave to a serving task: below 1
/// the target is missed.
inline constexpr double min_headroom_to_start = 1.0;
/// The same for those at work. Predictions err to the low side while loads
/// fall; `pace_control` acts on what is really late. Measured: 0.3 and 1.1
/// serve less.
inline constexpr double min_running_headroom = 0.8;

/// A serving task as its filling neighbours have to see it.
struct serving_task_load {
  /// Target divided by its response time without filling tasks.
  double headroom = 0;
  /// What each filling task takes of it at full speed, in the order of the
  /// filling tasks.
  std::vector<double> headroom_losses;
};

/// Decides at which speed the filling tasks of one worker may work so that
/// every serving task there meets its target.
///
/// For each serving task those that take least work at full speed first; the
/// others share what is left. A filling task gets the least of these speeds.
/// @param fillings number of filling tasks.
/// @return a share in percent for each filling task, in steps of 10.
std::vector<int> plan_pace(std::span<const serving_task_load> served,
                           std::size_t best_effort_count);

/// @param full_taken what a further filling task would take at full speed.
/// @return the speed at which it could work beside the others, 0 to 1.
double achievable_speed(const serving_task_load& served,
                        double full_speed_loss);

}  // namespace vanillaladder::batch
