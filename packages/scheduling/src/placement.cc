#include "scheduling/placement.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "scheduling/usage_model.h"

namespace vanillaladder::scheduling {
namespace {

/// Maximum number of candidates whose interference is estimated, in order of
/// the other criteria; the estimate is the most expensive part of the choice.
constexpr std::size_t max_estimated_candidates = 16;
/// Differences in expected slowdown up to this value are ignored.
constexpr double slowdown_step_percent = 2.0;

/// @return the smallest share of the capacity left in any dimension, in
///   thousandths.
std::int64_t min_share_left(const model::resources& left,
                            const model::resources& capacity) {
  const auto part = [](std::int64_t free, std::int64_t whole) {
    return whole > 0 ? free * 1000 / whole : 1000;
  };
  return std::min({part(left.cpu_millis, capacity.cpu_millis),
                   part(left.memory_mib, capacity.memory_mib),
                   part(left.accelerators, capacity.accelerators)});
}

/// @return whether the task may use the reserve for urgent tasks. A batch task
///   may only on an empty worker, and only if it does not fit otherwise.
bool may_use_reserve(const placement_task& task, const placement_worker& worker,
                     const placement_limits& limits) {
  if (task.urgent)
    return true;
  const auto unreserved =
      scale_percent(worker.capacity, 100 - limits.reserve_percent);
  return worker.reserved == model::resources{} &&
         !fits_in(task.size, unreserved);
}

/// @return the resources left with the task on the worker; nothing if it does
///   not fit.
std::optional<model::resources> resources_left_with(
    const placement_task& task, const placement_worker& worker,
    const placement_limits& limits) {
  if (!worker.accepts_starts || task.avoid.contains(worker.id))
    return std::nullopt;
  const model::resources size = reservation_size(task, worker);
  const auto available = available_resources(
      worker, may_use_reserve(task, worker, limits), limits);
  if (!fits_in(size, available))
    return std::nullopt;
  return available - size;
}

/// @return tasks of the same job in the worker's domain, plus those in its
///   rack.
std::int64_t job_tasks_nearby(const placement_task& task,
                              const placement_worker& worker) {
  std::int64_t tasks = 0;
  if (const auto found = task.spread.find(worker.domain);
      found != task.spread.end())
    tasks += found->second;
  if (const auto found = task.spread.find(worker.domain + "/" + worker.rack);
      found != task.spread.end())
    tasks += found->second;
  return tasks;
}

/// @return the largest expected slowdown of any class on the worker with the
///   task on it; nothing if it exceeds the limit of services or urgent tasks.
std::optional<double> slowdown_with(const placement_task& task,
                                    const placement_worker& worker,
                                    const interference_model& interference,
                                    const placement_limits& limits) {
  const auto limit = static_cast<double>(limits.max_class_slowdown_percent);
  double worst =
      interference.expected_slowdown(task.job_class, worker.neighbours);
  if (task.urgent && worst > limit)
    return std::nullopt;
  class_counts others = worker.neighbours;
  ++others[task.job_class];
  for (const auto& [affected, count] : worker.neighbours) {
    --others[affected];
    const double expected = interference.expected_slowdown(affected, others);
    ++others[affected];
    if (affected == services_class && expected > limit)
      return std::nullopt;
    worst = std::max(worst, expected);
  }
  return worst;
}

struct candidate {
  std::size_t index = 0;
  std::int64_t job_tasks = 0;
  std::int64_t share_left = 0;

  bool operator<(const candidate& other) const {
    return std::tie(job_tasks, share_left, index) <
           std::tie(other.job_tasks, other.share_left, other.index);
  }
};

std::vector<candidate> candidates(const placement_task& task,
                                  std::span<const placement_worker> workers,
                                  const placement_limits& limits) {
  std::vector<candidate> found;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    const auto left = resources_left_with(task, workers[i], limits);
    if (left)
      found.push_back({i, job_tasks_nearby(task, workers[i]),
                       min_share_left(*left, workers[i].capacity)});
  }
  std::sort(found.begin(), found.end());
  return found;
}

}  // namespace

model::resources reservation_size(const placement_task& task,
                                  const placement_worker& worker) {
  if (worker.reserved != model::resources{})
    return task.size;
  return elementwise_min(
      task.size,
      elementwise_max(task.declared, worker.capacity - worker.services));
}

model::resources available_resources(const placement_worker& worker,
                                     bool urgent,
                                     const placement_limits& limits) {
  auto available = scale_percent(worker.capacity, worker.usable_percent) -
                   worker.services - worker.reserved;
  if (!urgent)
    available -= scale_percent(worker.capacity, limits.reserve_percent);
  return available;
}

std::optional<std::size_t> choose_worker(
    const placement_task& task, std::span<const placement_worker> workers,
    const interference_model& interference, const placement_limits& limits) {
  std::optional<std::size_t> best;
  double best_slowdown = 0;
  std::size_t estimated = 0;
  for (const candidate& option : candidates(task, workers, limits)) {
    const auto slowdown =
        slowdown_with(task, workers[option.index], interference, limits);
    if (!slowdown)
      continue;
    if (!best || *slowdown + slowdown_step_percent < best_slowdown) {
      best = option.index;
      best_slowdown = *slowdown;
    }
    if (++estimated >= max_estimated_candidates)
      break;
  }
  return best;
}

std::optional<std::size_t> choose_first_fit(
    const placement_task& task, std::span<const placement_worker> workers,
    const placement_limits& limits) {
  for (std::size_t i = 0; i < workers.size(); ++i)
    if (resources_left_with(task, workers[i], limits))
      return i;
  return std::nullopt;
}

std::optional<std::string> unschedulable_reason(
    const model::resources& size, std::span<const model::worker_info> workers) {
  if (workers.empty())
    return std::nullopt;
  model::resources largest;
  for (const auto& worker : workers) {
    if (fits_in(size, worker.capacity))
      return std::nullopt;
    largest = elementwise_max(largest, worker.capacity);
  }
  if (size.cpu_millis > largest.cpu_millis)
    return "cpu_millis is above the largest worker's " +
           std::to_string(largest.cpu_millis);
  if (size.memory_mib > largest.memory_mib)
    return "memory_mib is above the largest worker's " +
           std::to_string(largest.memory_mib);
  if (size.accelerators > largest.accelerators)
    return "accelerators is above the largest worker's " +
           std::to_string(largest.accelerators);
  return "no worker has this much of every resource";
}

}  // namespace vanillaladder::scheduling
