#include "batch/scheduler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "batch/detail/scheduler_state.h"
#include "batch/job_memory.h"

namespace vanillaladder::batch {

using detail::run_phase;

namespace detail {

run_state* task_state::find_run(int number) {
  auto found = std::ranges::find(runs, number, &run_state::number);
  return found == runs.end() ? nullptr : &*found;
}

run_state& run_ref::run() const {
  return *step->tasks[static_cast<std::size_t>(index)].find_run(number);
}

std::span<const task_state> step_state::tasks_of_part(int part) const {
  auto first = static_cast<std::size_t>(part) * tasks_per_progress_record;
  if (first >= tasks.size()) {
    return {};
  }
  return std::span(tasks).subspan(
      first,
      std::min<std::size_t>(tasks_per_progress_record, tasks.size() - first));
}

bool step_state::has_progress(int part) const {
  return std::ranges::any_of(
      tasks_of_part(part), [](const auto& task) { return task.last_run > 0; });
}

}  // namespace detail

namespace {

/// @return whether the task has failed so often that its job fails.
bool has_failed_too_often(const detail::step_state& step,
                          const detail::task_state& task) {
  int limit = step.job->policy.max_attempts;
  return !step.spec->long_running && !task.done && limit > 0 &&
         task.failures >= limit;
}

}  // namespace

scheduler::scheduler(const scheduler_options& options, time_point takeover,
                     decision_log log)
    : options_(options), takeover_(takeover), log_(std::move(log)) {}

scheduler::~scheduler() = default;

void scheduler::log_event(std::string line) const {
  if (log_) {
    log_(std::move(line));
  }
}

void scheduler::set_queues(const std::map<std::string, queue_policy>& queues) {
  queues_ = queues;
  for (auto& [id, job] : jobs_) {
    if (auto found = queues_.find(job->spec->queue); found != queues_.end()) {
      job->policy = found->second;
    }
  }
  has_changes_ = true;
}

void scheduler::set_closed_domains(std::vector<model::domain_id> domains) {
  closed_domains_ = std::move(domains);
  has_changes_ = true;
}

scheduler::job_entry* scheduler::find_job(std::string_view id) {
  auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

scheduler::step_state* scheduler::find_step(const step_key& key) {
  auto* job = find_job(key.job);
  if (job == nullptr) {
    return nullptr;
  }
  for (auto& occurrence : job->occurrences) {
    if (occurrence.number == key.occurrence && key.step >= 0 &&
        key.step < static_cast<int>(occurrence.steps.size())) {
      return &occurrence.steps[static_cast<std::size_t>(key.step)];
    }
  }
  return nullptr;
}

scheduler::run_state* scheduler::find_run(const task_key& key, int number) {
  auto* step = find_step(key.step);
  if (step == nullptr || key.index < 0 || key.index >= step->spec->count) {
    return nullptr;
  }
  return step->tasks[static_cast<std::size_t>(key.index)].find_run(number);
}

void scheduler::add_job(std::shared_ptr<const job_spec> spec, time_point now,
                        unix_ms wall) {
  if (jobs_.contains(spec->id)) {
    return;
  }
  auto job = std::make_unique<job_entry>();
  job->spec = spec;
  auto queue = queues_.find(spec->queue);
  job->policy = queue == queues_.end() ? spec->policy : queue->second;
  auto age = milliseconds(std::max<unix_ms>(0, wall - spec->accepted_at));
  job->arrived_at = now - age;
  bool is_restored = plan_number_ == 0;
  job->known_since = is_restored ? job->arrived_at : now;
  set_deadlines(*job, job->arrived_at);
  observe_size(*job);
  job->surplus = shares_.is_surplus(spec->organisation, spec->accepted_at);
  job->occurrence_bytes = batch::occurrence_bytes(*spec);
  job->max_open = max_open_occurrences(*spec);
  jobs_.emplace(spec->id, std::move(job));
  has_changes_ = true;
}

void scheduler::set_deadlines(job_entry& job, time_point arrival) const {
  std::vector<milliseconds> run_times;
  job.task_works.clear();
  for (const auto& step : job.spec->steps) {
    auto run_time =
        run_time_model_.expected(job.spec->queue, step.estimated_run_time);
    run_times.push_back(run_time);
    job.task_works.push_back(
        static_cast<double>(run_time.count()) *
        static_cast<double>(step.required_resources.cpu_millis) / 1000);
  }
  job.remaining_chains = remaining_chains(*job.spec, run_times);
  job.deadlines = deadlines_of(
      job.policy, critical_path_length(*job.spec, run_times), arrival);
}

void scheduler::observe_size(const job_entry& job) {
  double work = 0;
  for (std::size_t n = 0; n < job.task_works.size(); ++n) {
    work += job.task_works[n] * job.spec->steps[n].count;
  }
  job_order_.observe(job.spec->queue, work,
                     std::chrono::duration_cast<milliseconds>(
                         job.deadlines.due_at - job.arrived_at));
}

bool scheduler::is_ready(const step_state& step) const {
  const auto& job = *step.job;
  if (job.cancelled || has_ended(job.state) || step.complete()) {
    return false;
  }
  for (const auto& occurrence : job.occurrences) {
    if (occurrence.number != step.key.occurrence) {
      continue;
    }
    return std::ranges::all_of(step.spec->depends_on, [&](int earlier) {
      return occurrence.steps[static_cast<std::size_t>(earlier)].complete();
    });
  }
  return false;
}

/// @return when the ready step could start first, also under an earlier leader.
time_point scheduler::ready_time(const step_state& step, time_point now) {
  const auto& job = *step.job;
  // An occurrence is opened when it falls due.
  if (job.spec->repeat_count > 0) {
    return now;
  }
  auto ready = job.known_since;
  const auto& steps = job.occurrences.front().steps;
  for (int earlier : step.spec->depends_on) {
    ready =
        std::max(ready, steps[static_cast<std::size_t>(earlier)].completed_at);
  }
  return std::min(ready, now);
}

/// Notes since when a ready step has had tasks that wait. A change of the
/// leader does not end a wait.
void scheduler::note_waiting(step_state& step, time_point now) {
  if (step.ready_since == time_point()) {
    step.ready_since = ready_time(step, now);
  }
  if (step.waiting_since) {
    return;
  }
  bool has_started = std::ranges::any_of(
      step.tasks, [](const auto& task) { return task.last_run > 0; });
  if (!has_started) {
    step.waiting_since = step.ready_since;
  } else {
    // Tasks that wait in a restored record have waited since it was written.
    auto restored = std::exchange(step.restored_record_at, time_point());
    step.waiting_since = restored == time_point() ? now : restored;
  }
}

void scheduler::set_state(job_entry& job, job_state state) {
  if (job.state == state || has_ended(job.state)) {
    return;
  }
  log_event(absl::StrCat("job_state id=", job.spec->id,
                         " from=", std::string(name_of(job.state)),
                         " to=", std::string(name_of(state))));
  job.state = state;
  job.state_dirty = true;
  has_changes_ = true;
}

/// Notes that a worker has confirmed a start of one of the job's tasks. A start
/// that is only planned may never reach its worker.
void scheduler::mark_begun(job_entry& job) {
  if (job.state == job_state::queued) {
    // Stored with the next commit; nothing waits for it.
    bool had_changes = has_changes_;
    set_state(job, job_state::running);
    has_changes_ = had_changes;
  }
}

void scheduler::restore_begun(const model::job_id& id) {
  auto* job = find_job(id);
  if (job != nullptr && job->state == job_state::queued) {
    job->state = job_state::running;
  }
}

void scheduler::cancel_job(const model::job_id& id, time_point now) {
  auto* job = find_job(id);
  if (job == nullptr || job->cancelled) {
    return;
  }
  job->cancelled = true;
  stop_all_runs(*job, now);
  set_state(*job, job_state::cancelled);
}

void scheduler::end_job(const model::job_id& id, job_state state,
                        time_point now) {
  auto* job = find_job(id);
  if (job == nullptr || has_ended(job->state)) {
    return;
  }
  job->state = state;
  job->end_stored = true;
  stop_all_runs(*job, now);
  has_changes_ = true;
}

void scheduler::stop_all_runs(job_entry& job, time_point now) {
  for (auto& occurrence : job.occurrences) {
    for (auto& step : occurrence.steps) {
      for (std::size_t n = 0; n < step.tasks.size(); ++n) {
        for (auto& run : step.tasks[n].runs) {
          order_stop(step, static_cast<int>(n), run, "job_ended", now);
        }
      }
    }
  }
}

void scheduler::inherit_lost_workers(std::span<const lost_worker> lost) {
  for (const auto& worker : lost) {
    inherited_lost_workers_.emplace(worker.id, worker);
  }
}

bool scheduler::restore_progress(const step_key& key,
                                 const std::vector<task_record>& tasks,
                                 time_point now, int part,
                                 milliseconds since_stored) {
  auto* job = find_job(key.job);
  if (job == nullptr) {
    return false;
  }
  if (job->completed.contains(key.occurrence) ||
      key.occurrence >= job->total_occurrences()) {
    return false;
  }
  // Its runs may go on, so that it is opened however much memory is used.
  if (!job->is_open(key.occurrence)) {
    open_occurrence(*job, key.occurrence);
  }
  auto* step = find_step(key);
  if (step == nullptr) {
    return false;
  }
  for (const auto& record : tasks) {
    if (record.index < 0 || record.index >= step->spec->count) {
      return false;
    }
    auto& task = step->tasks[static_cast<std::size_t>(record.index)];
    if (progress_part_of(record.index) != part) {
      // Of a version that stored all tasks in one record, which is about to be
      // replaced.
      step->mark_dirty(part);
      step->mark_dirty(record.index);
    }
    if (record.done || record.failures > 0) {
      mark_begun(*job);
    }
    task.last_run = record.last_run;
    task.failures = record.failures;
    task.checkpoint = record.checkpoint;
    if (record.done) {
      complete_task(*step, record.index, now);
    }
    for (const auto& run : record.runs) {
      auto& worker = find_or_add_worker(run.worker);
      add_run(*step, record.index, worker, run.number, now);
      auto& added = task.runs.back();
      added.incarnation = run.incarnation;
      added.phase = run_phase::running;
      added.is_listed = run.is_settled;
      added.is_settled = run.is_settled;
      // Otherwise, an attempt of an earlier leader may be without an answer.
      added.has_unanswered_start = !run.is_settled;
      added.answered_at = takeover_;
      added.is_answered = true;
      // Unknown, since the previous leader may have changed the pace.
      added.ordered_percent = -1;
    }
  }
  if (step->spec->gang &&
      std::ranges::any_of(step->tasks, &detail::task_state::done)) {
    complete_gang(*step, now);
  }
  step->restored_record_at =
      std::max(step->restored_record_at, now - since_stored);
  if (step->complete()) {
    step->completed_at = step->restored_record_at;
  }
  // The previous leader may have stored the last failure of a task, but not yet
  // that its job has failed.
  if (std::ranges::any_of(step->tasks, [&](const auto& task) {
        return has_failed_too_often(*step, task);
      })) {
    set_state(*job, job_state::failed);
  }
  complete_job_if_done(*job);
  if (has_ended(job->state)) {
    stop_all_runs(*job, now);
  } else {
    close_complete_occurrences(*job);
  }
  return true;
}

void scheduler::remove_progress(const completed_key& key) {
  progress_removals_.push_back({to_string(key), ""});
  has_changes_ = true;
}

void scheduler::remove_progress(const progress_key& key) {
  progress_removals_.push_back({to_string(key), ""});
  has_changes_ = true;
}

void scheduler::remove_duplicate_job(const model::job_id& id) {
  if (jobs_.contains(id)) {
    return;
  }
  job_removals_.push_back(
      {to_string(job_record_key{record_kind::job, id}), ""});
  has_changes_ = true;
}

void scheduler::remove_job_state(const model::job_id& id) {
  for (auto kind : {record_kind::cancellation, record_kind::state}) {
    job_removals_.push_back({to_string(job_record_key{kind, id}), ""});
  }
  has_changes_ = true;
}

/// Completes the job once all its occurrences are complete.
void scheduler::complete_job_if_done(job_entry& job) {
  if (has_ended(job.state)) {
    return;
  }
  int complete = job.completed.size();
  for (const auto& occurrence : job.occurrences) {
    complete += occurrence.complete() ? 1 : 0;
  }
  if (complete == job.total_occurrences()) {
    set_state(job, job_state::completed);
  }
}

void scheduler::add_run(step_state& step, int index, worker_state& worker,
                        int number, time_point now) {
  auto& task = step.tasks[static_cast<std::size_t>(index)];
  if (task.is_waiting()) {
    --step.waiting_tasks;
  }
  run_state run;
  run.number = number;
  run.worker = &worker;
  run.incarnation = worker.incarnation;
  run.ordered_at = now;
  if (worker.lease.clock_known()) {
    run.progressed_at = worker.lease.clock_at(now);
  }
  run.pace_changed_at = now;
  run.headroom = headroom_model::initial_estimate(now);
  task.runs.push_back(run);
  task.last_run = std::max(task.last_run, number);
  worker.runs.push_back({&step, index, number});
  auto need = step.spec->required_resources;
  shares_.add_run(step.job->spec->organisation, need);
  if (step.spec->best_effort) {
    worker.best_effort_cpu += need.cpu_millis;
    need.cpu_millis = 0;
  }
  if (step.spec->long_running) {
    worker.serving_cpu += need.cpu_millis;
  }
  worker.reserved += need;
}

void scheduler::remove_run(step_state& step, int index, int number) {
  auto& task = step.tasks[static_cast<std::size_t>(index)];
  auto* run = task.find_run(number);
  if (run == nullptr) {
    return;
  }
  auto& worker = *run->worker;
  auto need = step.spec->required_resources;
  shares_.remove_run(step.job->spec->organisation, need);
  if (step.spec->best_effort) {
    worker.best_effort_cpu -= need.cpu_millis;
    need.cpu_millis = 0;
  }
  if (step.spec->long_running) {
    worker.serving_cpu -= need.cpu_millis;
  }
  worker.reserved -= need;
  std::erase(worker.runs, detail::run_ref{&step, index, number});
  std::erase_if(task.runs, [number](const run_state& each) {
    return each.number == number;
  });
  if (task.is_waiting()) {
    ++step.waiting_tasks;
    step.rejoin_round();
  }
  step.mark_dirty(index);
  has_changes_ = true;
}

void scheduler::end_run(step_state& step, int index, int number,
                        end_reason reason, std::string_view checkpoint,
                        time_point now) {
  auto& task = step.tasks[static_cast<std::size_t>(index)];
  auto* run = task.find_run(number);
  if (run == nullptr) {
    return;
  }
  auto& worker = *run->worker;
  bool has_run = reason == end_reason::done || reason == end_reason::failed;
  if (has_run) {
    mark_begun(*step.job);
  }
  auto elapsed =
      std::chrono::duration_cast<milliseconds>(now - run->ordered_at);
  log_event(
      absl::StrCat("run_ended task=", to_string(task_key{step.key, index}),
                   " run=", number, " worker=", worker.entry.info.id,
                   " reason=", std::string(name_of(reason)),
                   " after_ms=", elapsed.count(), " failures=", task.failures));
  if (reason == end_reason::done) {
    learn_run_time(step, *run, now);
  }
  if (!checkpoint.empty()) {
    task.checkpoint = std::string(checkpoint);
  }
  remove_run(step, index, number);
  if (reason == end_reason::given_up && !step.spec->long_running) {
    task.given_up_runs.push_back(number);
  }
  record_outcome(step, index, worker, reason, now);
}

/// Applies what an end tells of its task.
void scheduler::record_outcome(step_state& step, int index,
                               worker_state& worker, end_reason reason,
                               time_point now) {
  if (reason == end_reason::done && !step.spec->long_running) {
    worker.trust.on_task_done();
    complete_task(step, index, now);
    if (step.spec->gang) {
      complete_gang(step, now);
    }
    complete_job_if_done(*step.job);
  } else if (reason == end_reason::failed) {
    worker.trust.on_task_failed(step.key.job, now);
    record_task_failure(step, index, worker, now);
    if (has_ended(step.job->state)) {
      stop_all_runs(*step.job, now);
    }
  }
}

/// Applies the end of a run that is no longer known. Its worker may forget the
/// end, so that what it tells must be stored.
void scheduler::apply_late_end(worker_state& worker, step_state& step,
                               const reported_end& end, time_point now) {
  auto& task = step.tasks[static_cast<std::size_t>(end.task.index)];
  log_event(absl::StrCat("end_unknown task=", to_string(end.task),
                         " run=", end.run, " worker=", worker.entry.info.id,
                         " reason=", std::string(name_of(end.reason)),
                         " number=", end.number, " last_run=", task.last_run,
                         " task_done=", task.done));
  bool was_given_up = std::erase(task.given_up_runs, end.run) > 0;
  // A failure counts once: an earlier leader may have stored it. Being done
  // does not depend on how often it is reported.
  bool is_outcome = end.reason == end_reason::done
                        ? !task.done && end.run <= task.last_run
                        : end.reason == end_reason::failed && was_given_up;
  if (is_outcome) {
    mark_begun(*step.job);
    step.mark_dirty(end.task.index);
    record_outcome(step, end.task.index, worker, end.reason, now);
  }
}

/// Marks a task as done and stops its remaining runs.
void scheduler::complete_task(step_state& step, int index, time_point now) {
  auto& task = step.tasks[static_cast<std::size_t>(index)];
  if (!task.done) {
    if (task.is_waiting()) {
      --step.waiting_tasks;
    }
    task.done = true;
    ++step.completed_tasks;
    if (step.complete()) {
      step.completed_at = now;
    }
  }
  for (auto& run : task.runs) {
    order_stop(step, index, run, "task_done", now);
  }
}

/// Marks all members of a gang as done. They end together, so the end of one
/// stands for those that are lost with their workers.
void scheduler::complete_gang(step_state& step, time_point now) {
  for (int n = 0; n < step.spec->count; ++n) {
    if (!step.tasks[static_cast<std::size_t>(n)].done) {
      log_event(absl::StrCat(
          "gang_member_done task=", to_string(task_key{step.key, n}),
          " by=another_member"));
      step.mark_dirty(n);
    }
    complete_task(step, n, now);
  }
}

/// Learns from a run that did the whole work of its task at full speed.
void scheduler::learn_run_time(const step_state& step, const run_state& run,
                               time_point now) {
  bool whole_work = run.number == 1 && run.ordered_percent == 100 &&
                    run.previous_percent == 100;
  if (whole_work && !step.spec->long_running && !step.spec->gang) {
    run_time_model_.observe(
        step.job->spec->queue, step.spec->estimated_run_time,
        std::chrono::duration_cast<milliseconds>(now - run.ordered_at));
  }
}

void scheduler::record_task_failure(step_state& step, int index,
                                    const worker_state& worker,
                                    time_point now) {
  auto& task = step.tasks[static_cast<std::size_t>(index)];
  ++task.failures;
  task.last_failed_worker = worker.entry.info.id;
  task.last_failed_at = now;
  auto& job = *step.job;
  if (has_failed_too_often(step, task)) {
    log_event(absl::StrCat("job_hopeless id=", step.key.job,
                           " task=", to_string(task_key{step.key, index}),
                           " failures=", task.failures,
                           " limit=", job.policy.max_attempts));
    set_state(job, job_state::failed);
  }
}

void scheduler::order_stop(step_state& step, int index, run_state& run,
                           std::string_view why, time_point now) {
  if (run.phase == run_phase::stopping) {
    return;
  }
  run.phase = run_phase::stopping;
  run.is_answered = false;
  run.ordered_at = now;
  task_key key{step.key, index};
  log_event(absl::StrCat("run_stop task=", to_string(key), " run=", run.number,
                         " worker=", run.worker->entry.info.id,
                         " why=", std::string(why)));
  orders_.push_back(
      stop_order{run.worker->entry.info.id, std::move(key), run.number});
}

std::vector<order> scheduler::take_orders() {
  return std::exchange(orders_, {});
}

namespace {

std::vector<task_record> records_of(const detail::step_state& step, int part) {
  std::vector<task_record> records;
  int index = part * tasks_per_progress_record;
  for (const auto& task : step.tasks_of_part(part)) {
    task_record record;
    record.index = index++;
    if (task.last_run == 0) {
      continue;
    }
    record.done = task.done;
    record.last_run = task.last_run;
    record.failures = task.failures;
    record.checkpoint = task.done ? "" : task.checkpoint;
    for (const auto& run : task.runs) {
      record.runs.push_back({run.number, run.worker->entry.info.id,
                             run.incarnation, run.is_settled});
    }
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace

void scheduler::purge_ended(commit& out) {
  std::vector<std::string> purged;
  for (auto& [id, job] : jobs_) {
    if (!job->end_stored || job->has_runs()) {
      continue;
    }
    for (const auto& occurrence : job->occurrences) {
      for (const auto& step : occurrence.steps) {
        step.append_progress_removals(out.progress);
      }
    }
    if (!job->completed.empty()) {
      out.progress.push_back({to_string(completed_key{id}), ""});
    }
    state_bytes_ -= job->occurrences.size() * job->occurrence_bytes;
    out.jobs.push_back({to_string(job_record_key{record_kind::job, id}), ""});
    purged.push_back(id);
  }
  for (const auto& id : purged) {
    jobs_.erase(id);
  }
}

commit scheduler::plan(time_point now, unix_ms wall, int units,
                       std::size_t starts) {
  commit out;
  out.plan = ++plan_number_;
  has_changes_ = false;
  unit_limit_ = units;
  units_spent_ = 0;
  start_limit_ = starts;
  starts_made_ = 0;
  expire_leases(now);
  forget_departed_workers(now);
  update_utilisation();
  for (auto& [id, job] : jobs_) {
    if (!has_ended(job->state)) {
      close_complete_occurrences(*job);
    }
  }
  open_due_occurrences(now, wall);
  place(now, out.orders);
  has_changes_ = has_changes_ || is_budget_exhausted();
  for (auto& [id, job] : jobs_) {
    if (std::exchange(job->completed_dirty, false)) {
      out.progress.push_back(
          {to_string(completed_key{id}), to_string(job->completed)});
    }
    for (auto& occurrence : job->occurrences) {
      for (auto& step : occurrence.steps) {
        // Part 0 last: it may replace a record that holds all tasks, and a
        // commit may be stored in several calls.
        for (auto part = step.dirty_parts.rbegin();
             part != step.dirty_parts.rend(); ++part) {
          out.progress.push_back({to_string(progress_key{step.key, *part}),
                                  encode(records_of(step, *part), wall)});
        }
        step.dirty_parts.clear();
      }
    }
    if (job->state_dirty) {
      job->state_dirty = false;
      if (has_ended(job->state)) {
        job->end_plan = out.plan;
      }
      out.jobs.push_back(
          {to_string(job_record_key{record_kind::state, id}),
           encode(job_status{job->state, wall, job->spec->queue})});
    }
  }
  purge_ended(out);
  out.jobs.insert(out.jobs.end(), job_removals_.begin(), job_removals_.end());
  job_removals_.clear();
  out.progress.insert(out.progress.end(), progress_removals_.begin(),
                      progress_removals_.end());
  progress_removals_.clear();
  for (auto& [id, worker] : workers_) {
    worker->ends_committing = worker->ends_applied;
  }
  return out;
}

void scheduler::on_progress_committed() {
  for (auto& [id, worker] : workers_) {
    worker->ends_stored = worker->ends_committing;
  }
}

void scheduler::on_jobs_committed(std::int64_t plan) {
  for (auto& [id, job] : jobs_) {
    if (job->end_plan != 0 && job->end_plan <= plan && !job->end_stored) {
      job->end_stored = true;
      has_changes_ = true;
    }
  }
}

std::size_t scheduler::waiting_tasks() const {
  std::size_t count = 0;
  for (const auto& [id, job] : jobs_) {
    for (const auto& occurrence : job->occurrences) {
      for (const auto& step : occurrence.steps) {
        count += static_cast<std::size_t>(step.waiting_tasks);
      }
    }
  }
  return count;
}

}  // namespace vanillaladder::batch
