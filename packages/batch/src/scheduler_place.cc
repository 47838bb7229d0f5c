#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <tuple>
#include <utility>

#include "batch/detail/ranked_step.h"
#include "batch/detail/scheduler_state.h"
#include "batch/scheduler.h"

namespace vanillaladder::batch {

using detail::run_phase;

namespace {

/// Average share of their reserved processor time that serving tasks use; the
/// rest is available to best-effort tasks.
constexpr double serving_cpu_utilisation = 0.5;
/// Latency ratio above which no best-effort task is added to a worker.
constexpr double max_latency_ratio_to_start = 0.95;
/// Minimum share of its processor need that must be available to a best-effort
/// task.
constexpr double min_cpu_share = 0.75;

/// Minimum time between two log lines on why a step waits.
constexpr milliseconds wait_log_interval{2000};
/// A step that found no worker is examined again after this time if its round
/// has not ended: room may have become free.
constexpr milliseconds repeat_interval{1000};
/// One of so many units of a round's work may go into such repeats, so that the
/// round ends.
constexpr int units_per_repeat_unit = 2;
/// Duration from which on a placement round is logged.
constexpr milliseconds long_round{1000};
/// How long a task is not placed on the worker on which it failed last. The
/// worker may be the only one that can run it, and a task that waits for 3 s
/// beside free room counts as lost.
constexpr milliseconds failed_worker_pause{2000};
/// Cost of a start, with its record, order and log line, in units of examining
/// one worker.
constexpr int start_cost_units = 64;

// Placement costs, in units of the cost of a fully reserved worker.
constexpr double warm_up_cost = 2;
constexpr double unproven_worker_cost = 0.3;
constexpr double remote_data_cost = 1;
constexpr double same_step_cost = 0.5;
constexpr double other_image_cost = 2;
constexpr double slowdown_cost = 3;
constexpr double latency_cost = 0.5;

double ratio(std::int64_t part, std::int64_t whole) {
  return whole <= 0 ? 1
                    : static_cast<double>(part) / static_cast<double>(whole);
}

/// @return processor time, in thousandths of a core, that is left for further
///   best-effort tasks.
double spare_cpu(const detail::worker_state& worker) {
  auto other_reserved = worker.reserved.cpu_millis - worker.serving_cpu;
  return static_cast<double>(worker.entry.info.capacity.cpu_millis -
                             other_reserved - worker.best_effort_cpu) -
         serving_cpu_utilisation * static_cast<double>(worker.serving_cpu);
}

/// @return share of the worker's long-running tasks that have another image.
double share_of_other_images(const detail::worker_state& worker,
                             std::string_view image) {
  int serving = 0;
  int others = 0;
  for (const auto& ref : worker.runs) {
    if (ref.step->spec->long_running) {
      ++serving;
      others += ref.step->spec->image == image ? 0 : 1;
    }
  }
  return serving == 0 ? 0 : static_cast<double>(others) / serving;
}

/// @return number of the worker's runs that end by themselves.
int count_finite_runs(const detail::worker_state& worker) {
  return static_cast<int>(std::ranges::count_if(
      worker.runs,
      [](const auto& ref) { return !ref.step->spec->long_running; }));
}

int count_runs_of_step(const detail::worker_state& worker,
                       const detail::step_state& step) {
  return static_cast<int>(std::ranges::count_if(
      worker.runs, [&](const auto& ref) { return ref.step == &step; }));
}

bool has_just_failed_on(const detail::worker_state& worker,
                        const detail::task_state& task, time_point now) {
  return worker.entry.info.id == task.last_failed_worker &&
         now < task.last_failed_at + failed_worker_pause;
}

/// @return when the worker's last run that ends by itself was started, without
///   the members of the gang that is being placed.
time_point last_start_of_other(const detail::worker_state& worker,
                               const detail::step_state& placed) {
  time_point last;
  for (const auto& ref : worker.runs) {
    bool counts = !ref.step->spec->long_running &&
                  ref.run().phase != run_phase::stopping &&
                  (!placed.spec->gang || ref.step != &placed);
    if (counts) {
      last = std::max(last, ref.run().ordered_at);
    }
  }
  return last;
}

}  // namespace

std::string_view scheduler::obstacle_name(obstacle cause) {
  switch (cause) {
    case obstacle::none:
      return "free";
    case obstacle::unreachable:
      return "unreachable";
    case obstacle::leaving:
      return "leaving";
    case obstacle::other_service:
      return "other_service";
    case obstacle::closed_domain:
      return "closed_domain";
    case obstacle::entry_outdated:
      return "entry_outdated";
    case obstacle::label:
      return "label";
    case obstacle::presses_on_serving:
      return "presses_on_serving";
    case obstacle::serving_late:
      return "serving_late";
    case obstacle::no_spare_processor:
      return "no_spare_processor";
    case obstacle::no_room:
      return "no_room";
    case obstacle::room_held:
      return "room_held";
    case obstacle::lease_not_settled:
      return "lease_not_settled";
    case obstacle::unknown_runs:
      return "unknown_runs";
    case obstacle::not_trusted:
      return "not_trusted";
    case obstacle::limit_per_worker:
      return "limit_per_worker";
  }
  return "unknown";
}

/// @return the obstacle on the worker for each task of the step, whatever else
///   runs there.
scheduler::obstacle scheduler::worker_obstacle(const worker_state& worker,
                                               const step_state& step,
                                               time_point now) const {
  const auto& info = worker.entry.info;
  const auto& label = step.spec->required_label;
  if (!worker.listed || !worker.reachable) {
    return obstacle::unreachable;
  }
  if (info.state != model::instance_state::live) {
    return obstacle::leaving;
  }
  if (worker.entry.service != step.job->policy.service) {
    return obstacle::other_service;
  }
  if (std::ranges::find(closed_domains_, info.domain) !=
      closed_domains_.end()) {
    return obstacle::closed_domain;
  }
  // The process that reports may be of another kind than the one that the entry
  // describes, until its own entry is read. A later entry may name any process.
  if (worker.entry.incarnation != 0 &&
      worker.entry.incarnation != worker.incarnation &&
      worker.entry_changed_at < worker.incarnation_seen_at) {
    return obstacle::entry_outdated;
  }
  if (!label.empty() && std::ranges::find(worker.entry.labels, label) ==
                            worker.entry.labels.end()) {
    return obstacle::label;
  }
  if (worker.has_unknown_runs) {
    return obstacle::unknown_runs;
  }
  // A next leader counts only on the lease that leaders order.
  if (now < worker.lease.settled_at()) {
    return obstacle::lease_not_settled;
  }
  return obstacle::none;
}

std::string_view scheduler::start_obstacle(const start_order& start,
                                           time_point now) const {
  const auto* worker = find_worker(start.worker);
  if (worker == nullptr) {
    return "run_gone";
  }
  auto ref = std::ranges::find_if(worker->runs, [&](const auto& each) {
    return each.number == start.run && each.index == start.task.index &&
           each.step->key == start.task.step;
  });
  if (ref == worker->runs.end()) {
    return "run_gone";
  }
  const auto& step = *ref->step;
  if (step.job->cancelled || has_ended(step.job->state)) {
    return "job_ended";
  }
  if (ref->run().phase != run_phase::starting) {
    return "run_stopped";
  }
  if (auto found = worker_obstacle(*worker, step, now);
      found != obstacle::none) {
    return obstacle_name(found);
  }
  // The room of the run itself is reserved; a worker that is back may have
  // less.
  if (!model::fits_in({}, worker->free_resources())) {
    return obstacle_name(obstacle::no_room);
  }
  if (step.spec->gang && !is_gang_whole(step, start.run, now)) {
    return "gang_broken";
  }
  return "";
}

scheduler::obstacle scheduler::obstacle_at(const worker_state& worker,
                                           const step_state& step,
                                           const task_state& task,
                                           time_point now) const {
  ++units_spent_;
  if (auto found = worker_obstacle(worker, step, now);
      found != obstacle::none) {
    return found;
  }
  const auto& spec = *step.spec;
  auto need = spec.required_resources;
  if (spec.best_effort) {
    if (worker.pace.latency_ratio() > max_latency_ratio_to_start &&
        !is_starved(step, now)) {
      return obstacle::serving_late;
    }
    if (spare_cpu(worker) <
        min_cpu_share * static_cast<double>(need.cpu_millis)) {
      return obstacle::no_spare_processor;
    }
    need.cpu_millis = 0;
  }
  if (!model::fits_in(need, worker.free_resources())) {
    return obstacle::no_room;
  }
  if (spec.per_worker_limit > 0 &&
      count_runs_of_step(worker, step) >= spec.per_worker_limit) {
    return obstacle::limit_per_worker;
  }
  if (is_room_held(worker, step, now)) {
    return obstacle::room_held;
  }
  if (spec.best_effort && !is_starved(step, now) &&
      expected_speed(worker, step) < min_speed(step, now)) {
    return obstacle::presses_on_serving;
  }
  // Checked last: a worker with this obstacle has no other.
  if (!worker.trust.may_start(now, count_finite_runs(worker)) ||
      has_just_failed_on(worker, task, now)) {
    return obstacle::not_trusted;
  }
  return obstacle::none;
}

/// @return whether a worker whose only obstacle is `not_trusted` may run the
///   task if no other worker can. Gets one task, or one gang, per pause.
bool scheduler::is_last_resort(const worker_state& worker,
                               const step_state& step, const task_state& task,
                               time_point now) const {
  return !has_just_failed_on(worker, task, now) &&
         worker.trust.may_start_as_only(now, last_start_of_other(worker, step));
}

bool scheduler::can_run(const worker_state& worker, const step_state& step,
                        const task_state& task, time_point now) const {
  return obstacle_at(worker, step, task, now) == obstacle::none;
}

/// @return whether a line on why the step waits is due, and notes that it is
///   written.
bool scheduler::begin_wait_line(step_state& step, time_point now) {
  if (now < step.wait_logged_at + wait_log_interval) {
    return false;
  }
  step.wait_logged_at = now;
  return true;
}

/// Logs why no worker can run a task, as the number of workers per obstacle.
void scheduler::log_wait_reasons(step_state& step, const task_state& task,
                                 time_point now) {
  if (!begin_wait_line(step, now)) {
    return;
  }
  std::map<std::string_view, int> counts;
  for (const auto& [id, worker] : workers_) {
    ++counts[obstacle_name(obstacle_at(*worker, step, task, now))];
  }
  std::string line = absl::StrCat("waits step=", to_string(step.key),
                                  " tasks=", step.waiting_tasks);
  for (const auto& [cause, count] : counts) {
    absl::StrAppend(&line, " ", std::string(cause), "=", count);
  }
  log_event(std::move(line));
}

double scheduler::cost_of(const worker_state& worker, const step_state& step,
                          const task_state& task) const {
  const auto& spec = *step.spec;
  const auto& info = worker.entry.info;
  double cost = ratio(worker.reserved.cpu_millis, info.capacity.cpu_millis);
  if (worker.entry.remaining_warm_up.count() > 0) {
    cost += warm_up_cost;
  }
  if (!worker.trust.last_task_succeeded()) {
    cost += unproven_worker_cost * (1 + task.failures);
  }
  cost += worker.trust.consecutive_failures() + size_cost(worker, step);
  if (!spec.data_rack.empty() && info.rack != spec.data_rack) {
    cost += remote_data_cost;
  }
  if (spec.best_effort) {
    cost = cost -
           ratio(static_cast<std::int64_t>(spare_cpu(worker)),
                 info.capacity.cpu_millis) +
           latency_cost * worker.pace.latency_ratio() +
           slowdown_cost * (1 - expected_speed(worker, step));
  }
  if (spec.long_running) {
    // Serving tasks are packed so that other workers stay free for large
    // tasks. Those of one image are packed together, so that best-effort tasks
    // that interfere with this image find workers without it.
    cost = -cost + same_step_cost * count_runs_of_step(worker, step) +
           other_image_cost * share_of_other_images(worker, spec.image);
  }
  return cost;
}

scheduler::worker_state* scheduler::choose_worker(const step_state& step,
                                                  const task_state& task,
                                                  time_point now,
                                                  std::string_view rack,
                                                  bool trusted_only) {
  worker_state* best = nullptr;
  std::pair<bool, double> best_cost;
  for (auto& [id, worker] : workers_) {
    if (!rack.empty() && worker->entry.info.rack != rack) {
      continue;
    }
    auto found = obstacle_at(*worker, step, task, now);
    bool untrusted = found == obstacle::not_trusted && !trusted_only &&
                     is_last_resort(*worker, step, task, now);
    if (found != obstacle::none && !untrusted) {
      continue;
    }
    std::pair cost(untrusted, cost_of(*worker, step, task));
    if (best == nullptr || cost < best_cost) {
      best = worker.get();
      best_cost = cost;
    }
  }
  return best;
}

/// Heap of the workers that can run the identical tasks of one step, cheapest
/// first, those that are a last resort at the end.
///
/// A start changes only the cost of its own worker, so the other workers need
/// not be examined again for the next task.
class scheduler::candidates {
 public:
  candidates(const scheduler& owner, const step_state& step,
             const task_state& task, time_point now)
      : owner_(owner), step_(step), task_(task), now_(now) {
    std::size_t position = 0;
    for (const auto& [id, worker] : owner.workers_) {
      add(*worker, position++);
    }
    std::ranges::make_heap(heap_, costs_more);
  }

  /// Removes the cheapest worker; `put_back` adds it again.
  /// @return the worker, or null if there is none.
  worker_state* take() {
    if (heap_.empty()) {
      return nullptr;
    }
    std::ranges::pop_heap(heap_, costs_more);
    taken_ = heap_.back();
    heap_.pop_back();
    return taken_.worker;
  }

  void put_back() {
    if (add(*taken_.worker, taken_.position)) {
      std::ranges::push_heap(heap_, costs_more);
    }
  }

 private:
  struct candidate {
    bool untrusted = false;
    double cost = 0;
    /// Breaks ties between equal costs, so that decisions are deterministic.
    std::size_t position = 0;
    worker_state* worker = nullptr;
  };

  static bool costs_more(const candidate& a, const candidate& b) {
    return std::tie(a.untrusted, a.cost, a.position) >
           std::tie(b.untrusted, b.cost, b.position);
  }

  bool add(worker_state& worker, std::size_t position) {
    auto found = owner_.obstacle_at(worker, step_, task_, now_);
    bool untrusted = found == obstacle::not_trusted &&
                     owner_.is_last_resort(worker, step_, task_, now_);
    if (found != obstacle::none && !untrusted) {
      return false;
    }
    heap_.push_back(
        {untrusted, owner_.cost_of(worker, step_, task_), position, &worker});
    return true;
  }

  const scheduler& owner_;
  const step_state& step_;
  const task_state& task_;
  time_point now_;
  std::vector<candidate> heap_;
  candidate taken_;
};

void scheduler::start(step_state& step, int index, worker_state& worker,
                      int number, time_point now, std::vector<order>& orders) {
  units_spent_ += start_cost_units;
  ++starts_made_;
  auto& task = step.tasks[static_cast<std::size_t>(index)];
  note_backfill(worker, step, now);
  add_run(step, index, worker, number, now);
  step.mark_dirty(index);
  task_key key{step.key, index};
  log_event(absl::StrCat(
      "run_start task=", to_string(key), " run=", number,
      " worker=", worker.entry.info.id, " life=", worker.incarnation,
      " room_cpu=", worker.free_resources().cpu_millis,
      " room_mib=", worker.free_resources().memory_mib,
      " pace=", worker.pace.percent(), " failures=", task.failures));
  orders.push_back(start_order{worker.entry.info.id, std::move(key), number,
                               step.job->spec,
                               step.spec->checkpoints ? task.checkpoint : ""});
}

bool scheduler::unmet_demand::covers(const step_state& other, bool starved,
                                     double other_speed) const {
  bool is_comparable =
      step->spec->best_effort == other.spec->best_effort &&
      (!step->spec->best_effort || step->image == other.image) &&
      step->job->policy.service == other.job->policy.service;
  return is_comparable && !starved && min_speed <= other_speed &&
         model::fits_in(step->spec->required_resources,
                        other.spec->required_resources);
}

/// Logs that a step waits because another one that needs no more waits too.
void scheduler::log_covered_wait(step_state& step, const step_state& other,
                                 time_point now) {
  if (begin_wait_line(step, now)) {
    log_event(absl::StrCat("waits step=", to_string(step.key),
                           " tasks=", step.waiting_tasks,
                           " needs_as_much_as=", to_string(other.key)));
  }
}

/// Starts the waiting tasks of a step.
/// @return `unmet` if a task that has not failed yet finds no worker,
///   `interrupted` if the work budget is used up.
scheduler::placement scheduler::place_step(step_state& step,
                                           placement_pass pass, time_point now,
                                           std::vector<order>& orders) {
  if (step.spec->gang) {
    if (has_share(step, pass, step.spec->count, now)) {
      place_gang(step, now, orders);
    }
    return placement::examined;
  }
  std::optional<candidates> shared_candidates;
  for (std::size_t n = 0; n < step.tasks.size(); ++n) {
    auto& task = step.tasks[n];
    if (!task.is_waiting() || now < task.not_before) {
      continue;
    }
    if (!has_budget()) {
      return placement::interrupted;
    }
    if (!has_share(step, pass, 1, now)) {
      return placement::examined;
    }
    bool starved = step.spec->best_effort && is_starved(step, now);
    // A task that has failed avoids its last worker and prefers workers whose
    // last task succeeded.
    bool can_share_candidates = task.failures == 0 && !starved;
    worker_state* worker = nullptr;
    if (can_share_candidates) {
      if (!shared_candidates) {
        shared_candidates.emplace(*this, step, task, now);
      }
      worker = shared_candidates->take();
    } else {
      worker = choose_worker(step, task, now, "", false);
    }
    if (worker == nullptr) {
      log_wait_reasons(step, task, now);
      if (task.failures == 0) {
        // The step's other tasks have the same requirements.
        return placement::unmet;
      }
      continue;
    }
    start(step, static_cast<int>(n), *worker, task.last_run + 1, now, orders);
    if (can_share_candidates) {
      shared_candidates->put_back();
    } else {
      shared_candidates.reset();
    }
  }
  return placement::examined;
}

/// Begins a placement round, in which each step is examined once.
void scheduler::begin_round(time_point now) {
  auto took = std::chrono::duration_cast<milliseconds>(now - round_began_at_);
  if (round_plans_ > 1 && took >= long_round) {
    log_event(absl::StrCat("long_round number=", round_, " ms=", took.count(),
                           " plans=", round_plans_));
  }
  ++round_;
  round_plans_ = 0;
  round_units_ = 0;
  repeat_units_ = 0;
  round_began_at_ = now;
}

void scheduler::place(time_point now, std::vector<order>& orders) {
  if (starts_held_) {
    budget_exhausted_ = false;
    return;
  }
  // The round continues once tasks may start.
  if (start_limit_ == 0) {
    return;
  }
  if (!budget_exhausted_) {
    begin_round(now);
  }
  ++round_plans_;
  budget_exhausted_ = false;
  begin_look_ahead();
  auto ranked = rank_steps(now);
  if (shares_.enabled()) {
    begin_share_round(ranked);
  }
  budget_exhausted_ =
      (shares_.enabled() &&
       !place_ranked(ranked, placement_pass::entitled, now, orders)) ||
      !place_ranked(ranked, placement_pass::lent, now, orders);
  round_units_ += units_spent_;
}

/// @return whether a step that the current round has examined is examined once
///   more.
bool scheduler::may_repeat(const step_state& step, time_point now) const {
  return now - step.examined_at >= repeat_interval &&
         units_per_repeat_unit * repeat_units_ < round_units_ + units_spent_;
}

/// Places the tasks of steps in their order.
/// @return false if the work budget is used up.
bool scheduler::place_ranked(std::span<const ranked_step> ranked,
                             placement_pass pass, time_point now,
                             std::vector<order>& orders) {
  // Steps that found no worker in this pass. Steps that need as much or more
  // are skipped: under load most steps wait, and examining all workers for each
  // of them would exceed the time allowed for a round.
  std::vector<unmet_demand> unmet;
  for (const auto& each : ranked) {
    auto& step = *each.step;
    auto& last_round = pass == placement_pass::lent ? step.last_round
                                                    : step.last_entitled_round;
    bool is_repeat = last_round == round_;
    if (is_repeat && !may_repeat(step, now)) {
      continue;
    }
    if (!has_budget()) {
      return false;
    }
    step.examined_at = now;
    bool starved = step.spec->best_effort && is_starved(step, now);
    double speed = step.spec->best_effort ? min_speed(step, now) : 0;
    auto found = std::ranges::find_if(unmet, [&](const auto& demand) {
      return demand.covers(step, starved, speed);
    });
    if (found != unmet.end()) {
      last_round = round_;
      log_covered_wait(step, *found->step, now);
      continue;
    }
    auto spent_before = units_spent_;
    auto result = place_step(step, pass, now, orders);
    if (is_repeat) {
      repeat_units_ += units_spent_ - spent_before;
    }
    if (result == placement::interrupted) {
      last_round = 0;
      return false;
    }
    last_round = round_;
    if (result == placement::unmet) {
      hold_room(step, now);
    }
    bool restricted =
        !step.spec->required_label.empty() || step.spec->per_worker_limit > 0;
    if (result == placement::unmet && !restricted) {
      unmet.push_back({&step, speed});
    }
  }
  return true;
}

}  // namespace vanillaladder::batch
