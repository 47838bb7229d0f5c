#pragma once

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "batch/decision_log.h"
#include "batch/headroom_model.h"
#include "batch/job.h"
#include "batch/job_order.h"
#include "batch/job_records.h"
#include "batch/occurrence_set.h"
#include "batch/orders.h"
#include "batch/organisation_shares.h"
#include "batch/pace_plan.h"
#include "batch/reservations.h"
#include "batch/run_time_model.h"
#include "batch/worker.h"

namespace vanillaladder::batch {

namespace detail {
struct job_state_entry;
struct occurrence_state;
struct run_ref;
struct run_state;
struct step_state;
struct task_state;
struct worker_state;
}  // namespace detail

struct scheduler_options {
  /// Longest lease that leaders order.
  milliseconds given_lease{6000};
  /// Longest lease that a worker grants, however late the ordered deadline.
  milliseconds longest_lease{6000};
  /// Time from the takeover until all leases granted by previous leaders have
  /// expired on workers that have not reported yet.
  milliseconds previous_leader_lease{10000};
  /// How long the state of an ended job is retained.
  milliseconds state_retention{300000};
  /// How long before its scheduled time an occurrence may start.
  milliseconds early_start{100};
  /// Time that a run loses when it is stopped and resumed on another worker.
  milliseconds move_cost{800};
  /// How long a call to a worker may take effect after it was given up.
  milliseconds late_call_limit{13000};
  /// Whether room is held for tasks that wait by the expected ends of runs.
  bool look_ahead = false;
  /// Memory of the open occurrences of all jobs. Others wait, but for those of
  /// which an earlier leader has started tasks.
  std::size_t max_state_bytes = 64U << 20;
};

/// Decisions of look-ahead placement.
struct look_ahead_counts {
  std::uint64_t held_steps = 0;
  std::uint64_t backfilled_starts = 0;
};

/// Decides which tasks run where; used by the leader.
///
/// Does no I/O and reads no clock. The caller stores each `commit` and then
/// sends its orders. Orders returned by `take_orders` need no stored record and
/// can be sent immediately. Times passed in must not decrease.
class scheduler {
 public:
  scheduler(const scheduler_options& options, time_point takeover,
            decision_log log);
  ~scheduler();
  scheduler(const scheduler&) = delete;
  scheduler& operator=(const scheduler&) = delete;

  /// Sets the queue policies. Jobs of a queue that is not listed keep their
  /// policy, initially the one at acceptance.
  void set_queues(const std::map<std::string, queue_policy>& queues);
  /// Sets the limits and shares of organisations. Without any, jobs are placed
  /// regardless of theirs.
  void set_organisations(
      const std::map<std::string, organisation_policy>& policies);
  /// @return usage, limit and share of each organisation.
  std::vector<organisation_shares::report> organisation_reports() const;
  /// Sets the failure domains in which no task may start.
  void set_closed_domains(std::vector<model::domain_id> domains);

  /// Adds a job that has not ended. Does nothing if the job already exists.
  /// @param wall current wall clock time, from which the job's age is computed.
  void add_job(std::shared_ptr<const job_spec> spec, time_point now,
               unix_ms wall);
  void cancel_job(const model::job_id& id, time_point now);
  /// Restores that a job has begun, as a previous leader stored.
  void restore_begun(const model::job_id& id);
  /// Ends a job whose final state a previous leader has stored, and stops its
  /// runs.
  void end_job(const model::job_id& id, job_state state, time_point now);
  /// Takes over what earlier leaders knew of workers without contact: their
  /// leases end by then, not a full lease after the takeover. Must be called
  /// before progress is restored.
  void inherit_lost_workers(std::span<const lost_worker> lost);
  /// Restores a record of the progress of a step that a previous leader stored.
  /// Must be called before the first report.
  /// @param since_stored time since the record was written.
  /// @return false if the step or one of the tasks does not exist.
  bool restore_progress(const step_key& key,
                        const std::vector<task_record>& tasks, time_point now,
                        int part = 0,
                        milliseconds since_stored = milliseconds(0));
  /// Restores which occurrences of a recurring job are complete. May be called
  /// before or after the progress of the others is restored.
  /// @return false if the job does not exist.
  bool restore_completed(const model::job_id& id,
                         const occurrence_set& completed);
  /// Removes a stored record of progress whose job no longer exists.
  void remove_progress(const completed_key& key);
  /// Removes the stored progress of a step whose job no longer exists.
  void remove_progress(const progress_key& key);
  /// Removes the record of a job that was submitted again after it had ended.
  void remove_duplicate_job(const model::job_id& id);
  /// Removes the stored state of a job whose retention time has passed.
  void remove_job_state(const model::job_id& id);

  /// Handles that a process with this start time was listed for a worker before
  /// this leader took over. Must be called after progress is restored.
  void on_earlier_entry(const model::worker_id& id, unix_ms incarnation,
                        time_point now);
  void update_worker(const worker_entry& entry, time_point now);
  /// Marks a worker as no longer listed. Its runs may continue until their
  /// lease expires.
  void remove_worker(const model::worker_id& id, time_point now);
  void on_report(const model::worker_id& id, const worker_report& report);
  /// @return whether a process with this start time is not the one that
  ///   reported last.
  bool is_other_process(const model::worker_id& id, unix_ms incarnation) const;
  /// Handles that a worker has another process than the one that reported last,
  /// before its first report counts. Nothing is ordered by the earlier clock.
  void on_restart_noticed(const model::worker_id& id, unix_ms incarnation,
                          time_point now);
  void on_unreachable(const model::worker_id& id, time_point now);
  /// Records that a lease until `deadline` on the worker's clock was sent.
  /// @param may_arrive_until when the call is answered or given up at the
  ///   latest.
  void on_lease_ordered(const model::worker_id& id, milliseconds deadline,
                        time_point may_arrive_until);
  /// Records that a call that carried a lease got no response.
  void on_lease_unanswered(const model::worker_id& id, time_point now);
  /// The same for an attempt to start a run. It may take effect late, also
  /// after a later attempt has succeeded.
  void on_start_unanswered(const model::worker_id& id, const task_key& task,
                           int run, time_point now);
  void on_start_result(const model::worker_id& id, const task_key& task,
                       int run, start_outcome outcome, time_point now);
  void on_pace_delivered(const task_key& task, int run, int percent);
  /// Handles a pace order that was not delivered; it is sent again after the
  /// worker's next report.
  void on_pace_undelivered(const task_key& task, int run);
  /// @return the last pace ordered for a run in percent, -1 if its pace is
  ///   unknown; empty if the run has ended.
  std::optional<int> ordered_pace(const task_key& task, int run);
  void on_stop_answered(const model::worker_id& id, const task_key& task,
                        int run, time_point now);

  /// Sets whether starts are held. While they are, no task is placed, and no
  /// run is stopped in order to continue elsewhere.
  void hold_starts(bool hold) { starts_held_ = hold; }
  /// Checks whether the ground of a planned start still holds.
  /// @return why it must not be sent, such as a cancelled job or a closed
  ///   failure domain; empty if it may be sent.
  std::string_view start_obstacle(const start_order& start,
                                  time_point now) const;

  /// Default work budget of a plan.
  static constexpr int default_plan_units = 16000;
  /// Decides which tasks start. The caller must store the result and then call
  /// `on_progress_committed` and `on_jobs_committed`. Several results may be
  /// stored together, in their order. The progress part must be stored before
  /// the next plan is made; the jobs part may be stored later.
  /// @param units work budget: the number of workers that may be examined; a
  ///   start counts as several. If it runs out, `is_budget_exhausted` returns
  ///   true and the next plan continues with the remaining steps.
  /// @param starts number of tasks that may start, a part of the same budget; a
  ///   gang may exceed it. If 0, no step is examined.
  /// @return the records to store, and the starts that may be sent then.
  commit plan(time_point now, unix_ms wall, int units = default_plan_units,
              std::size_t starts = std::numeric_limits<std::size_t>::max());
  /// @return whether the last plan ran out of budget before it had examined
  ///   all waiting steps. Not if it was not to start anything.
  bool is_budget_exhausted() const {
    return budget_exhausted_ && start_limit_ > 0;
  }
  /// @return work units that the last plan used.
  int units_spent() const { return units_spent_; }
  /// Must be called once the progress part of the commit is stored; its orders
  /// may then be sent.
  void on_progress_committed();
  /// Must be called once the jobs part of a commit and those of all earlier
  /// ones are stored.
  /// @param plan number of that commit's plan.
  void on_jobs_committed(std::int64_t plan);
  /// Removes and returns the pending orders that need no stored record.
  std::vector<order> take_orders();

  /// @return the number of the worker's last ended run that is stored; the
  ///   worker may forget this one and all earlier ones. 0 if the worker may
  ///   have restarted.
  std::int64_t last_stored_end(const model::worker_id& id) const;
  /// @return whether the worker has reported ends that are not stored; it lists
  ///   them in each report until then.
  bool has_unstored_ends(const model::worker_id& id) const;
  /// @return whether the worker is listed or may still have runs.
  bool needs_contact(const model::worker_id& id) const;
  /// @return the workers that have not answered and may still have runs.
  std::vector<lost_worker> lost_workers(time_point now) const;
  /// @return decisions of look-ahead placement so far.
  const look_ahead_counts& look_ahead_decisions() const {
    return look_ahead_counts_;
  }
  /// @return whether anything changed since the last plan that requires a new
  ///   one.
  bool has_changes() const { return has_changes_; }
  /// @return the bound on the worker's lease, or null if the worker is unknown.
  const class lease_bound* lease_of(const model::worker_id& id) const;
  /// @return whether the worker runs both long-running and best-effort tasks,
  ///   so that interference must be detected quickly.
  bool needs_frequent_reports(const model::worker_id& id) const;

  std::size_t jobs() const { return jobs_.size(); }
  std::size_t waiting_tasks() const;
  /// @return the most memory that the open occurrences take.
  std::size_t state_bytes() const { return state_bytes_; }
  /// @return jobs with an occurrence that waits for memory.
  std::size_t deferred_jobs() const { return deferred_jobs_; }

 private:
  using job_entry = detail::job_state_entry;
  using worker_state = detail::worker_state;
  using step_state = detail::step_state;
  using task_state = detail::task_state;
  using run_state = detail::run_state;
  using run_ref = detail::run_ref;

  // Jobs.
  job_entry* find_job(std::string_view id);
  step_state* find_step(const step_key& key);
  run_state* find_run(const task_key& key, int number);
  void open_occurrence(job_entry& job, int number);
  bool has_due_occurrence(const job_entry& job, unix_ms wall) const;
  void open_due_occurrences(time_point now, unix_ms wall);
  void close_occurrence(job_entry& job, int number);
  void close_complete_occurrences(job_entry& job);
  void drop_runs(job_entry& job, int number);
  void complete_job_if_done(job_entry& job);
  bool is_ready(const step_state& step) const;
  static time_point ready_time(const step_state& step, time_point now);
  static void note_waiting(step_state& step, time_point now);
  void set_state(job_entry& job, job_state state);
  void mark_begun(job_entry& job);
  void stop_all_runs(job_entry& job, time_point now);
  void purge_ended(commit& out);

  // Runs.
  void add_run(step_state& step, int index, worker_state& worker, int number,
               time_point now);
  void remove_run(step_state& step, int index, int number);
  void end_run(step_state& step, int index, int number, end_reason reason,
               std::string_view checkpoint, time_point now);
  void record_outcome(step_state& step, int index, worker_state& worker,
                      end_reason reason, time_point now);
  void apply_late_end(worker_state& worker, step_state& step,
                      const reported_end& end, time_point now);
  void complete_task(step_state& step, int index, time_point now);
  void complete_gang(step_state& step, time_point now);
  void set_deadlines(job_entry& job, time_point arrival) const;
  void observe_size(const job_entry& job);
  void learn_run_time(const step_state& step, const run_state& run,
                      time_point now);
  void record_task_failure(step_state& step, int index,
                           const worker_state& worker, time_point now);
  void order_stop(step_state& step, int index, run_state& run,
                  std::string_view why, time_point now);
  void stop_gang(step_state& step, int run_number, time_point now);
  void end_lost_runs(const worker_state& worker, std::span<const run_ref> lost,
                     std::string_view why, time_point now);
  void expire_leases(time_point now);
  void forget_departed_workers(time_point now);

  // Workers.
  worker_state& find_or_add_worker(const model::worker_id& id);
  void inherit_lost_worker(worker_state& worker, const lost_worker& lost) const;
  worker_state* find_worker(std::string_view id);
  const worker_state* find_worker(std::string_view id) const;
  void apply_end(worker_state& worker, const reported_end& end, time_point now);
  void apply_running(worker_state& worker, const worker_report& report);
  void note_settled(step_state& step, int index, run_state& run);
  void check_progress(step_state& step, int index, run_state& run, int progress,
                      const worker_report& report);
  void update_pace(worker_state& worker, time_point now);
  double max_latency_ratio(const worker_state& worker) const;
  void update_headroom_model(const worker_state& worker, time_point now);
  double headroom_loss(const worker_state& worker, const run_ref& serving,
                       const step_state& best_effort) const;
  serving_task_load serving_load(const worker_state& worker,
                                 const run_ref& serving,
                                 std::span<const run_ref> best_effort) const;
  double expected_speed(const worker_state& worker,
                        const step_state& step) const;
  double min_speed(const step_state& step, time_point now) const;
  bool is_starved(const step_state& step, time_point now) const;
  void update_utilisation();
  void order_pace(worker_state& worker, int limit, time_point now);
  bool finishes_sooner_elsewhere(const step_state& step,
                                 const run_state& run) const;
  void move_throttled(step_state& step, int index, run_state& run,
                      time_point now);
  void observe_clock(worker_state& worker, const worker_report& report);
  bool may_have_orders_of_predecessor(const worker_report& report) const;
  void expect_restart(worker_state& worker, unix_ms incarnation,
                      time_point now) const;
  static bool is_started_after_runs(const worker_state& worker,
                                    unix_ms incarnation);
  static bool may_be_started_later(const run_state& run);
  static time_point lease_end_of(const worker_state& worker,
                                 const run_state& run);
  static bool replaces(const worker_state& successor,
                       const worker_state& worker);
  void end_runs_of_replaced(worker_state& worker, time_point now);
  void drain_worker(worker_state& worker, time_point now);

  // Placement.
  struct ranked_step;
  std::vector<ranked_step> rank_steps(time_point now);
  /// Passes of a placement round. With organisations, each gets its share in
  /// the first one, and what is left is lent in the second.
  enum class placement_pass { entitled, lent };
  void place(time_point now, std::vector<order>& orders);
  void begin_round(time_point now);
  bool may_repeat(const step_state& step, time_point now) const;
  bool place_ranked(std::span<const ranked_step> ranked, placement_pass pass,
                    time_point now, std::vector<order>& orders);
  void begin_share_round(std::span<const ranked_step> ranked);
  bool has_share(step_state& step, placement_pass pass, int count,
                 time_point now);
  static bool begin_wait_line(step_state& step, time_point now);
  /// A step for which no worker was found in the current placement round.
  struct unmet_demand {
    const step_state* step = nullptr;
    double min_speed = 0;

    /// @return whether the other step cannot be placed either because it needs
    ///   at least as much.
    bool covers(const step_state& other, bool starved,
                double other_speed) const;
  };
  void log_covered_wait(step_state& step, const step_state& other,
                        time_point now);
  /// Result of placing the tasks of one step.
  enum class placement { examined, unmet, interrupted };
  placement place_step(step_state& step, placement_pass pass, time_point now,
                       std::vector<order>& orders);
  class candidates;
  bool place_gang(step_state& step, time_point now, std::vector<order>& orders);
  bool has_room_for_gang(const step_state& step, time_point now,
                         std::string_view rack) const;
  worker_state* choose_worker(const step_state& step, const task_state& task,
                              time_point now, std::string_view rack,
                              bool trusted_only);
  /// Reason why a worker cannot run a task.
  enum class obstacle {
    none,
    unreachable,
    leaving,
    other_service,
    closed_domain,
    entry_outdated,
    label,
    presses_on_serving,
    serving_late,
    no_spare_processor,
    no_room,
    room_held,
    lease_not_settled,
    unknown_runs,
    not_trusted,
    limit_per_worker,
  };
  static std::string_view obstacle_name(obstacle cause);
  obstacle worker_obstacle(const worker_state& worker, const step_state& step,
                           time_point now) const;
  bool is_gang_whole(const step_state& step, int run, time_point now) const;
  obstacle obstacle_at(const worker_state& worker, const step_state& step,
                       const task_state& task, time_point now) const;
  bool is_last_resort(const worker_state& worker, const step_state& step,
                      const task_state& task, time_point now) const;
  void log_wait_reasons(step_state& step, const task_state& task,
                        time_point now);
  bool can_run(const worker_state& worker, const step_state& step,
               const task_state& task, time_point now) const;
  bool has_budget() const {
    return units_spent_ < unit_limit_ && starts_made_ < start_limit_;
  }
  double cost_of(const worker_state& worker, const step_state& step,
                 const task_state& task) const;

  // Look-ahead placement.
  void begin_look_ahead();
  time_point expected_end(const step_state& step, const run_state& run,
                          time_point now) const;
  time_point expected_end_of_start(const step_state& step,
                                   time_point now) const;
  void hold_room(step_state& step, time_point now);
  bool is_room_held(const worker_state& worker, const step_state& step,
                    time_point now) const;
  void note_backfill(const worker_state& worker, const step_state& step,
                     time_point now);
  double size_cost(const worker_state& worker, const step_state& step) const;
  void start(step_state& step, int index, worker_state& worker, int number,
             time_point now, std::vector<order>& orders);

  void log_event(std::string line) const;

  scheduler_options options_;
  time_point takeover_;
  decision_log log_;
  std::map<std::string, queue_policy> queues_;
  std::vector<model::domain_id> closed_domains_;
  // Ordered maps, so that decisions are deterministic.
  std::map<std::string, std::unique_ptr<job_entry>, std::less<>> jobs_;
  std::map<std::string, std::unique_ptr<worker_state>, std::less<>> workers_;
  headroom_model headroom_model_;
  run_time_model run_time_model_;
  job_order job_order_;
  organisation_shares shares_;
  reservations reservations_;
  look_ahead_counts look_ahead_counts_;
  /// Processor capacity of the smallest worker, in thousandths of a core.
  std::int64_t smallest_worker_cpu_ = 0;
  /// Reserved share of the processor capacity of all reachable workers.
  double utilisation_ = 1;
  /// What earlier leaders knew of lost workers.
  std::map<std::string, lost_worker, std::less<>> inherited_lost_workers_;
  std::vector<order> orders_;
  std::vector<topic_record> job_removals_;
  std::vector<topic_record> progress_removals_;
  std::size_t state_bytes_ = 0;
  std::size_t deferred_jobs_ = 0;
  bool has_changes_ = true;
  bool starts_held_ = false;
  /// Work budget of the current plan, and how much of it is used.
  int unit_limit_ = 0;
  mutable int units_spent_ = 0;
  std::size_t start_limit_ = 0;
  std::size_t starts_made_ = 0;
  bool budget_exhausted_ = false;
  /// Number of the last plan.
  std::int64_t plan_number_ = 0;
  /// Number of the current placement round. A round continues in the next plan
  /// if the budget runs out.
  std::int64_t round_ = 0;
  /// When the round began, and the plans that it has taken.
  time_point round_began_at_;
  int round_plans_ = 0;
  /// Work of the round in earlier plans, and that of all plans which went into
  /// steps that had been examined before.
  std::int64_t round_units_ = 0;
  std::int64_t repeat_units_ = 0;
};

}  // namespace vanillaladder::batch
