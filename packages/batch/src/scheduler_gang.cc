#include <algorithm>
#include <set>
#include <utility>

#include "batch/detail/scheduler_state.h"
#include "batch/scheduler.h"

namespace vanillaladder::batch {

using detail::run_phase;

/// @return whether the members of a gang's run are all still wanted; without
///   one of them the others would wait in vain.
bool scheduler::is_gang_whole(const step_state& step, int run,
                              time_point now) const {
  return std::ranges::all_of(step.tasks, [&](const auto& task) {
    auto member = std::ranges::find(task.runs, run, &detail::run_state::number);
    return member != task.runs.end() && member->phase != run_phase::stopping &&
           (member->phase == run_phase::running ||
            worker_obstacle(*member->worker, step, now) == obstacle::none);
  });
}

/// @return whether the free room of the workers might hold all tasks of a gang.
///   Examines each worker once, while placing examines all of them for each
///   task: a gang of 50,000 tasks that never fits took seconds of each plan.
bool scheduler::has_room_for_gang(const step_state& step, time_point now,
                                  std::string_view rack) const {
  const auto& spec = *step.spec;
  auto need = spec.required_resources;
  if (spec.best_effort) {
    need.cpu_millis = 0;
  }
  std::int64_t room = 0;
  for (const auto& [id, worker] : workers_) {
    if (!rack.empty() && worker->entry.info.rack != rack) {
      continue;
    }
    auto found = obstacle_at(*worker, step, step.tasks.front(), now);
    if (found != obstacle::none && found != obstacle::not_trusted) {
      continue;
    }
    auto free = worker->free_resources();
    std::int64_t fitting = spec.count;
    auto limit = [&fitting](std::int64_t available, std::int64_t per_task) {
      if (per_task > 0) {
        fitting = std::min(fitting, available / per_task);
      }
    };
    limit(free.cpu_millis, need.cpu_millis);
    limit(free.memory_mib, need.memory_mib);
    limit(free.accelerators, need.accelerators);
    if (spec.per_worker_limit > 0) {
      fitting = std::min<std::int64_t>(fitting, spec.per_worker_limit);
    }
    room += std::max<std::int64_t>(fitting, 0);
    if (room >= spec.count) {
      return true;
    }
  }
  return false;
}

bool scheduler::place_gang(step_state& step, time_point now,
                           std::vector<order>& orders) {
  int number = 0;
  std::string checkpoint;
  for (const auto& task : step.tasks) {
    if (!task.runs.empty()) {
      return false;
    }
    number = std::max(number, task.last_run);
    if (!task.checkpoint.empty()) {
      checkpoint = task.checkpoint;
    }
  }
  ++number;
  std::set<std::string> racks = {""};
  if (step.spec->same_rack) {
    for (const auto& [id, worker] : workers_) {
      racks.insert(worker->entry.info.rack);
    }
  }
  // Tries single racks first and all racks, the empty name, last.
  std::vector<std::pair<std::string, bool>> tries;
  for (bool trusted_only : {true, false}) {
    for (auto rack = racks.rbegin(); rack != racks.rend(); ++rack) {
      tries.emplace_back(*rack, trusted_only);
    }
    bool all_trusted = std::ranges::all_of(workers_, [now](const auto& each) {
      return each.second->trust.may_start(now, 1);
    });
    if (all_trusted) {
      break;
    }
  }
  for (const auto& [rack, trusted_only] : tries) {
    if (!has_room_for_gang(step, now, rack)) {
      continue;
    }
    std::vector<worker_state*> chosen;
    for (std::size_t n = 0; n < step.tasks.size(); ++n) {
      auto* worker =
          choose_worker(step, step.tasks[n], now, rack, trusted_only);
      if (worker == nullptr) {
        break;
      }
      chosen.push_back(worker);
      add_run(step, static_cast<int>(n), *worker, number, now);
    }
    bool complete = chosen.size() == step.tasks.size();
    for (std::size_t n = 0; n < chosen.size(); ++n) {
      int last_run = step.tasks[n].last_run;
      remove_run(step, static_cast<int>(n), number);
      step.tasks[n].last_run = complete ? last_run : number - 1;
    }
    if (complete) {
      for (std::size_t n = 0; n < chosen.size(); ++n) {
        step.tasks[n].checkpoint = checkpoint;
        start(step, static_cast<int>(n), *chosen[n], number, now, orders);
      }
      return true;
    }
  }
  return false;
}

}  // namespace vanillaladder::batch
