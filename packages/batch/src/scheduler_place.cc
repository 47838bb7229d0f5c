#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "batch/detail/scheduler_state.h"
#include "batch/scheduler.h"

namespace vanillaladder::batch {

using detail::run_phase;

namespace {

/// Share of their reservation that serving tasks use on average; the rest is
/// left to filling tasks. From the users' description of their load.
constexpr double serving_use = 0.5;
/// Pressure on serving tasks above which no filling task is added.
constexpr double crowded_pressure = 0.95;
/// A filling task may start where it gets at least this share of its need.
constexpr double least_fill_share = 0.75;

/// Least time between two lines that say why a step waits.
constexpr milliseconds explain_interval{2000};
/// What a start costs in looks at a worker: its record, order and log line.
constexpr int start_units = 64;

// Costs are in units of a wholly used worker.
constexpr double cold_cost = 2;
constexpr double unproven_cost = 0.3;
constexpr double far_cost = 1;
constexpr double same_step_cost = 0.5;
constexpr double other_image_cost = 2;
constexpr double slow_cost = 3;
constexpr double pressure_cost = 0.5;

double share(std::int64_t part, std::int64_t whole) {
  return whole <= 0 ? 1
                    : static_cast<double>(part) / static_cast<double>(whole);
}

/// @return processor that serving and plain tasks leave to filling ones.
double fill_room(const detail::worker_state& worker) {
  auto plain = worker.reserved.cpu_millis - worker.serving_cpu;
  return static_cast<double>(worker.entry.info.capacity.cpu_millis - plain -
                             worker.fill_cpu) -
         serving_use * static_cast<double>(worker.serving_cpu);
}

/// @return share of the worker's serving tasks that have another image.
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

/// @return the worker's runs that will end by themselves.
int count_of_ending(const detail::worker_state& worker) {
  return static_cast<int>(std::ranges::count_if(
      worker.runs,
      [](const auto& ref) { return !ref.step->spec->long_running; }));
}

int count_of_step(const detail::worker_state& worker,
                  const detail::step_state& step) {
  return static_cast<int>(std::ranges::count_if(
      worker.runs, [&](const auto& ref) { return ref.step == &step; }));
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
    case obstacle::not_trusted:
      return "not_trusted";
    case obstacle::limit_per_worker:
      return "limit_per_worker";
  }
  return "unknown";
}

struct scheduler::ranked_step {
  step_state* step = nullptr;
  int priority = 0;
  /// 0 on time, 1 late, 2 worth nothing any more.
  int lateness = 0;
  time_point due;

  bool operator<(const ranked_step& other) const {
    return std::tie(lateness, priority, due) <
           std::tie(other.lateness, other.priority, other.due);
  }
};

std::vector<scheduler::ranked_step> scheduler::rank_steps(time_point now) {
  std::vector<ranked_step> ranked;
  for (auto& [id, job] : jobs_) {
    for (auto& occurrence : job->occurrences) {
      for (auto& step : occurrence.steps) {
        if (step.waiting == 0 || !is_ready(step)) {
          continue;
        }
        if (step.ready_since == time_point()) {
          step.ready_since = now;
        }
        ranked_step each{&step, job->policy.priority, 0, job->due.on_time};
        if (!step.spec->long_running) {
          if (now > job->due.late) {
            each.lateness = 2;
          } else if (now + step.spec->estimated_run_time > job->due.on_time) {
            each.lateness = 1;
          }
        }
        ranked.push_back(each);
      }
    }
  }
  std::ranges::sort(ranked, std::less<>());
  return ranked;
}

scheduler::obstacle scheduler::obstacle_at(const worker_state& worker,
                                           const step_state& step,
                                           const task_state& task,
                                           time_point now) const {
  ++spent_;
  const auto& info = worker.entry.info;
  const auto& spec = *step.spec;
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
  if (!spec.required_label.empty() &&
      std::ranges::find(worker.entry.labels, spec.required_label) ==
          worker.entry.labels.end()) {
    return obstacle::label;
  }
  auto need = spec.required_resources;
  if (spec.best_effort) {
    if (worker.pace.pressure() > crowded_pressure && !is_starved(step, now)) {
      return obstacle::serving_late;
    }
    if (fill_room(worker) <
        least_fill_share * static_cast<double>(need.cpu_millis)) {
      return obstacle::no_spare_processor;
    }
    need.cpu_millis = 0;
  }
  if (!model::fits_in(need, worker.room())) {
    return obstacle::no_room;
  }
  if (!worker.trust.may_start(now, count_of_ending(worker)) ||
      (task.failures > 0 && info.id == task.last_failed_on)) {
    return obstacle::not_trusted;
  }
  if (spec.per_worker_limit > 0 &&
      count_of_step(worker, step) >= spec.per_worker_limit) {
    return obstacle::limit_per_worker;
  }
  // Last, as it costs most.
  if (spec.best_effort && !is_starved(step, now) &&
      speed_at(worker, step) < least_speed(step, now)) {
    return obstacle::presses_on_serving;
  }
  return obstacle::none;
}

bool scheduler::may_take(const worker_state& worker, const step_state& step,
                         const task_state& task, time_point now) const {
  return obstacle_at(worker, step, task, now) == obstacle::none;
}

/// Logs why a task finds no worker, by the number of workers for each cause.
void scheduler::explain_wait(step_state& step, const task_state& task,
                             time_point now) {
  if (now < step.explained_at + explain_interval) {
    return;
  }
  step.explained_at = now;
  std::map<std::string_view, int> counts;
  for (const auto& [id, worker] : workers_) {
    ++counts[obstacle_name(obstacle_at(*worker, step, task, now))];
  }
  std::string line =
      absl::StrCat("waits step=", to_string(step.key), " tasks=", step.waiting);
  for (const auto& [cause, count] : counts) {
    absl::StrAppend(&line, " ", std::string(cause), "=", count);
  }
  note(std::move(line));
}

double scheduler::cost_of(const worker_state& worker, const step_state& step,
                          const task_state& task) const {
  const auto& spec = *step.spec;
  const auto& info = worker.entry.info;
  double cost = share(worker.reserved.cpu_millis, info.capacity.cpu_millis);
  if (worker.entry.remaining_warm_up.count() > 0) {
    cost += cold_cost;
  }
  if (!worker.trust.proven()) {
    cost += unproven_cost * (1 + task.failures);
  }
  cost += worker.trust.failures_in_a_row();
  if (!spec.data_rack.empty() && info.rack != spec.data_rack) {
    cost += far_cost;
  }
  if (spec.best_effort) {
    cost = cost -
           share(static_cast<std::int64_t>(fill_room(worker)),
                 info.capacity.cpu_millis) +
           pressure_cost * worker.pace.pressure() +
           slow_cost * (1 - speed_at(worker, step));
  }
  if (spec.long_running) {
    // Serving tasks share workers so that others stay free for wide tasks,
    // and share them with their like: what presses on one image then still
    // finds workers with others.
    cost = -cost + same_step_cost * count_of_step(worker, step) +
           other_image_cost * share_of_other_images(worker, spec.image);
  }
  return cost;
}

scheduler::worker_state* scheduler::choose_worker(const step_state& step,
                                                  const task_state& task,
                                                  time_point now,
                                                  std::string_view rack) {
  worker_state* best = nullptr;
  double best_cost = 0;
  for (auto& [id, worker] : workers_) {
    if ((!rack.empty() && worker->entry.info.rack != rack) ||
        !may_take(*worker, step, task, now)) {
      continue;
    }
    double cost = cost_of(*worker, step, task);
    if (best == nullptr || cost < best_cost) {
      best = worker.get();
      best_cost = cost;
    }
  }
  return best;
}

/// Workers that may take the alike tasks of one step, cheapest first.
///
/// A start changes the cost of its worker alone, so that the next task needs
/// no look at the others.
class scheduler::candidates {
 public:
  candidates(const scheduler& owner, const step_state& step,
             const task_state& task, time_point now)
      : owner_(owner), step_(step), task_(task), now_(now) {
    std::size_t position = 0;
    for (const auto& [id, worker] : owner.workers_) {
      add(*worker, position++);
    }
    std::ranges::make_heap(heap_, dearer);
  }

  /// @return the cheapest worker, or null. It is a candidate again only after
  ///   `return_taken`.
  worker_state* take() {
    if (heap_.empty()) {
      return nullptr;
    }
    std::ranges::pop_heap(heap_, dearer);
    taken_ = heap_.back();
    heap_.pop_back();
    return taken_.worker;
  }

  void return_taken() {
    if (add(*taken_.worker, taken_.position)) {
      std::ranges::push_heap(heap_, dearer);
    }
  }

 private:
  struct candidate {
    double cost = 0;
    /// Decides between equal costs, so that equal inputs give equal decisions.
    std::size_t position = 0;
    worker_state* worker = nullptr;
  };

  static bool dearer(const candidate& a, const candidate& b) {
    return std::tie(a.cost, a.position) > std::tie(b.cost, b.position);
  }

  bool add(worker_state& worker, std::size_t position) {
    if (!owner_.may_take(worker, step_, task_, now_)) {
      return false;
    }
    heap_.push_back({owner_.cost_of(worker, step_, task_), position, &worker});
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
  spent_ += start_units;
  auto& task = step.tasks[static_cast<std::size_t>(index)];
  add_run(step, index, worker, number, now);
  step.dirty = true;
  if (step.job->state == job_state::queued) {
    set_state(*step.job, job_state::running);
  }
  task_key key{step.key, index};
  note(absl::StrCat(
      "run_start task=", to_string(key), " run=", number,
      " worker=", worker.entry.info.id, " room_cpu=", worker.room().cpu_millis,
      " room_mib=", worker.room().memory_mib, " pace=", worker.pace.percent(),
      " failures=", task.failures));
  orders.push_back(start_order{worker.entry.info.id, std::move(key), number,
                               step.job->spec,
                               step.spec->checkpoints ? task.checkpoint : ""});
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
  // Racks by name, the unrestricted choice last.
  for (auto rack = racks.rbegin(); rack != racks.rend(); ++rack) {
    std::vector<worker_state*> chosen;
    for (std::size_t n = 0; n < step.tasks.size(); ++n) {
      auto* worker = choose_worker(step, step.tasks[n], now, *rack);
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

bool scheduler::unmet_demand::covers(const step_state& other, bool starved,
                                     double other_speed) const {
  bool alike = step->spec->best_effort == other.spec->best_effort &&
               (!step->spec->best_effort || step->image == other.image) &&
               step->job->policy.service == other.job->policy.service;
  return alike && !starved && least_speed <= other_speed &&
         model::fits_in(step->spec->required_resources,
                        other.spec->required_resources);
}

/// Logs that a step waits for the same reasons as another one.
void scheduler::explain_behind(step_state& step, const step_state& other,
                               time_point now) {
  if (now >= step.explained_at + explain_interval) {
    step.explained_at = now;
    note(absl::StrCat("waits step=", to_string(step.key),
                      " tasks=", step.waiting,
                      " needs_as_much_as=", to_string(other.key)));
  }
}

/// @return `unmet` if a task is left waiting that needs no more than the step's
///   other tasks, `cut` if the plan's work is spent.
scheduler::placement scheduler::place_step(step_state& step, time_point now,
                                           std::vector<order>& orders) {
  if (step.spec->gang) {
    place_gang(step, now, orders);
    return placement::looked_at;
  }
  std::optional<candidates> alike;
  for (std::size_t n = 0; n < step.tasks.size(); ++n) {
    auto& task = step.tasks[n];
    if (!task.waits() || now < task.not_before) {
      continue;
    }
    if (!may_spend()) {
      return placement::cut;
    }
    bool starved = step.spec->best_effort && is_starved(step, now);
    // One that has failed avoids its last worker and prefers proven ones.
    bool is_alike = task.failures == 0 && !starved;
    worker_state* worker = nullptr;
    if (is_alike) {
      if (!alike) {
        alike.emplace(*this, step, task, now);
      }
      worker = alike->take();
    } else {
      worker = choose_worker(step, task, now, "");
    }
    if (worker == nullptr) {
      explain_wait(step, task, now);
      if (task.failures == 0) {
        // The step's other tasks need the same.
        return placement::unmet;
      }
      continue;
    }
    start(step, static_cast<int>(n), *worker, task.last_run + 1, now, orders);
    if (is_alike) {
      alike->return_taken();
    } else {
      alike.reset();
    }
  }
  return placement::looked_at;
}

void scheduler::place(time_point now, std::vector<order>& orders) {
  if (!cut_) {
    ++round_;
  }
  cut_ = false;
  // What found no worker in this round: those that need as much or more are
  // passed over, since under load most steps wait and a look at all workers
  // for each takes longer than the round may.
  std::vector<unmet_demand> unmet;
  for (const auto& each : rank_steps(now)) {
    auto& step = *each.step;
    if (step.round == round_) {
      continue;
    }
    if (!may_spend()) {
      cut_ = true;
      return;
    }
    bool starved = step.spec->best_effort && is_starved(step, now);
    double speed = step.spec->best_effort ? least_speed(step, now) : 0;
    auto found = std::ranges::find_if(unmet, [&](const auto& demand) {
      return demand.covers(step, starved, speed);
    });
    if (found != unmet.end()) {
      step.round = round_;
      explain_behind(step, *found->step, now);
      continue;
    }
    auto result = place_step(step, now, orders);
    if (result == placement::cut) {
      cut_ = true;
      return;
    }
    step.round = round_;
    bool restricted =
        !step.spec->required_label.empty() || step.spec->per_worker_limit > 0;
    if (result == placement::unmet && !restricted) {
      unmet.push_back({&step, speed});
    }
  }
}

}  // namespace vanillaladder::batch
