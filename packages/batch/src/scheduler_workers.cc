#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "batch/detail/scheduler_state.h"
#include "batch/scheduler.h"

namespace vanillaladder::batch {

using detail::run_phase;

namespace {

/// Safety margin for a run to finish before its leaving worker terminates.
constexpr milliseconds drain_margin{300};
/// A run without progress for this time is stalled, unless a percent of its
/// work, the smallest progress that is reported, may take as long.
constexpr milliseconds stall_timeout{2500};
/// How many times as long as estimated a percent of the work may take.
constexpr int stall_factor = 5;
/// How long the history of a worker that left the list is kept.
constexpr milliseconds departed_worker_retention{30000};
/// After this time, a run that is still listed is stopped again. Longer than a
/// stop takes.
constexpr milliseconds stop_repeat_interval{2000};
/// Difference of the wall clocks of two instances.
constexpr milliseconds max_clock_difference{5000};
/// Delay before a task whose start was refused is placed again.
constexpr milliseconds refusal_retry_delay{200};

/// That a run is settled is stored at once if it takes about as long as a
/// successor would otherwise wait for it.
constexpr milliseconds min_settled_run_time{10000};

milliseconds since(time_point earlier, time_point now) {
  return std::chrono::duration_cast<milliseconds>(now - earlier);
}

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
    case end_reason::not_listed:
      return "not_listed";
    case end_reason::given_up:
      return "given_up";
    case end_reason::gang_broken:
      return "gang_broken";
    case end_reason::gang_incomplete:
      return "gang_incomplete";
  }
  return "unknown";
}

scheduler::worker_state& scheduler::find_or_add_worker(
    const model::worker_id& id) {
  auto& worker = workers_[id];
  if (worker == nullptr) {
    worker = std::make_unique<worker_state>();
    worker->entry.info.id = id;
    auto known = inherited_lost_workers_.find(id);
    if (known == inherited_lost_workers_.end()) {
      worker->lease = lease_bound(takeover_ + options_.previous_leader_lease);
      worker->lease.extend_unanswered(takeover_ + options_.late_call_limit);
    } else {
      inherit_lost_worker(*worker, known->second);
    }
  }
  return *worker;
}

/// Takes over the bounds on the leases of a worker that gets no orders since an
/// earlier leader has lost contact with it.
void scheduler::inherit_lost_worker(worker_state& worker,
                                    const lost_worker& lost) const {
  worker.contact_lost = true;
  worker.lease = lease_bound(lost.lease_ends_at);
  if (lost.later_lease_ends_at) {
    worker.lease.inherit_bound_after_restart(*lost.later_lease_ends_at,
                                             options_.longest_lease);
  } else if (lost.lease_ends_at <= takeover_ + options_.previous_leader_lease) {
    // A bound beyond that of a usual lease counts on a later process already.
    auto last_order =
        std::min(takeover_, lost.lease_ends_at - options_.given_lease);
    worker.lease.extend_unanswered(last_order + options_.late_call_limit);
  }
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
  auto* worker = &find_or_add_worker(entry.info.id);
  bool was_leaving = worker->listed &&
                     worker->entry.info.state == model::instance_state::leaving;
  bool leaving = entry.info.state == model::instance_state::leaving;
  if (!worker->listed || was_leaving != leaving) {
    log_event(absl::StrCat("worker_listed id=", entry.info.id, " address=",
                           entry.info.address, ":", entry.info.port,
                           " domain=", entry.info.domain, " leaving=", leaving,
                           " remaining_ms=", entry.remaining_lifetime.count(),
                           " life=", entry.incarnation));
  }
  worker->entry = entry;
  worker->entry_changed_at = now;
  worker->listed = true;
  bool later_than_reported = worker->incarnation != 0 &&
                             entry.incarnation > worker->incarnation &&
                             worker->lease.clock_known();
  if (later_than_reported ||
      is_started_after_runs(*worker, entry.incarnation)) {
    log_event(absl::StrCat("worker_listed_restarted id=", entry.info.id,
                           " life=", entry.incarnation,
                           " before=", worker->incarnation));
    expect_restart(*worker, entry.incarnation, now);
  }
  if (leaving && !was_leaving) {
    drain_worker(*worker, now);
  }
  has_changes_ = true;
}

/// Stops orders by the clock of the worker's earlier process, and counts on
/// what a later one may have got.
void scheduler::expect_restart(worker_state& worker, unix_ms incarnation,
                               time_point now) const {
  worker.expected_incarnation = incarnation;
  worker.lease.expect_restart(options_.longest_lease);
  worker.reachable = false;
  worker.contact_lost = true;
  worker.restart_listed_at = now;
}

/// @return whether a process of a worker that has not reported to this leader
/// is
///   later than one that an earlier leader has ordered to start runs, and is
///   not expected yet.
bool scheduler::is_started_after_runs(const worker_state& worker,
                                      unix_ms incarnation) {
  return worker.incarnation == 0 && incarnation > worker.expected_incarnation &&
         std::ranges::any_of(worker.runs, [&](const auto& ref) {
           auto meant_for = ref.run().incarnation;
           return meant_for != 0 && meant_for < incarnation;
         });
}

void scheduler::on_earlier_entry(const model::worker_id& id,
                                 unix_ms incarnation, time_point now) {
  auto* worker = find_worker(id);
  if (worker == nullptr || !is_started_after_runs(*worker, incarnation)) {
    return;
  }
  log_event(absl::StrCat("worker_was_listed_restarted id=", id,
                         " life=", incarnation));
  expect_restart(*worker, incarnation, now);
}

/// @return whether a later process may still start the run. One that was listed
///   ends with the process that listed it, unless an earlier attempt to start
///   it may still take effect.
bool scheduler::may_be_started_later(const run_state& run) {
  return !run.is_listed || run.has_unanswered_start;
}

/// @return when no lease that covers the run is valid any more.
time_point scheduler::lease_end_of(const worker_state& worker,
                                   const run_state& run) {
  bool may_run_later = run.incarnation != worker.expected_incarnation &&
                       may_be_started_later(run);
  return may_run_later ? worker.lease.later_process_expires_at()
                       : worker.lease.expires_at();
}

bool scheduler::is_other_process(const model::worker_id& id,
                                 unix_ms incarnation) const {
  const auto* worker = find_worker(id);
  return worker != nullptr && worker->incarnation != 0 &&
         worker->incarnation != incarnation;
}

void scheduler::on_restart_noticed(const model::worker_id& id,
                                   unix_ms incarnation, time_point now) {
  auto* worker = find_worker(id);
  if (worker == nullptr || !worker->lease.clock_known()) {
    return;
  }
  log_event(absl::StrCat("worker_answered_restarted id=", id, " life=",
                         incarnation, " before=", worker->incarnation));
  expect_restart(*worker, incarnation, now);
}

/// @return whether `successor` has started later than `worker` at its address
///   and has answered there under its own id. An entry alone proves nothing:
///   another writer may name any address.
bool scheduler::replaces(const worker_state& successor,
                         const worker_state& worker) {
  const auto& info = worker.entry.info;
  const auto& other = successor.entry.info;
  return successor.reachable && !worker.reachable && other.port == info.port &&
         other.address == info.address &&
         successor.incarnation >
             std::max(worker.incarnation, worker.entry.incarnation) &&
         successor.reported_at >= worker.reported_at;
}

/// Ends the runs of a worker whose address belongs to a later one.
void scheduler::end_runs_of_replaced(worker_state& worker, time_point now) {
  if (!worker.runs.empty()) {
    auto lost = worker.runs;
    end_lost_runs(worker, lost, "address_reused", now);
  }
}

void scheduler::remove_worker(const model::worker_id& id, time_point now) {
  auto* worker = find_worker(id);
  if (worker == nullptr || !worker->listed) {
    return;
  }
  log_event(
      absl::StrCat("worker_unlisted id=", id, " runs=", worker->runs.size()));
  worker->listed = false;
  worker->unlisted_at = now;
  has_changes_ = true;
}

/// Removes workers without runs that left the list long ago. An entry may lapse
/// for a few seconds while its worker lives on.
void scheduler::forget_departed_workers(time_point now) {
  std::erase_if(workers_, [now](const auto& each) {
    const auto& worker = *each.second;
    return !worker.listed && worker.runs.empty() &&
           now - worker.unlisted_at > departed_worker_retention;
  });
}

/// Stops the runs that a leaving worker would not finish, so that they are
/// placed elsewhere.
void scheduler::drain_worker(worker_state& worker, time_point now) {
  auto runs = worker.runs;
  for (const auto& ref : runs) {
    auto* run = &ref.run();
    const auto& spec = *ref.step->spec;
    auto remaining = spec.estimated_run_time - (now - run->ordered_at);
    bool finishes = !spec.long_running &&
                    remaining + drain_margin < worker.entry.remaining_lifetime;
    if (!finishes && run->phase == run_phase::running) {
      order_stop(*ref.step, ref.index, *run, "worker_leaves", now);
    }
  }
}

void scheduler::on_unreachable(const model::worker_id& id, time_point now) {
  auto* worker = find_worker(id);
  if (worker == nullptr) {
    return;
  }
  worker->contact_lost = true;
  if (!worker->reachable) {
    return;
  }
  auto remaining = std::chrono::duration_cast<milliseconds>(
      worker->lease.expires_at() - now);
  log_event(absl::StrCat("worker_unreachable id=", id,
                         " runs=", worker->runs.size(),
                         " lease_left_ms=", remaining.count()));
  worker->reachable = false;
  bool is_replaced = std::ranges::any_of(workers_, [&](const auto& each) {
    return replaces(*each.second, *worker);
  });
  if (is_replaced) {
    end_runs_of_replaced(*worker, now);
  }
}

std::vector<lost_worker> scheduler::lost_workers(time_point now) const {
  std::vector<lost_worker> lost;
  for (const auto& [id, worker] : workers_) {
    if (!worker->contact_lost || worker->runs.empty()) {
      continue;
    }
    auto ends_at = worker->lease.expires_at();
    bool may_start_later = false;
    for (const auto& ref : worker->runs) {
      ends_at = std::max(ends_at, lease_end_of(*worker, ref.run()));
      may_start_later = may_start_later || may_be_started_later(ref.run());
    }
    auto later_ends_at = ends_at;
    if (may_start_later) {
      later_ends_at = std::max(
          ends_at, worker->lease.bound_for_successor(
                       now, options_.longest_lease, options_.late_call_limit));
    }
    lost.push_back({id, ends_at, later_ends_at});
  }
  return lost;
}

void scheduler::on_lease_ordered(const model::worker_id& id,
                                 milliseconds deadline,
                                 time_point may_arrive_until) {
  if (auto* worker = find_worker(id)) {
    worker->lease.extend(deadline, may_arrive_until);
  }
}

void scheduler::on_lease_unanswered(const model::worker_id& id,
                                    time_point now) {
  if (auto* worker = find_worker(id)) {
    worker->lease.extend_unanswered(now + options_.late_call_limit);
  }
}

void scheduler::on_start_unanswered(const model::worker_id& id,
                                    const task_key& task, int run_number,
                                    time_point now) {
  on_lease_unanswered(id, now);
  if (auto* run = find_run(task, run_number)) {
    run->has_unanswered_start = true;
  }
}

const lease_bound* scheduler::lease_of(const model::worker_id& id) const {
  const auto* worker = find_worker(id);
  return worker == nullptr ? nullptr : &worker->lease;
}

void scheduler::on_report(const model::worker_id& id,
                          const worker_report& report) {
  auto* worker = find_worker(id);
  // A worker's clock may have been set back before it restarted. An answer to a
  // request that was sent after the last report is from the present process.
  bool is_earlier = worker != nullptr &&
                    report.incarnation < worker->incarnation &&
                    report.requested_at < worker->reported_at;
  if (worker == nullptr || is_earlier) {
    return;
  }
  if (report.incarnation != worker->incarnation) {
    if (worker->incarnation != 0) {
      log_event(absl::StrCat(
          "worker_restarted id=", id, " life=", report.incarnation,
          " before=", worker->incarnation, " runs=", worker->runs.size()));
    }
    worker->ends_applied = 0;
    worker->ends_committing = 0;
    worker->ends_stored = 0;
  }
  // An answer of the process before the restart that is listed: its ends count,
  // its clock does not.
  bool is_outdated = report.incarnation == worker->incarnation &&
                     report.requested_at < worker->restart_listed_at;
  if (!is_outdated) {
    observe_clock(*worker, report);
  }
  if (!is_outdated) {
    worker->reported_at = report.received_at;
    worker->contact_lost = false;
  }
  if (!worker->reachable && !is_outdated) {
    log_event(absl::StrCat("worker_reachable id=", id,
                           " running=", report.running.size(),
                           " ended=", report.ended.size()));
    worker->reachable = true;
    for (auto& [other_id, other] : workers_) {
      if (replaces(*worker, *other)) {
        end_runs_of_replaced(*other, report.received_at);
      }
    }
    has_changes_ = true;
  }
  for (const auto& end : report.ended) {
    apply_end(*worker, end, report.received_at);
  }
  apply_running(*worker, report);
  update_pace(*worker, report.received_at);
}

/// @return whether an earlier leader may have sent orders by the clock of a
///   predecessor to the process, so that it holds the longest lease.
bool scheduler::may_have_orders_of_predecessor(
    const worker_report& report) const {
  // After this time, the lease is no longer than one that leaders order.
  auto limit =
      options_.late_call_limit + options_.longest_lease - options_.given_lease;
  auto last_order = takeover_ + options_.previous_leader_lease -
                    options_.given_lease + options_.late_call_limit;
  auto is_young = [&](milliseconds max_age) {
    return max_age < limit && report.received_at - max_age < last_order;
  };
  // A clock may begin at any value, so that it only shows that a process is
  // young, not that it is old.
  milliseconds wall_age(report.received_wall - report.incarnation);
  return is_young(report.clock) || report.received_wall == 0 ||
         is_young(wall_age - max_clock_difference);
}

/// Updates the bound on the worker's lease.
void scheduler::observe_clock(worker_state& worker,
                              const worker_report& report) {
  bool is_first = worker.incarnation == 0;
  bool restarted = !is_first && report.incarnation != worker.incarnation;
  worker.incarnation = report.incarnation;
  if (is_first || restarted) {
    worker.incarnation_seen_at = report.received_at;
  }
  if (restarted) {
    worker.lease.restart(report.clock, report.received_at, options_.given_lease,
                         options_.longest_lease);
    if (worker.lease.settled_at() > report.received_at) {
      log_event(absl::StrCat("lease_not_settled id=", worker.entry.info.id,
                             " life=", report.incarnation,
                             " clock_ms=", report.clock.count()));
    }
    return;
  }
  bool may_be_longer = is_first && may_have_orders_of_predecessor(report);
  worker.lease.observe_clock(
      report.clock, report.received_at,
      may_be_longer ? options_.longest_lease : options_.given_lease);
}

void scheduler::apply_end(worker_state& worker, const reported_end& end,
                          time_point now) {
  if (end.number <= worker.ends_applied) {
    return;
  }
  worker.ends_applied = end.number;
  has_changes_ = true;
  auto* step = find_step(end.task.step);
  if (step == nullptr || end.task.index < 0 ||
      end.task.index >= step->spec->count) {
    return;
  }
  auto& task = step->tasks[static_cast<std::size_t>(end.task.index)];
  auto* run = task.find_run(end.run);
  if (run == nullptr || run->worker != &worker) {
    apply_late_end(worker, *step, end, now);
    return;
  }
  end_run(*step, end.task.index, end.run, end.reason, end.checkpoint, now);
}

void scheduler::apply_running(worker_state& worker,
                              const worker_report& report) {
  std::vector<detail::run_ref> reported;
  worker.has_unknown_runs = false;
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
      log_event(absl::StrCat("run_unknown task=", to_string(row.task), " run=",
                             row.number, " worker=", worker.entry.info.id));
      orders_.push_back(stop_order{worker.entry.info.id, row.task, row.number});
      worker.has_unknown_runs = true;
      continue;
    }
    bool is_first_listing = !std::exchange(run->is_listed, true);
    if (is_first_listing && run->incarnation != worker.incarnation) {
      // Timed by the clock of the process that the start was meant for.
      run->progressed_at.reset();
    }
    run->is_listed_as_meant =
        run->is_listed_as_meant || run->incarnation == report.incarnation;
    note_settled(*step, row.task.index, *run);
    mark_begun(*step->job);
    check_progress(*step, row.task.index, *run, row.progress, report);
    run->measurement = row.measurement;
    if (run->phase == run_phase::starting) {
      run->phase = run_phase::running;
      run->is_answered = true;
      run->answered_at = report.received_at;
    }
    if (run->phase == run_phase::stopping && run->is_answered &&
        report.requested_at - run->answered_at > stop_repeat_interval) {
      // A later process, which has started the run after the stop.
      run->is_answered = false;
      orders_.push_back(stop_order{worker.entry.info.id, row.task, row.number});
    }
    reported.push_back({step, row.task.index, row.number});
  }
  if (!report.lists_all_ends) {
    return;
  }
  auto refs = worker.runs;
  for (const auto& ref : refs) {
    auto* run = &ref.run();
    bool is_reported = std::ranges::find(reported, ref) != reported.end();
    if (!is_reported && run->is_answered &&
        run->answered_at < report.requested_at) {
      end_run(*ref.step, ref.index, ref.number, end_reason::not_listed, "",
              report.received_at);
    }
  }
}

/// Notes that no later process can start a run, once that is known. It is
/// stored with the next change of the step; for a task that lasts at once,
/// since none may follow for long.
void scheduler::note_settled(step_state& step, int index, run_state& run) {
  if (run.is_settled || !run.is_listed_as_meant || !run.is_start_answered ||
      run.has_unanswered_start) {
    return;
  }
  run.is_settled = true;
  if (step.spec->long_running ||
      step.spec->estimated_run_time >= min_settled_run_time) {
    step.mark_dirty(index);
  }
}

/// Records the progress of a run and stops it if it has stalled.
///
/// Measures on the worker's clock: a report may have been written long before
/// it is received, by a slow network or while this process was paused.
void scheduler::check_progress(step_state& step, int index, run_state& run,
                               int progress, const worker_report& report) {
  bool may_stall = step.spec->long_running || run.phase != run_phase::running ||
                   run.ordered_percent < 100 ||
                   run.confirmed_percent != run.ordered_percent;
  if (may_stall || progress > run.progress || !run.progressed_at) {
    run.progressed_at = report.clock;
  }
  run.progress = progress;
  auto limit = std::max(stall_timeout,
                        stall_factor * step.spec->estimated_run_time / 100);
  // While starts are held, the task could not continue elsewhere.
  if (!starts_held_ && report.clock - *run.progressed_at > limit) {
    run.worker->trust.on_refused(report.received_at);
    order_stop(step, index, run, "stands_still", report.received_at);
  }
}

void scheduler::on_pace_delivered(const task_key& task, int run_number,
                                  int percent) {
  if (auto* run = find_run(task, run_number)) {
    run->confirmed_percent = percent;
  }
}

void scheduler::on_pace_undelivered(const task_key& task, int run_number) {
  if (auto* run = find_run(task, run_number)) {
    // An invalid pace, so that the next one differs and is sent.
    run->ordered_percent = -1;
  }
}

std::optional<int> scheduler::ordered_pace(const task_key& task,
                                           int run_number) {
  const auto* run = find_run(task, run_number);
  return run == nullptr ? std::nullopt : std::optional(run->ordered_percent);
}

void scheduler::on_start_result(const model::worker_id& id,
                                const task_key& task, int run_number,
                                start_outcome outcome, time_point now) {
  auto* worker = find_worker(id);
  auto* step = find_step(task.step);
  auto* run = find_run(task, run_number);
  if (worker == nullptr || run == nullptr || run->worker != worker) {
    return;
  }
  if (outcome == start_outcome::confirmed) {
    run->is_start_answered = true;
    note_settled(*step, task.index, *run);
  }
  if (run->phase != run_phase::starting) {
    return;
  }
  switch (outcome) {
    case start_outcome::confirmed:
      mark_begun(*step->job);
      run->phase = run_phase::running;
      run->is_answered = true;
      run->answered_at = now;
      if (step->spec->best_effort) {
        // The task runs at full speed until a pace is ordered.
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
  log_event(absl::StrCat("start_refused task=", to_string(task),
                         " run=", run_number, " worker=", id,
                         " outcome=", static_cast<int>(outcome)));
  remove_run(*step, task.index, run_number);
  step->tasks[static_cast<std::size_t>(task.index)].not_before =
      now + refusal_retry_delay;
  if (step->spec->gang) {
    stop_gang(*step, run_number, now);
  }
}

/// Stops the members of a gang's run, which would wait in vain for one that
/// doesn't start.
void scheduler::stop_gang(step_state& step, int run_number, time_point now) {
  for (int n = 0; n < step.spec->count; ++n) {
    auto& task = step.tasks[static_cast<std::size_t>(n)];
    if (auto* run = task.find_run(run_number)) {
      order_stop(step, n, *run, "gang_incomplete", now);
    }
  }
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
  run->answered_at = now;
}

void scheduler::end_lost_runs(const worker_state& worker,
                              std::span<const detail::run_ref> lost,
                              std::string_view why, time_point now) {
  log_event(absl::StrCat(
      "worker_lost id=", worker.entry.info.id, " runs=", lost.size(),
      " why=", std::string(why), " life=", worker.incarnation,
      " listed_life=", worker.entry.incarnation,
      " lease_ended_ms=", since(worker.lease.expires_at(), now).count(),
      " last_report_ms=", since(worker.reported_at, now).count()));
  for (const auto& ref : lost) {
    end_run(*ref.step, ref.index, ref.number, end_reason::given_up, "", now);
  }
}

/// Ends the runs whose lease is over. A start that has not been answered yet
/// brings a lease of its own when it is sent, so that its run may still begin.
void scheduler::expire_leases(time_point now) {
  for (auto& [id, worker] : workers_) {
    if (now <= worker->lease.expires_at()) {
      continue;
    }
    auto expired = worker->runs;
    std::erase_if(expired, [&worker = *worker, now](const auto& ref) {
      const auto& run = ref.run();
      return run.phase == run_phase::starting ||
             now <= lease_end_of(worker, run);
    });
    if (!expired.empty()) {
      end_lost_runs(*worker, expired, "lease_over", now);
      worker->reachable = false;
    }
  }
}

std::int64_t scheduler::last_stored_end(const model::worker_id& id) const {
  const auto* worker = find_worker(id);
  // A restarted process numbers its ends anew and would forget its own.
  return worker == nullptr || !worker->lease.clock_known()
             ? 0
             : worker->ends_stored;
}

bool scheduler::has_unstored_ends(const model::worker_id& id) const {
  const auto* worker = find_worker(id);
  return worker != nullptr && worker->ends_stored < worker->ends_applied;
}

bool scheduler::needs_contact(const model::worker_id& id) const {
  const auto* worker = find_worker(id);
  return worker != nullptr && (worker->listed || !worker->runs.empty());
}

}  // namespace vanillaladder::batch
