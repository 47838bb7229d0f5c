#include <absl/strings/str_cat.h>

#include <algorithm>

#include "batch/detail/scheduler_state.h"
#include "batch/scheduler.h"

namespace vanillaladder::batch {

using detail::run_phase;

namespace {

/// Speaks against a run that a leaving worker would not finish.
constexpr milliseconds leave_margin{300};
/// A run without progress for so long stands still. Sound runs gain a hundredth
/// of their work, at most 5 s at the users' sites, every 50 ms.
constexpr milliseconds stall_limit{2500};
/// Pause before a task whose start was refused is placed again.
constexpr milliseconds refused_pause{200};

}  // namespace

std::string_view name_of(end_reason reason) {
  switch (reason) {
    case end_reason::done:
      return "done";
    case end_reason::failed:
      return "failed";
    case end_reason::stopped:
      return "stopped";
    case end_reason::lease_expired:
      return "lease_expired";
    case end_reason::gang_broken:
      return "gang_broken";
    case end_reason::gang_incomplete:
      return "gang_incomplete";
  }
  return "unknown";
}

scheduler::worker_state* scheduler::find_worker(std::string_view id) {
  auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : found->second.get();
}

const scheduler::worker_state* scheduler::find_worker(
    std::string_view id) const {
  auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : found->second.get();
}

void scheduler::update_worker(const worker_entry& entry, time_point now) {
  auto& worker = workers_[entry.info.id];
  if (worker == nullptr) {
    worker = std::make_unique<worker_state>();
    worker->lease = lease_bound(takeover_ + options_.previous_leader_lease);
  }
  bool was_listed = worker->listed;
  bool was_leaving = worker->listed &&
                     worker->entry.info.state == model::instance_state::leaving;
  bool leaving = entry.info.state == model::instance_state::leaving;
  if (!worker->listed || was_leaving != leaving) {
    note(absl::StrCat("worker_listed id=", entry.info.id,
                      " address=", entry.info.address, ":", entry.info.port,
                      " domain=", entry.info.domain, " leaving=", leaving,
                      " remaining_ms=", entry.remaining_lifetime.count(),
                      " life=", entry.incarnation));
  }
  worker->entry = entry;
  worker->listed = true;
  if (!was_listed) {
    replace_at_address(*worker, now);
  }
  if (leaving && !was_leaving) {
    leave_worker(*worker, now);
  }
  news_ = true;
}

/// A new worker at an address proves that the one before it has gone.
void scheduler::replace_at_address(const worker_state& successor,
                                   time_point now) {
  const auto& info = successor.entry.info;
  for (auto& [id, worker] : workers_) {
    const auto& other = worker->entry.info;
    if (worker.get() != &successor && other.address == info.address &&
        other.port == info.port &&
        worker->entry.incarnation < successor.entry.incarnation &&
        !worker->runs.empty()) {
      lose_runs(*worker, "address_reused", now);
    }
  }
}

void scheduler::remove_worker(const model::worker_id& id) {
  auto* worker = find_worker(id);
  if (worker == nullptr || !worker->listed) {
    return;
  }
  note(absl::StrCat("worker_unlisted id=", id, " runs=", worker->runs.size()));
  worker->listed = false;
  news_ = true;
}

/// Moves what a leaving worker would not finish.
void scheduler::leave_worker(worker_state& worker, time_point now) {
  auto runs = worker.runs;
  for (const auto& ref : runs) {
    auto* run = &ref.run();
    const auto& spec = *ref.step->spec;
    auto left = spec.estimated_run_time - (now - run->since);
    bool finishes = !spec.long_running &&
                    left + leave_margin < worker.entry.remaining_lifetime;
    if (!finishes && run->phase == run_phase::running) {
      order_stop(*ref.step, ref.index, *run, "worker_leaves", now);
    }
  }
}

void scheduler::on_unreachable(const model::worker_id& id, time_point now) {
  auto* worker = find_worker(id);
  if (worker == nullptr || !worker->reachable) {
    return;
  }
  auto left =
      std::chrono::duration_cast<milliseconds>(worker->lease.over() - now);
  note(absl::StrCat("worker_unreachable id=", id, " runs=", worker->runs.size(),
                    " lease_left_ms=", left.count()));
  worker->reachable = false;
}

void scheduler::on_lease_ordered(const model::worker_id& id,
                                 milliseconds deadline) {
  if (auto* worker = find_worker(id)) {
    worker->lease.extend(deadline);
  }
}

const lease_bound* scheduler::lease_of(const model::worker_id& id) const {
  const auto* worker = find_worker(id);
  return worker == nullptr ? nullptr : &worker->lease;
}

void scheduler::on_report(const model::worker_id& id,
                          const worker_report& report) {
  auto* worker = find_worker(id);
  if (worker == nullptr || report.incarnation < worker->incarnation) {
    return;
  }
  if (report.incarnation != worker->incarnation) {
    if (worker->incarnation != 0) {
      note(absl::StrCat(
          "worker_restarted id=", id, " life=", report.incarnation,
          " before=", worker->incarnation, " runs=", worker->runs.size()));
    }
    worker->incarnation = report.incarnation;
    worker->ends_applied = 0;
    worker->ends_committing = 0;
    worker->ends_stored = 0;
    worker->lease = lease_bound();
  }
  if (!worker->reachable) {
    note(absl::StrCat("worker_reachable id=", id, " running=",
                      report.running.size(), " ended=", report.ended.size()));
    worker->reachable = true;
    news_ = true;
  }
  worker->lease.observe_clock(report.clock, report.received_at,
                              options_.longest_lease);
  for (const auto& end : report.ended) {
    apply_end(*worker, end, report.received_at);
  }
  apply_running(*worker, report);
  relieve_serving(*worker, report.received_at);
}

void scheduler::apply_end(worker_state& worker, const reported_end& end,
                          time_point now) {
  if (end.number <= worker.ends_applied) {
    return;
  }
  worker.ends_applied = end.number;
  news_ = true;
  auto* step = find_step(end.task.step);
  if (step == nullptr || end.task.index < 0 ||
      end.task.index >= step->spec->count) {
    return;
  }
  auto& task = step->tasks[static_cast<std::size_t>(end.task.index)];
  auto* run = task.find_run(end.run);
  if (run == nullptr || run->worker != &worker) {
    return;
  }
  end_run(*step, end.task.index, end.run, end.reason, end.checkpoint, now);
}

void scheduler::apply_running(worker_state& worker,
                              const worker_report& report) {
  std::vector<detail::run_ref> seen;
  for (const auto& row : report.running) {
    auto* step = find_step(row.task.step);
    run_state* run = nullptr;
    if (step != nullptr && row.task.index >= 0 &&
        row.task.index < step->spec->count) {
      auto& task = step->tasks[static_cast<std::size_t>(row.task.index)];
      run = task.find_run(row.number);
      if (run != nullptr && run->worker == &worker && !row.checkpoint.empty()) {
        task.checkpoint = row.checkpoint;
      }
    }
    if (run == nullptr || run->worker != &worker) {
      note(absl::StrCat("run_unknown task=", to_string(row.task),
                        " run=", row.number, " worker=", worker.entry.info.id));
      orders_.push_back(stop_order{worker.entry.info.id, row.task, row.number});
      continue;
    }
    run->incarnation = worker.incarnation;
    watch_progress(*step, row.task.index, *run, row.progress,
                   report.received_at);
    run->measurement = row.measurement;
    if (run->phase == run_phase::starting) {
      run->phase = run_phase::running;
      run->is_answered = true;
      run->answered = report.received_at;
    }
    seen.push_back({step, row.task.index, row.number});
  }
  auto refs = worker.runs;
  for (const auto& ref : refs) {
    auto* run = &ref.run();
    bool shown = std::ranges::find(seen, ref) != seen.end();
    if (!shown && run->is_answered && run->answered < report.requested_at) {
      end_run(*ref.step, ref.index, ref.number, end_reason::lease_expired, "",
              report.received_at);
    }
  }
}

/// Stops a run that stands still on a worker that answers.
void scheduler::watch_progress(step_state& step, int index, run_state& run,
                               int progress, time_point now) {
  bool may_stand = step.spec->long_running || run.phase != run_phase::running ||
                   run.ordered_percent < 100;
  if (may_stand || progress > run.progress) {
    run.progressed_at = now;
  }
  run.progress = progress;
  if (now - run.progressed_at > stall_limit) {
    run.worker->trust.on_refused(now);
    order_stop(step, index, run, "stands_still", now);
  }
}

void scheduler::on_pace_undelivered(const task_key& task, int run_number) {
  if (auto* run = find_run(task, run_number)) {
    // No pace that could be ordered, so that the next one differs.
    run->ordered_percent = -1;
  }
}

void scheduler::on_start_result(const model::worker_id& id,
                                const task_key& task, int run_number,
                                start_outcome outcome, time_point now) {
  auto* worker = find_worker(id);
  auto* step = find_step(task.step);
  auto* run = find_run(task, run_number);
  if (worker == nullptr || run == nullptr || run->worker != worker ||
      run->phase != run_phase::starting) {
    return;
  }
  switch (outcome) {
    case start_outcome::confirmed:
      run->phase = run_phase::running;
      run->is_answered = true;
      run->answered = now;
      if (step->spec->best_effort) {
        // It works at full speed from its start.
        order_pace(*worker, worker->pace.percent(), now);
      }
      return;
    case start_outcome::unknown:
      order_stop(*step, task.index, *run, "start_unanswered", now);
      return;
    case start_outcome::unhealthy:
      worker->trust.on_refused(now);
      break;
    case start_outcome::no_room:
    case start_outcome::not_run:
      break;
  }
  note(absl::StrCat("start_refused task=", to_string(task), " run=", run_number,
                    " worker=", id, " outcome=", static_cast<int>(outcome)));
  remove_run(*step, task.index, run_number);
  step->tasks[static_cast<std::size_t>(task.index)].not_before =
      now + refused_pause;
}

void scheduler::on_stop_answered(const model::worker_id& id,
                                 const task_key& task, int run_number,
                                 time_point now) {
  auto* run = find_run(task, run_number);
  if (run == nullptr || run->worker->entry.info.id != id ||
      run->phase != run_phase::stopping) {
    return;
  }
  run->is_answered = true;
  run->answered = now;
}

void scheduler::lose_runs(worker_state& worker, std::string_view why,
                          time_point now) {
  note(absl::StrCat("worker_lost id=", worker.entry.info.id,
                    " runs=", worker.runs.size(), " why=", std::string(why)));
  auto refs = worker.runs;
  for (const auto& ref : refs) {
    end_run(*ref.step, ref.index, ref.number, end_reason::lease_expired, "",
            now);
  }
}

void scheduler::expire_leases(time_point now) {
  for (auto& [id, worker] : workers_) {
    if (!worker->runs.empty() && now > worker->lease.over()) {
      lose_runs(*worker, "lease_over", now);
      worker->reachable = false;
    }
  }
}

std::int64_t scheduler::last_stored_end(const model::worker_id& id) const {
  const auto* worker = find_worker(id);
  return worker == nullptr ? 0 : worker->ends_stored;
}

bool scheduler::needs_contact(const model::worker_id& id) const {
  const auto* worker = find_worker(id);
  return worker != nullptr && (worker->listed || !worker->runs.empty());
}

}  // namespace vanillaladder::batch
