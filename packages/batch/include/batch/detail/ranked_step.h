#pragma once

#include <tuple>

#include "batch/detail/scheduler_state.h"
#include "batch/scheduler.h"

namespace vanillaladder::batch {

/// A step with waiting tasks and its position in the order of placement.
struct scheduler::ranked_step {
  step_state* step = nullptr;
  int priority = 0;
  /// Whether the job is one beyond the rate of its organisation.
  bool surplus = false;
  /// 0: on time, 1: late, 2: too late for the result to have any value. A
  /// long-running step that yields to short ones yields to late ones too.
  int lateness = 0;
  /// A long-running task loses little by a short wait, and keeps its room for
  /// minutes; a task that ends by itself returns it soon.
  bool yields_to_short = false;
  time_point position;

  bool operator<(const ranked_step& other) const {
    return std::tie(surplus, lateness, priority, yields_to_short, position) <
           std::tie(other.surplus, other.lateness, other.priority,
                    other.yields_to_short, other.position);
  }
};

}  // namespace vanillaladder::batch
