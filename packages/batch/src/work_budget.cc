#include "batch/work_budget.h"

#include <algorithm>

namespace vanillaladder::batch {
namespace {

/// Maximum growth factor of the budget from one turn to the next.
constexpr double max_growth = 1.5;

}  // namespace

void work_budget::observe(int spent, std::chrono::nanoseconds elapsed) {
  // The fixed cost dominates a short turn and would distort the cost per unit.
  if (spent < min_units / 2) {
    return;
  }
  std::chrono::duration<double> most = target;
  std::chrono::duration<double> took = elapsed;
  double fitting = took.count() <= 0
                       ? max_units
                       : static_cast<double>(spent) * (most / took);
  fitting = std::min(fitting, units_ * max_growth);
  units_ = std::clamp(static_cast<int>(fitting), min_units, max_units);
}

}  // namespace vanillaladder::batch
