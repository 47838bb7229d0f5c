#pragma once

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "batch/decision_log.h"
#include "batch/disturbance_model.h"
#include "batch/job.h"
#include "batch/job_records.h"
#include "batch/orders.h"
#include "batch/pace_plan.h"
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
  /// Longest lease that a worker grants.
  milliseconds longest_lease{6000};
  /// Time after which every order of an earlier leader to a worker that has
  /// not been reached has lost its lease, counted from the takeover.
  milliseconds previous_leader_lease{10000};
  /// How long the state of an ended job is kept.
  milliseconds state_retention{300000};
  /// How much before its time an occurrence may start.
  milliseconds early_start{100};
};

/// The decisions of the leader.
///
/// Does no I/O and reads no clock. The caller stores each `commit` and then
/// sends its orders; orders of `take_orders` need no record and can be sent
/// at once. Times must not go back.
class scheduler {
 public:
  scheduler(const scheduler_options& options, time_point takeover,
            decision_log log);
  ~scheduler();
  scheduler(const scheduler&) = delete;
  scheduler& operator=(const scheduler&) = delete;

  /// Sets the queues; jobs of others keep the policy of their acceptance.
  void set_queues(const std::map<std::string, queue_policy>& queues);
  /// Sets the failure domains that get no new work.
  void set_closed_domains(std::vector<model::domain_id> domains);

  /// Adds a job that has not ended; a known one is left as it is.
  /// @param wall the wall clock, for the age of the job.
  void add_job(std::shared_ptr<const job_spec> spec, time_point now,
               unix_ms wall);
  void cancel_job(const model::job_id& id, time_point now);
  /// Ends a job whose end an earlier leader has stored; its runs are stopped.
  void end_job(const model::job_id& id, job_state state, time_point now);
  /// Takes over what an earlier leader stored of a step; only before the
  /// first report.
  /// @return false if there is no such step.
  bool restore_progress(const step_key& key,
                        const std::vector<task_record>& tasks, time_point now);
  /// Removes the progress of a job that is not known any more.
  void remove_progress(const step_key& key);
  /// Removes the record of a job that came again after its end.
  void remove_duplicate_job(const model::job_id& id);
  /// Removes the stored state of a job that ended long ago.
  void remove_job_state(const model::job_id& id);

  void update_worker(const worker_entry& entry, time_point now);
  /// The worker has left the list; its runs may go on until their lease ends.
  void remove_worker(const model::worker_id& id);
  void on_report(const model::worker_id& id, const worker_report& report);
  void on_unreachable(const model::worker_id& id, time_point now);
  /// Notes that a lease until `deadline` on the worker's clock was ordered.
  void on_lease_ordered(const model::worker_id& id, milliseconds deadline);
  void on_start_result(const model::worker_id& id, const task_key& task,
                       int run, start_outcome outcome, time_point now);
  /// A pace did not get through; it is ordered again with the next report.
  void on_pace_undelivered(const task_key& task, int run);
  void on_stop_answered(const model::worker_id& id, const task_key& task,
                        int run, time_point now);

  /// Units of work of a plan if the caller names none.
  static constexpr int default_plan_units = 16000;
  /// Decides what starts; the result must be stored, and reported with
  /// `on_committed`. Several results may be stored as one, in their order.
  /// @param units work after which no further start is looked for: looks at
  ///   workers, of which a start counts as several. `is_budget_exhausted` tells
  ///   whether that was so; the next plan goes on with what has not been looked
  ///   at.
  commit plan(time_point now, unix_ms wall, int units = default_plan_units);
  /// @return whether the last plan ended before all that waits was looked at.
  bool is_budget_exhausted() const { return cut_; }
  /// @return units that the last plan has spent.
  int units_spent() const { return spent_; }
  /// The commit's progress is stored; its orders may be sent.
  void on_progress_committed();
  /// All of the commit is stored.
  void on_committed();
  /// @return orders that need no record.
  std::vector<order> take_orders();

  /// @return the number of the last end of the worker that is stored; the
  ///   worker may forget it and those before.
  std::int64_t last_stored_end(const model::worker_id& id) const;
  /// @return whether the worker may have runs, or could get some.
  bool needs_contact(const model::worker_id& id) const;
  /// @return whether something changed that `plan` should see.
  bool has_changes() const { return news_; }
  /// @return the worker's lease as far as it is known.
  const class lease_bound* lease_of(const model::worker_id& id) const;
  /// @return whether a task there needs frequent reports.
  bool needs_frequent_reports(const model::worker_id& id) const;

  std::size_t jobs() const { return jobs_.size(); }
  std::size_t waiting_tasks() const;

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
  void open_due_occurrences(time_point now, unix_ms wall);
  void close_occurrences(job_entry& job);
  bool is_ready(const step_state& step) const;
  void set_state(job_entry& job, job_state state);
  void stop_all_runs(job_entry& job, time_point now);
  void purge_ended(commit& out);

  // Runs.
  void add_run(step_state& step, int index, worker_state& worker, int number,
               time_point now);
  void remove_run(step_state& step, int index, int number);
  void end_run(step_state& step, int index, int number, end_reason reason,
               std::string_view checkpoint, time_point now);
  void fail_task(step_state& step, int index, const worker_state& worker);
  void order_stop(step_state& step, int index, run_state& run,
                  std::string_view why, time_point now);
  void lose_runs(worker_state& worker, std::string_view why, time_point now);
  void expire_leases(time_point now);

  // Workers.
  worker_state* find_worker(std::string_view id);
  const worker_state* find_worker(std::string_view id) const;
  void apply_end(worker_state& worker, const reported_end& end, time_point now);
  void apply_running(worker_state& worker, const worker_report& report);
  void watch_progress(step_state& step, int index, run_state& run, int progress,
                      time_point now);
  void relieve_serving(worker_state& worker, time_point now);
  double pressure_on(const worker_state& worker) const;
  void learn_disturbance(const worker_state& worker, time_point now);
  double taken_from(const worker_state& worker, const run_ref& serving,
                    const step_state& filling) const;
  served_task served_beside(const worker_state& worker, const run_ref& serving,
                            std::span<const run_ref> filling) const;
  double speed_at(const worker_state& worker, const step_state& step) const;
  double least_speed(const step_state& step, time_point now) const;
  bool is_starved(const step_state& step, time_point now) const;
  void measure_use();
  void order_pace(worker_state& worker, int limit, time_point now);
  void move_held(step_state& step, int index, run_state& run, time_point now);
  void replace_at_address(const worker_state& successor, time_point now);
  void leave_worker(worker_state& worker, time_point now);

  // Placement.
  struct ranked_step;
  std::vector<ranked_step> rank_steps(time_point now);
  void place(time_point now, std::vector<order>& orders);
  /// A step that left tasks waiting in one round of placement.
  struct unmet_demand {
    const step_state* step = nullptr;
    double least_speed = 0;

    /// @return whether another step finds no worker either.
    bool covers(const step_state& other, bool starved,
                double other_speed) const;
  };
  void explain_behind(step_state& step, const step_state& other,
                      time_point now);
  /// What became of a step in a round of placement.
  enum class placement { looked_at, unmet, cut };
  placement place_step(step_state& step, time_point now,
                       std::vector<order>& orders);
  class candidates;
  bool place_gang(step_state& step, time_point now, std::vector<order>& orders);
  worker_state* choose_worker(const step_state& step, const task_state& task,
                              time_point now, std::string_view rack);
  /// Why a worker can't take a task.
  enum class obstacle {
    none,
    unreachable,
    leaving,
    other_service,
    closed_domain,
    label,
    presses_on_serving,
    serving_late,
    no_spare_processor,
    no_room,
    not_trusted,
    limit_per_worker,
  };
  static std::string_view obstacle_name(obstacle cause);
  obstacle obstacle_at(const worker_state& worker, const step_state& step,
                       const task_state& task, time_point now) const;
  void explain_wait(step_state& step, const task_state& task, time_point now);
  bool may_take(const worker_state& worker, const step_state& step,
                const task_state& task, time_point now) const;
  bool may_spend() const { return spent_ < units_; }
  double cost_of(const worker_state& worker, const step_state& step,
                 const task_state& task) const;
  void start(step_state& step, int index, worker_state& worker, int number,
             time_point now, std::vector<order>& orders);

  void note(std::string line) const;

  scheduler_options options_;
  time_point takeover_;
  decision_log log_;
  std::map<std::string, queue_policy> queues_;
  std::vector<model::domain_id> closed_domains_;
  // Ordered, so that equal inputs give equal decisions.
  std::map<std::string, std::unique_ptr<job_entry>, std::less<>> jobs_;
  std::map<std::string, std::unique_ptr<worker_state>, std::less<>> workers_;
  disturbance_model disturbance_;
  /// Share of the workers' processors that is reserved.
  double use_ = 1;
  std::vector<order> orders_;
  std::vector<topic_record> removals_;
  std::vector<topic_record> progress_removals_;
  bool news_ = true;
  /// Work that the present plan may do, and has done.
  int units_ = 0;
  mutable int spent_ = 0;
  bool cut_ = false;
  /// Counts rounds of placement; a plan that is cut leaves its round open.
  std::int64_t round_ = 0;
};

}  // namespace vanillaladder::batch
