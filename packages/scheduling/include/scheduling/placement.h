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

/// State of a worker as input of placement.
struct placement_worker {
  model::worker_id id;
  model::domain_id domain;
  std::string rack;
  model::resources capacity;
  /// Sum, over the attempts not confirmed to have ended, of the larger of
  /// declared size and observed peak.
  model::resources reserved;
  /// Resources used by services on the worker.
  model::resources services;
  /// Tasks on the worker by class, with services under `services_class`.
  class_counts neighbours;
  /// Whether tasks may be started on it: listed, leased, in service, not
  /// draining, and not on probation.
  bool accepts_starts = false;
  /// Usable share of the capacity, below 100 during a capacity ramp.
  std::int64_t usable_percent = 100;
};

/// Class name under which services on a worker count as neighbours.
inline constexpr const char* services_class = "@services";

/// A task that needs a worker.
struct placement_task {
  model::class_id job_class;
  bool urgent = false;
  model::resources declared;
  /// The larger of declared and learned size.
  model::resources size;
  /// Workers on which the task has failed already.
  std::set<model::worker_id> avoid;
  /// Tasks of the same job by domain and by `domain/rack`.
  std::map<std::string, std::int64_t> spread;
};

struct placement_limits {
  /// Share of each worker's capacity that is reserved for urgent tasks.
  std::int64_t reserve_percent = 5;
  /// Limit of the expected slowdown of services and of urgent tasks. Batch
  /// tasks may slow each other down more, since a partly empty worker has less
  /// throughput than a full one whose tasks run somewhat slower.
  std::int64_t max_class_slowdown_percent = 120;
};

/// @return the size to reserve for the task on the worker: the task's size, but
///   on an empty worker at most its whole capacity. A task whose learned size
///   exceeds every worker could otherwise not run anywhere.
model::resources reservation_size(const placement_task& task,
                                  const placement_worker& worker);

/// @return the resources of the worker that one more task may use.
model::resources available_resources(const placement_worker& worker,
                                     bool urgent,
                                     const placement_limits& limits);

/// Chooses a worker for one task. Candidates are compared by expected slowdown,
/// where differences up to 2% are ignored, then by the fewest tasks of the same
/// job in domain and rack, then by the least resources left in the scarcest
/// dimension (best fit, which limits fragmentation).
/// @return an index into `workers`; nothing if the task fits on none.
std::optional<std::size_t> choose_worker(
    const placement_task& task, std::span<const placement_worker> workers,
    const interference_model& interference, const placement_limits& limits);

/// Chooses the first worker on which the task fits; a baseline for comparison.
std::optional<std::size_t> choose_first_fit(
    const placement_task& task, std::span<const placement_worker> workers,
    const placement_limits& limits);

/// Checks whether a task of this size could run on any empty worker.
/// @return the reason if it could not; nothing if it could, or if no worker is
///   known.
std::optional<std::string> unschedulable_reason(
    const model::resources& size, std::span<const model::worker_info> workers);

}  // namespace vanillaladder::scheduling
