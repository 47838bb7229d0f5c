#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

#include "model/types.h"
#include "scheduling/interference.h"

namespace vanillaladder::scheduling {

/// A worker as placement sees it.
struct placement_worker {
  model::worker_id id;
  model::domain_id domain;
  std::string rack;
  model::resources capacity;
  /// Sum over the attempts that are not proved to have ended of the larger of
  /// declared size and observed peak.
  model::resources reserved;
  /// What services use on the worker.
  model::resources services;
  /// Tasks by class, and services under `services_class`.
  class_counts neighbours;
  /// Whether it may get a start at all: listed, leased, not out, not leaving,
  /// not on probation.
  bool accepts_starts = false;
  /// Usable part of the capacity while it comes back.
  std::int64_t usable_percent = 100;
};

/// Class under which services on a worker count as neighbours.
inline constexpr const char* services_class = "@services";

/// A task that needs a worker.
struct placement_task {
  model::class_id job_class;
  bool urgent = false;
  model::resources declared;
  /// Declared or learned size, whichever is larger.
  model::resources size;
  /// Workers on which the task has failed already.
  std::set<model::worker_id> avoid;
  /// Tasks of the same job by domain and by `domain/rack`.
  std::map<std::string, std::int64_t> spread;
};

struct placement_limits {
  /// Part of each worker that only urgent tasks may use.
  std::int64_t reserve_percent = 5;
  /// Largest expected slowdown of services, and of an urgent task. Batch tasks
  /// may slow each other down more, since a worker that stays partly empty
  /// completes less than one whose tasks run somewhat slower.
  std::int64_t max_class_slowdown_percent = 120;
};

/// @return what to reserve for the task on the worker: its size, but on an
/// empty
///   worker at most the whole of it, since a task whose learned size is above
///   every worker could otherwise not run anywhere.
model::resources reservation_size(const placement_task& task,
                                  const placement_worker& worker);

/// @return room for one more task on the worker.
model::resources available_resources(const placement_worker& worker,
                                     bool urgent,
                                     const placement_limits& limits);

/// Chooses a worker for one task: the candidate with the least expected
/// slowdown in steps of 2%, then the fewest tasks of the same job in its domain
/// and rack, then the least room left in the scarcest dimension, so that large
/// room stays whole.
/// @return index into `workers`, nothing if none has room.
std::optional<std::size_t> choose_worker(
    const placement_task& task, std::span<const placement_worker> workers,
    const interference_model& interference, const placement_limits& limits);

/// Baseline for comparison: the first worker with room.
std::optional<std::size_t> choose_first_fit(
    const placement_task& task, std::span<const placement_worker> workers,
    const placement_limits& limits);

/// Checks whether a job can ever run.
/// @return the reason if no worker could hold one task even when it is empty;
///   nothing if one could.
std::optional<std::string> unschedulable_reason(
    const model::resources& size, std::span<const model::worker_info> workers);

}  // namespace vanillaladder::scheduling
