#include <algorithm>

#include "standins/worker_standin.h"

namespace vanillaladder::standins {
namespace {

using std::chrono::milliseconds;

// Ended tasks stay listed for this long unless acknowledged.
constexpr std::chrono::minutes listed_for{10};

json to_json(const model::resources& amount) {
  return {{"cpu_millis", amount.cpu_millis},
          {"memory_mib", amount.memory_mib},
          {"accelerators", amount.accelerators}};
}

json task_json(const task_run& run, clock::time_point now, milliseconds lag) {
  auto usage =
      to_json(run.ran_at(now - lag) ? run.command.used : model::resources());
  usage["age_ms"] = lag.count();
  usage["slowdown_percent"] =
      static_cast<std::int64_t>(run.factor / run.share * 100);
  return {{"task", run.task},
          {"attempt", run.attempt},
          {"state", run.state},
          {"lease", run.lease},
          {"checkpoint", run.checkpoint_at(now)},
          {"usage", std::move(usage)}};
}

}  // namespace

model::resources worker_standin::used() const {
  model::resources sum;
  for (const auto& run : runs_) {
    if (run.running()) {
      sum += run.declared;
    }
  }
  return sum;
}

void worker_standin::record(std::string_view event, const task_run& run,
                            int runs, json more) {
  more["worker"] = options_.id;
  more["task"] = run.task;
  more["attempt"] = run.attempt;
  more["lease"] = run.lease;
  more["checkpoint"] = run.checkpoint_at(clock::now());
  more["runs_of_task"] = runs;
  more["used"] = to_json(used());
  shared_->events.add(event, std::move(more));
}

json worker_standin::report() const {
  auto now = clock::now();
  milliseconds lag(usage_lag_ms_);
  auto leases = json::array();
  for (const auto& [name, granted] : leases_) {
    auto left =
        std::chrono::duration_cast<milliseconds>(granted.expires_at - now);
    leases.push_back(
        {{"lease", name},
         {"holder", granted.holder},
         {"remaining_ms", std::max<std::int64_t>(left.count(), 0)}});
  }
  auto tasks = json::array();
  model::resources sum;
  for (const auto& run : runs_) {
    if (run.ran_at(now - lag)) {
      sum += run.command.used;
    }
    if (!run.acknowledged) {
      tasks.push_back(task_json(run, now, lag));
    }
  }
  auto usage = to_json(sum);
  usage["age_ms"] = lag.count();
  return {{"leases", std::move(leases)},
          {"tasks", std::move(tasks)},
          {"usage", std::move(usage)}};
}

void worker_standin::forget_old_runs() {
  auto now = clock::now();
  milliseconds lag(usage_lag_ms_);
  std::erase_if(runs_, [&](const task_run& run) {
    auto age = run.running() ? clock::duration::zero() : now - run.ended_at;
    return age > listed_for || (run.acknowledged && age > lag);
  });
}

json worker_standin::state() const {
  auto running = std::ranges::count_if(runs_, &task_run::running);
  return {{"id", options_.id},
          {"settings", knobs_.values()},
          {"capacity", to_json(options_.capacity)},
          {"used", to_json(used())},
          {"running", running},
          {"leases", leases_.size()},
          {"starts", starts_},
          {"over_capacity", over_capacity_},
          {"max_cpu_millis", most_.cpu_millis},
          {"max_memory_mib", most_.memory_mib},
          {"max_accelerators", most_.accelerators}};
}

}  // namespace vanillaladder::standins
