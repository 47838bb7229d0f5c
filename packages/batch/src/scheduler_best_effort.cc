#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

#include "batch/detail/scheduler_state.h"
#include "batch/scheduler.h"

// Placement, pacing and moves of best-effort tasks next to serving tasks.
namespace vanillaladder::batch {

using detail::run_phase;

namespace {

/// Reported progress of a long-running task that is active, in percent.
constexpr int active_progress = 100;
/// Window over which workers measure response times.
constexpr milliseconds measurement_window{500};
/// Minimum speed at which a step accepts a worker with serving tasks. Nearly
/// full speed at first, since most pairs of images do not interfere, then less,
/// since running slowly is better than not running.
constexpr double initial_min_speed = 0.95;
constexpr double final_min_speed = 0.6;
/// Time over which the minimum falls from its initial to its final value; about
/// as long as it takes a typical job to become late.
constexpr milliseconds min_speed_decay_time{10000};
/// How long a job without runs waits before it accepts any speed while
/// utilisation is low. Well below 3 s, after which a job that has not started
/// counts as lost.
constexpr milliseconds idle_starvation_time{1500};
/// The same while utilisation is high.
constexpr milliseconds starvation_time{10000};
/// Reserved share of processor capacity below which utilisation is low.
constexpr double idle_utilisation = 0.6;
/// Best-effort tasks below this pace, in percent, count as throttled.
constexpr int throttled_percent = 70;
/// How long a task is throttled before it is moved.
constexpr milliseconds move_delay{500};
/// Speed assumed of a paused task, whose pace rises again when loads fall.
constexpr double min_assumed_speed = 0.1;
/// Minimum expected speed on the worker to which a task is moved.
constexpr double min_move_speed = 0.95;
/// Maximum progress, in percent, at which a task without checkpoints is moved.
constexpr int max_move_progress = 25;
/// Headroom loss above which a best-effort task may be the cause of late
/// responses.
constexpr double min_suspect_loss = 0.3;

/// @return the share of the worker's processor capacity that a best-effort task
///   uses at full speed.
double full_speed_share(const detail::worker_state& worker,
                        const detail::step_state& step) {
  auto capacity = worker.entry.info.capacity.cpu_millis;
  return capacity <= 0
             ? 0
             : static_cast<double>(step.spec->required_resources.cpu_millis) /
                   static_cast<double>(capacity);
}

/// @return the mean speed of a best-effort task over the last measurement
///   window.
double recent_speed(const detail::run_state& run, time_point now) {
  auto part_since = [now](time_point since) {
    return std::clamp(std::chrono::duration<double>(now - since) /
                          std::chrono::duration<double>(measurement_window),
                      0.0, 1.0);
  };
  double paced = part_since(run.pace_changed_at);
  double speed =
      paced * run.ordered_percent + (1 - paced) * run.previous_percent;
  return speed / 100 * part_since(run.ordered_at);
}

bool has_target(const detail::run_ref& ref) {
  return ref.step->spec->long_running &&
         ref.step->spec->response_time_target.count() > 0;
}

bool is_active_serving(const detail::run_ref& ref) {
  const auto& run = ref.run();
  return has_target(ref) && run.phase == run_phase::running &&
         run.progress == active_progress;
}

std::vector<detail::run_ref> best_effort_runs(
    const detail::worker_state& worker) {
  std::vector<detail::run_ref> best_effort;
  std::ranges::copy_if(
      worker.runs, std::back_inserter(best_effort),
      [](const auto& ref) { return ref.step->spec->best_effort; });
  return best_effort;
}

}  // namespace

double scheduler::max_latency_ratio(const worker_state& worker) const {
  double latency_ratio = 0;
  for (const auto& ref : worker.runs) {
    const auto* run = &ref.run();
    auto target = ref.step->spec->response_time_target;
    if (has_target(ref) && run->phase == run_phase::running) {
      latency_ratio =
          std::max(latency_ratio, static_cast<double>(run->measurement) /
                                      static_cast<double>(target.count()));
    }
  }
  return latency_ratio;
}

/// Updates the headroom model with the response times that the worker has just
/// reported.
void scheduler::update_headroom_model(const worker_state& worker,
                                      time_point now) {
  std::vector<best_effort_load> neighbours;
  for (const auto& ref : worker.runs) {
    if (!ref.step->spec->best_effort) {
      continue;
    }
    const auto& run = ref.run();
    if (run.ordered_percent < 0) {
      // The speed of this task, and thus its load, is unknown.
      return;
    }
    double share = full_speed_share(worker, *ref.step) * recent_speed(run, now);
    auto existing = std::ranges::find(neighbours, ref.step->image,
                                      &best_effort_load::image);
    if (existing == neighbours.end()) {
      neighbours.push_back({ref.step->image, share});
    } else {
      existing->share += share;
    }
  }
  for (const auto& ref : worker.runs) {
    auto& run = ref.run();
    if (is_active_serving(ref) && run.measurement > 0) {
      auto headroom =
          static_cast<double>(ref.step->spec->response_time_target.count()) /
          static_cast<double>(run.measurement);
      headroom_model_.learn(run.headroom, ref.step->image, neighbours, headroom,
                            now);
    }
  }
}

/// @return the headroom that a serving task loses to a best-effort task at full
///   speed on the same worker.
double scheduler::headroom_loss(const worker_state& worker,
                                const run_ref& serving,
                                const step_state& best_effort) const {
  return headroom_model_.weight(serving.step->image, best_effort.image) *
         full_speed_share(worker, best_effort);
}

/// @return the headroom of a serving task and its losses to best-effort tasks.
serving_task_load scheduler::serving_load(
    const worker_state& worker, const run_ref& serving,
    std::span<const run_ref> best_effort) const {
  serving_task_load task;
  task.headroom = serving.run().headroom.mean;
  task.headroom_losses.reserve(best_effort.size());
  for (const auto& each : best_effort) {
    task.headroom_losses.push_back(headroom_loss(worker, serving, *each.step));
  }
  return task;
}

/// @return the speed that a best-effort task would have next to the worker's
///   serving tasks, 0 to 1. Serving tasks that are still starting count too.
double scheduler::expected_speed(const worker_state& worker,
                                 const step_state& step) const {
  auto best_effort = best_effort_runs(worker);
  double speed = 1;
  for (const auto& ref : worker.runs) {
    if (has_target(ref)) {
      speed = std::min(speed,
                       achievable_speed(serving_load(worker, ref, best_effort),
                                        headroom_loss(worker, ref, step)));
    }
  }
  return speed;
}

/// @return the minimum speed at which a step accepts a worker.
double scheduler::min_speed(const step_state& step, time_point now) const {
  double waited = std::chrono::duration<double>(now - step.ready_since) /
                  min_speed_decay_time;
  return std::lerp(initial_min_speed, final_min_speed, std::min(waited, 1.0));
}

/// @return whether the step's job has waited so long without a run that it may
///   start in spite of its effect on serving tasks.
bool scheduler::is_starved(const step_state& step, time_point now) const {
  auto waited = now - step.ready_since;
  return (waited > starvation_time ||
          (waited > idle_starvation_time && utilisation_ < idle_utilisation)) &&
         !step.job->has_runs();
}

/// @return whether a throttled run would end earlier if it were moved to a
/// worker
///   on which it runs at nearly full speed.
bool scheduler::finishes_sooner_elsewhere(const step_state& step,
                                          const run_state& run) const {
  std::chrono::duration<double> work = step.spec->estimated_run_time;
  auto left = work * (1 - std::clamp(run.progress, 0, 100) / 100.0);
  double speed = std::max(run.ordered_percent / 100.0, min_assumed_speed);
  auto resumed = step.spec->checkpoints ? left : work;
  return options_.move_cost + resumed / min_move_speed < left / speed;
}

/// Stops a throttled best-effort task if it could run faster on another worker.
void scheduler::move_throttled(step_state& step, int index, run_state& run,
                               time_point now) {
  if (run.ordered_percent >= throttled_percent) {
    run.throttled_since.reset();
    return;
  }
  if (!run.throttled_since) {
    run.throttled_since = now;
    log_event(absl::StrCat(
        "run_held task=", to_string(task_key{step.key, index}),
        " run=", run.number, " worker=", run.worker->entry.info.id, " percent=",
        run.ordered_percent, " pressure=", run.worker->pace.latency_ratio()));
  }
  bool can_move = step.spec->checkpoints || run.progress <= max_move_progress;
  if (starts_held_ || now - *run.throttled_since < move_delay || !can_move ||
      !finishes_sooner_elsewhere(step, run)) {
    return;
  }
  // Limits how often all workers are examined below.
  run.throttled_since = now;
  const auto& task = step.tasks[static_cast<std::size_t>(index)];
  bool better = std::ranges::any_of(workers_, [&](const auto& each) {
    const auto& worker = *each.second;
    return &worker != run.worker && can_run(worker, step, task, now) &&
           expected_speed(worker, step) >= min_move_speed;
  });
  if (better) {
    order_stop(step, index, run, "held_beside_serving", now);
  }
}

/// Orders the pace of the worker's best-effort tasks.
/// @param limit maximum pace in percent of tasks that may be the cause of late
///   responses.
void scheduler::order_pace(worker_state& worker, int limit, time_point now) {
  auto best_effort = best_effort_runs(worker);
  std::vector<serving_task_load> serving_tasks;
  for (const auto& ref : worker.runs) {
    if (is_active_serving(ref)) {
      serving_tasks.push_back(serving_load(worker, ref, best_effort));
    }
  }
  auto percents = plan_pace(serving_tasks, best_effort.size());
  std::vector<double> headroom_losses(best_effort.size(), 0);
  for (const auto& task : serving_tasks) {
    std::ranges::transform(headroom_losses, task.headroom_losses,
                           headroom_losses.begin(),
                           [](double a, double b) { return std::max(a, b); });
  }
  bool has_suspect = std::ranges::any_of(
      headroom_losses, [](double share) { return share >= min_suspect_loss; });
  for (std::size_t n = 0; n < best_effort.size(); ++n) {
    const auto& ref = best_effort[n];
    auto* run = &ref.run();
    if (run->phase != run_phase::running) {
      continue;
    }
    int wanted = percents[n];
    if (!has_suspect || headroom_losses[n] >= min_suspect_loss) {
      wanted = std::min(wanted, limit);
    }
    if (run->ordered_percent != wanted) {
      run->previous_percent = std::max(run->ordered_percent, 0);
      run->ordered_percent = wanted;
      run->pace_changed_at = now;
      orders_.push_back(pace_order{worker.entry.info.id,
                                   {ref.step->key, ref.index},
                                   ref.number,
                                   wanted});
    }
    move_throttled(*ref.step, ref.index, *run, now);
  }
}

void scheduler::update_pace(worker_state& worker, time_point now) {
  update_headroom_model(worker, now);
  double latency_ratio = max_latency_ratio(worker);
  if (worker.best_effort_cpu == 0) {
    worker.pace = pace_control();
    return;
  }
  int before = worker.pace.percent();
  int limit = worker.pace.update(latency_ratio, now);
  if (limit != before) {
    log_event(absl::StrCat("pace worker=", worker.entry.info.id,
                           " percent=", limit, " before=", before,
                           " pressure=", latency_ratio));
    has_changes_ = true;
  }
  order_pace(worker, limit, now);
}

/// Computes the reserved share of the capacity of all reachable workers.
void scheduler::update_utilisation() {
  std::int64_t capacity = 0;
  std::int64_t used = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker->listed && worker->reachable) {
      capacity += worker->entry.info.capacity.cpu_millis;
      used += worker->reserved.cpu_millis;
    }
  }
  utilisation_ =
      capacity == 0 ? 1
                    : static_cast<double>(used) / static_cast<double>(capacity);
}

bool scheduler::needs_frequent_reports(const model::worker_id& id) const {
  const auto* worker = find_worker(id);
  return worker != nullptr && worker->best_effort_cpu > 0 &&
         worker->serving_cpu > 0;
}

}  // namespace vanillaladder::batch
