#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "batch/detail/scheduler_state.h"
#include "batch/scheduler.h"

// Placement that looks at what waits and at what will end soon.
namespace vanillaladder::batch {

using detail::run_phase;

namespace {

/// Reserved share of the processor capacity below which nothing is held: a task
/// that waits for 3 s beside free room counts as lost.
constexpr double min_utilisation_to_hold = 0.6;
/// How long a step waits at most because of a reservation.
constexpr milliseconds max_hold{1500};
/// Tasks of one step for which room is reserved at a time.
constexpr int max_reserved_tasks = 8;
/// Cost of a small task on a worker larger than the smallest one, relative to
/// that of a fully reserved worker: large workers are kept for large tasks.
constexpr double large_worker_cost = 0.2;
/// A task is small below this fraction of the smallest worker.
constexpr double small_task_share = 0.25;

/// @return what the task takes of a worker's room.
model::resources room_of(const step_spec& spec) {
  auto need = spec.required_resources;
  if (spec.best_effort) {
    need.cpu_millis = 0;
  }
  return need;
}

}  // namespace

/// @return when a run will probably have ended. A run that takes longer than
///   expected is assumed to take twice as long as until now.
time_point scheduler::expected_end(const step_state& step, const run_state& run,
                                   time_point now) const {
  if (run.phase == run_phase::stopping) {
    return run.ordered_at + options_.move_cost;
  }
  auto expected = run_time_model_.expected(step.job->spec->queue,
                                           step.spec->estimated_run_time);
  auto end = run.ordered_at + expected;
  return end > now ? end : now + (now - run.ordered_at);
}

/// @return when a task that starts now will probably end; never for a
///   long-running one.
time_point scheduler::expected_end_of_start(const step_state& step,
                                            time_point now) const {
  if (step.spec->long_running) {
    return time_point::max();
  }
  return now + run_time_model_.expected(step.job->spec->queue,
                                        step.spec->estimated_run_time);
}

/// Reserves room for the tasks of a step that has found no worker.
void scheduler::hold_room(step_state& step, time_point now) {
  const auto& spec = *step.spec;
  if (!options_.look_ahead || spec.best_effort || spec.gang ||
      utilisation_ < min_utilisation_to_hold || reservations_.full()) {
    return;
  }
  auto need = room_of(spec);
  struct offer {
    time_point from;
    const worker_state* worker = nullptr;
    model::resources spare;
  };
  std::vector<offer> offers;
  std::vector<expected_release> releases;
  for (const auto& [id, worker] : workers_) {
    ++units_spent_;
    if (reservations_.holds(id) ||
        worker_obstacle(*worker, step, now) != obstacle::none) {
      continue;
    }
    releases.clear();
    for (const auto& ref : worker->runs) {
      if (!ref.step->spec->long_running) {
        releases.push_back({expected_end(*ref.step, ref.run(), now),
                            room_of(*ref.step->spec)});
      }
    }
    auto free = worker->free_resources();
    auto from = reservations::earliest_fit(free, releases, need, now);
    if (!from) {
      continue;
    }
    for (const auto& release : releases) {
      if (release.at <= *from) {
        free += release.amount;
      }
    }
    offers.push_back({*from, worker.get(), free - need});
  }
  auto count =
      std::min<std::size_t>({offers.size(), max_reserved_tasks,
                             static_cast<std::size_t>(step.waiting_tasks)});
  std::ranges::partial_sort(offers,
                            offers.begin() + static_cast<std::ptrdiff_t>(count),
                            {}, &offer::from);
  for (std::size_t n = 0; n < count && !reservations_.full(); ++n) {
    reservations_.reserve(offers[n].worker->entry.info.id, offers[n].from,
                          offers[n].spare);
  }
  if (count > 0) {
    ++look_ahead_counts_.held_steps;
    if (now >= step.hold_logged_at + max_hold) {
      step.hold_logged_at = now;
      auto wait =
          std::chrono::duration_cast<milliseconds>(offers.front().from - now);
      log_event(absl::StrCat("held step=", to_string(step.key),
                             " tasks=", count, " from_ms=", wait.count()));
    }
  }
}

/// @return whether the step must leave the worker's room to one of higher rank.
bool scheduler::is_room_held(const worker_state& worker, const step_state& step,
                             time_point now) const {
  if (reservations_.empty()) {
    return false;
  }
  bool has_waited = step.waiting_since && now - *step.waiting_since > max_hold;
  return !has_waited &&
         reservations_.delays(worker.entry.info.id, room_of(*step.spec),
                              expected_end_of_start(step, now));
}

/// Notes a start beside the reservation on its worker.
void scheduler::note_backfill(const worker_state& worker,
                              const step_state& step, time_point now) {
  if (reservations_.holds(worker.entry.info.id)) {
    ++look_ahead_counts_.backfilled_starts;
    reservations_.on_start(worker.entry.info.id, room_of(*step.spec),
                           expected_end_of_start(step, now));
  }
}

/// @return the cost of a small task on a worker that could hold a large one.
double scheduler::size_cost(const worker_state& worker,
                            const step_state& step) const {
  if (!options_.look_ahead || smallest_worker_cpu_ <= 0) {
    return 0;
  }
  auto need = static_cast<double>(step.spec->required_resources.cpu_millis);
  auto smallest = static_cast<double>(smallest_worker_cpu_);
  auto capacity = static_cast<double>(worker.entry.info.capacity.cpu_millis);
  bool is_small = need < small_task_share * smallest;
  return is_small && capacity > smallest
             ? large_worker_cost * (capacity / smallest - 1)
             : 0;
}

/// Prepares a placement round.
void scheduler::begin_look_ahead() {
  reservations_.clear();
  if (!options_.look_ahead) {
    return;
  }
  smallest_worker_cpu_ = 0;
  for (const auto& [id, worker] : workers_) {
    auto cpu = worker->entry.info.capacity.cpu_millis;
    if (worker->listed && cpu > 0 &&
        (smallest_worker_cpu_ == 0 || cpu < smallest_worker_cpu_)) {
      smallest_worker_cpu_ = cpu;
    }
  }
}

}  // namespace vanillaladder::batch
