#include "scheduling/placement.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "scheduling/usage_model.h"

namespace vanillaladder::scheduling {
namespace {

/// The interference estimate is the costly part of the choice; it is made for
/// this many of the candidates that are best otherwise.
constexpr std::size_t max_estimated = 16;
/// Differences in expected slowdown below this do not matter.
constexpr double slowdown_step_percent = 2.0;

/// Smallest part of the capacity that stays free in any dimension, in
/// thousandths.
std::int64_t scarcest_left(const model::resources& left,
                           const model::resources& capacity) {
  const auto part = [](std::int64_t free, std::int64_t whole) {
    return whole > 0 ? free * 1000 / whole : 1000;
  };
  return std::min({part(left.cpu_millis, capacity.cpu_millis),
                   part(left.memory_mib, capacity.memory_mib),
                   part(left.accelerators, capacity.accelerators)});
}

/// Only an empty worker may give the room kept for urgent work to a batch task
/// that is too large for the rest of it.
bool may_use_reserve(const placement_task& task, const placement_worker& worker,
                     const placement_limits& limits) {
  if (task.urgent)
    return true;
  const auto usual =
      scale_percent(worker.capacity, 100 - limits.reserve_percent);
  return worker.reserved == model::resources{} && !fits_in(task.size, usual);
}

/// @return the room left after the task, nothing if it does not fit.
std::optional<model::resources> room_after(const placement_task& task,
                                           const placement_worker& worker,
                                           const placement_limits& limits) {
  if (!worker.accepts_starts || task.avoid.contains(worker.id))
    return std::nullopt;
  const model::resources size = reservation_size(task, worker);
  const auto room = available_resources(
      worker, may_use_reserve(task, worker, limits), limits);
  if (!fits_in(size, room))
    return std::nullopt;
  return room - size;
}

std::int64_t spread_of(const placement_task& task,
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

/// @return the largest expected slowdown on the worker with the task on it;
///   nothing if it is above the limit for a class that has one.
std::optional<double> slowdown_with(const placement_task& task,
                                    const placement_worker& worker,
                                    const interference_model& interference,
                                    const placement_limits& limits) {
  const auto limit = static_cast<double>(limits.max_class_slowdown_percent);
  double worst =
      interference.expected_slowdown(task.job_class, worker.neighbours);
  if (task.urgent && worst > limit)
    return std::nullopt;
  class_counts with = worker.neighbours;
  ++with[task.job_class];
  for (const auto& [slowed, count] : worker.neighbours) {
    --with[slowed];
    const double expected = interference.expected_slowdown(slowed, with);
    ++with[slowed];
    if (slowed == services_class && expected > limit)
      return std::nullopt;
    worst = std::max(worst, expected);
  }
  return worst;
}

struct candidate {
  std::size_t index = 0;
  std::int64_t spread = 0;
  std::int64_t left = 0;

  bool operator<(const candidate& other) const {
    return std::tie(spread, left, index) <
           std::tie(other.spread, other.left, other.index);
  }
};

std::vector<candidate> candidates(const placement_task& task,
                                  std::span<const placement_worker> workers,
                                  const placement_limits& limits) {
  std::vector<candidate> found;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    const auto left = room_after(task, workers[i], limits);
    if (left)
      found.push_back({i, spread_of(task, workers[i]),
                       scarcest_left(*left, workers[i].capacity)});
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
  auto room = scale_percent(worker.capacity, worker.usable_percent) -
              worker.services - worker.reserved;
  if (!urgent)
    room -= scale_percent(worker.capacity, limits.reserve_percent);
  return room;
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
    if (++estimated >= max_estimated)
      break;
  }
  return best;
}

std::optional<std::size_t> choose_first_fit(
    const placement_task& task, std::span<const placement_worker> workers,
    const placement_limits& limits) {
  for (std::size_t i = 0; i < workers.size(); ++i)
    if (room_after(task, workers[i], limits))
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
