#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

#include "batch/detail/scheduler_state.h"
#include "batch/scheduler.h"

// Filling tasks beside serving ones: speed, pace and moves.
namespace vanillaladder::batch {

using detail::run_phase;

namespace {

/// Progress of a lasting task that is at work.
constexpr int lasting_at_work = 100;
/// Time over which response times are measured; the users' pages.
constexpr milliseconds measured_span{500};
/// Speed that a step asks for beside serving tasks: nearly all at first, since
/// most pairs of images don't press, then less, since slow work beats none.
constexpr double first_speed = 0.95;
constexpr double later_speed = 0.6;
/// Time in which the first becomes the second; the users' jobs are late after
/// about as long.
constexpr milliseconds speed_patience{10000};
/// How long a job of which nothing runs waits for any speed at all while much
/// of the workers is unused: the users count 3 s without a run as lost.
constexpr milliseconds idle_patience{1500};
/// The same otherwise.
constexpr milliseconds starved_patience{10000};
/// Share of the workers' processors reserved up to which they count as unused.
constexpr double idle_use = 0.6;
/// Filling tasks below this pace are held; in percent. Measured beside 30.
constexpr int held_percent = 70;
/// How long they stay so before they are moved: a move costs 0.6 s.
constexpr milliseconds held_patience{500};
/// Least speed of the worker to move to.
constexpr double moved_speed = 0.95;
/// Share of the work up to which a task without checkpoints is moved.
constexpr int movable_progress = 25;
/// What a filling task takes of a headroom from which on it may be the cause
/// of a late response.
constexpr double suspect_share = 0.3;

/// @return the share of the worker's processor that a filling task takes at
///   full speed.
double full_share(const detail::worker_state& worker,
                  const detail::step_state& step) {
  auto capacity = worker.entry.info.capacity.cpu_millis;
  return capacity <= 0
             ? 0
             : static_cast<double>(step.spec->required_resources.cpu_millis) /
                   static_cast<double>(capacity);
}

/// @return the mean speed of a filling task over the last measured span.
double recent_speed(const detail::run_state& run, time_point now) {
  auto part_since = [now](time_point since) {
    return std::clamp(std::chrono::duration<double>(now - since) /
                          std::chrono::duration<double>(measured_span),
                      0.0, 1.0);
  };
  double paced = part_since(run.paced_at);
  double speed =
      paced * run.ordered_percent + (1 - paced) * run.earlier_percent;
  return speed / 100 * part_since(run.since);
}

bool has_target(const detail::run_ref& ref) {
  return ref.step->spec->long_running &&
         ref.step->spec->response_time_target.count() > 0;
}

bool is_served(const detail::run_ref& ref) {
  const auto& run = ref.run();
  return has_target(ref) && run.phase == run_phase::running &&
         run.progress == lasting_at_work;
}

std::vector<detail::run_ref> filling_on(const detail::worker_state& worker) {
  std::vector<detail::run_ref> filling;
  std::ranges::copy_if(
      worker.runs, std::back_inserter(filling),
      [](const auto& ref) { return ref.step->spec->best_effort; });
  return filling;
}

}  // namespace

double scheduler::pressure_on(const worker_state& worker) const {
  double pressure = 0;
  for (const auto& ref : worker.runs) {
    const auto* run = &ref.run();
    auto target = ref.step->spec->response_time_target;
    if (has_target(ref) && run->phase == run_phase::running) {
      pressure = std::max(pressure, static_cast<double>(run->measurement) /
                                        static_cast<double>(target.count()));
    }
  }
  return pressure;
}

/// Learns from the response times that the worker has just reported.
void scheduler::learn_disturbance(const worker_state& worker, time_point now) {
  std::vector<filling_load> beside;
  for (const auto& ref : worker.runs) {
    if (!ref.step->spec->best_effort) {
      continue;
    }
    const auto& run = ref.run();
    if (run.ordered_percent < 0) {
      // At which speed it worked is not known.
      return;
    }
    double share = full_share(worker, *ref.step) * recent_speed(run, now);
    auto known =
        std::ranges::find(beside, ref.step->image, &filling_load::image);
    if (known == beside.end()) {
      beside.push_back({ref.step->image, share});
    } else {
      known->share += share;
    }
  }
  for (const auto& ref : worker.runs) {
    auto& run = ref.run();
    if (is_served(ref) && run.measurement > 0) {
      auto headroom =
          static_cast<double>(ref.step->spec->response_time_target.count()) /
          static_cast<double>(run.measurement);
      disturbance_.learn(run.headroom, ref.step->image, beside, headroom, now);
    }
  }
}

/// @return the headroom that a filling task at full speed takes of a serving
///   one beside it.
double scheduler::taken_from(const worker_state& worker, const run_ref& serving,
                             const step_state& filling) const {
  return disturbance_.weight(serving.step->image, filling.image) *
         full_share(worker, filling);
}

/// @return a serving task beside filling ones.
served_task scheduler::served_beside(const worker_state& worker,
                                     const run_ref& serving,
                                     std::span<const run_ref> filling) const {
  served_task task;
  task.headroom = serving.run().headroom.mean;
  task.taken.reserve(filling.size());
  for (const auto& each : filling) {
    task.taken.push_back(taken_from(worker, serving, *each.step));
  }
  return task;
}

/// @return the speed that a filling task would have beside the worker's
///   serving tasks, 0 to 1; those that have only begun count too.
double scheduler::speed_at(const worker_state& worker,
                           const step_state& step) const {
  auto filling = filling_on(worker);
  double speed = 1;
  for (const auto& ref : worker.runs) {
    if (has_target(ref)) {
      speed = std::min(speed, speed_beside(served_beside(worker, ref, filling),
                                           taken_from(worker, ref, step)));
    }
  }
  return speed;
}

/// @return the speed for which a step waits.
double scheduler::least_speed(const step_state& step, time_point now) const {
  double waited =
      std::chrono::duration<double>(now - step.ready_since) / speed_patience;
  return std::lerp(first_speed, later_speed, std::min(waited, 1.0));
}

/// A job of which nothing runs gets a task in spite of those that it slows.
bool scheduler::is_starved(const step_state& step, time_point now) const {
  auto waited = now - step.ready_since;
  return (waited > starved_patience ||
          (waited > idle_patience && use_ < idle_use)) &&
         !step.job->has_runs();
}

/// Stops a filling task that is held if another worker has more to offer.
void scheduler::move_held(step_state& step, int index, run_state& run,
                          time_point now) {
  if (run.ordered_percent >= held_percent) {
    run.held_since.reset();
    return;
  }
  if (!run.held_since) {
    run.held_since = now;
    note(absl::StrCat("run_held task=", to_string(task_key{step.key, index}),
                      " run=", run.number,
                      " worker=", run.worker->entry.info.id,
                      " percent=", run.ordered_percent,
                      " pressure=", run.worker->pace.pressure()));
  }
  bool keeps_work = step.spec->checkpoints || run.progress <= movable_progress;
  if (now - *run.held_since < held_patience || !keeps_work) {
    return;
  }
  // The look at all workers below is not for every report.
  run.held_since = now;
  const auto& task = step.tasks[static_cast<std::size_t>(index)];
  bool better = std::ranges::any_of(workers_, [&](const auto& each) {
    const auto& worker = *each.second;
    return &worker != run.worker && may_take(worker, step, task, now) &&
           speed_at(worker, step) >= moved_speed;
  });
  if (better) {
    order_stop(step, index, run, "held_beside_serving", now);
  }
}

/// Orders the pace of the worker's filling tasks.
/// @param limit most percent for those that may make a serving task late.
void scheduler::order_pace(worker_state& worker, int limit, time_point now) {
  auto filling = filling_on(worker);
  std::vector<served_task> served;
  for (const auto& ref : worker.runs) {
    if (is_served(ref)) {
      served.push_back(served_beside(worker, ref, filling));
    }
  }
  auto percents = plan_pace(served, filling.size());
  std::vector<double> taken(filling.size(), 0);
  for (const auto& task : served) {
    std::ranges::transform(taken, task.taken, taken.begin(),
                           [](double a, double b) { return std::max(a, b); });
  }
  bool known = std::ranges::any_of(
      taken, [](double share) { return share >= suspect_share; });
  for (std::size_t n = 0; n < filling.size(); ++n) {
    const auto& ref = filling[n];
    auto* run = &ref.run();
    if (run->phase != run_phase::running) {
      continue;
    }
    int wanted = percents[n];
    if (!known || taken[n] >= suspect_share) {
      wanted = std::min(wanted, limit);
    }
    if (run->ordered_percent != wanted) {
      run->earlier_percent = std::max(run->ordered_percent, 0);
      run->ordered_percent = wanted;
      run->paced_at = now;
      orders_.push_back(pace_order{worker.entry.info.id,
                                   {ref.step->key, ref.index},
                                   ref.number,
                                   wanted});
    }
    move_held(*ref.step, ref.index, *run, now);
  }
}

void scheduler::relieve_serving(worker_state& worker, time_point now) {
  learn_disturbance(worker, now);
  double pressure = pressure_on(worker);
  if (worker.fill_cpu == 0) {
    worker.pace = pace_control();
    return;
  }
  int before = worker.pace.percent();
  int limit = worker.pace.update(pressure, now);
  if (limit != before) {
    note(absl::StrCat("pace worker=", worker.entry.info.id, " percent=", limit,
                      " before=", before, " pressure=", pressure));
    news_ = true;
  }
  order_pace(worker, limit, now);
}

/// Sums up how much of the workers is reserved.
void scheduler::measure_use() {
  std::int64_t capacity = 0;
  std::int64_t used = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker->listed && worker->reachable) {
      capacity += worker->entry.info.capacity.cpu_millis;
      used += worker->reserved.cpu_millis;
    }
  }
  use_ = capacity == 0
             ? 1
             : static_cast<double>(used) / static_cast<double>(capacity);
}

bool scheduler::needs_frequent_reports(const model::worker_id& id) const {
  const auto* worker = find_worker(id);
  return worker != nullptr && worker->fill_cpu > 0 && worker->serving_cpu > 0;
}

}  // namespace vanillaladder::batch
