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
  std::chrono::duration<double> allowed = target;
  std::chrono::duration<double> took = elapsed;
  double affordable_units = took.count() <= 0
                                ? max_units
                                : static_cast<double>(spent) * (allowed / took);
  affordable_units = std::min(affordable_units, units_ * max_growth);
  units_ = std::clamp(static_cast<int>(affordable_units), min_units, max_units);
}

}  // namespace vanillaladder::batch
