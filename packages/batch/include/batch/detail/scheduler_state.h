#pragma once

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "batch/headroom_model.h"
#include "batch/job.h"
#include "batch/job_deadlines.h"
#include "batch/job_records.h"
#include "batch/lease_bound.h"
#include "batch/occurrence_set.h"
#include "batch/orders.h"
#include "batch/pace_control.h"
#include "batch/worker.h"
#include "batch/worker_trust.h"

namespace vanillaladder::batch::detail {

struct worker_state;
struct job_state_entry;

enum class run_phase {
  /// The start is stored or about to be, but not confirmed by the worker.
  starting,
  running,
  /// A stop was ordered; resources stay reserved until the run has ended.
  stopping,
};

struct run_state {
  int number = 0;
  worker_state* worker = nullptr;
  /// Process that the start was meant for; a later one may have executed it.
  unix_ms incarnation = 0;
  /// Whether a process has listed the run in a report to this leader. Until
  /// then, a later process may have executed the start.
  bool is_listed = false;
  bool has_unanswered_start = false;
  /// Whether the process that the start was meant for has listed the run.
  bool is_listed_as_meant = false;
  bool is_start_answered = false;
  /// Whether that process has listed the run and each attempt to start it was
  /// answered, so that no later process can start it. Stored for successors.
  bool is_settled = false;
  run_phase phase = run_phase::starting;
  /// When the start or, in phase `stopping`, the stop was ordered.
  time_point ordered_at;
  /// When the worker answered the last start or stop order. A report requested
  /// after this time lists the run if it still exists.
  time_point answered_at;
  bool is_answered = false;
  /// Completed share of the work in percent; 100 for a long-running task that
  /// is active.
  int progress = 0;
  /// Time on the worker's clock at which the progress last rose; empty if the
  /// clock is not known yet.
  std::optional<milliseconds> progressed_at;
  /// Last ordered pace in percent; -1 if the actual pace is unknown.
  int ordered_percent = 100;
  /// Last pace in percent that the worker has confirmed.
  int confirmed_percent = 100;
  /// Pace in percent before the last change, and the time of that change.
  int previous_percent = 100;
  time_point pace_changed_at;
  /// Since when a best-effort task has been throttled; empty if it is not.
  std::optional<time_point> throttled_since;
  std::int64_t measurement = 0;
  /// Headroom of a serving task without the load of best-effort tasks.
  estimate headroom;
};

struct task_state {
  bool done = false;
  int last_run = 0;
  int failures = 0;
  std::string checkpoint;
  std::vector<run_state> runs;
  /// Runs whose workers were given up; their ends may still be reported.
  std::vector<int> given_up_runs;
  model::worker_id last_failed_worker;
  time_point last_failed_at;
  time_point not_before;

  run_state* find_run(int number);
  bool is_waiting() const { return !done && runs.empty(); }
};

struct step_state {
  job_state_entry* job = nullptr;
  const step_spec* spec = nullptr;
  step_key key;
  image_number image = 0;
  /// Expected time from the start of this step to the end of its job.
  milliseconds remaining_chain{0};
  /// Expected processor time of one task, in core milliseconds.
  double task_work = 0;
  std::vector<task_state> tasks;
  int completed_tasks = 0;
  int waiting_tasks = 0;
  /// Parts of the progress that must be stored with the next commit.
  std::set<int> dirty_parts;
  /// Since when some of its tasks have waited without interruption.
  std::optional<time_point> waiting_since;
  /// When all dependencies were complete and tasks could start.
  time_point ready_since;
  /// When its last task was done; the clock's epoch before that.
  time_point completed_at;
  /// When the last of its restored records was written; the clock's epoch if
  /// none was restored.
  time_point restored_record_at;
  /// The last placement round that examined this step.
  std::int64_t last_round = 0;
  /// The same for the first pass of a round with organisations.
  std::int64_t last_entitled_round = 0;
  time_point examined_at;
  /// When the reasons why its tasks wait, and room held for them, were last
  /// logged.
  time_point wait_logged_at;
  time_point hold_logged_at;

  bool complete() const { return completed_tasks == spec->count; }
  /// Lets the current placement round examine the step once more. A round may
  /// take longer than a task may wait.
  void rejoin_round() {
    last_round = 0;
    last_entitled_round = 0;
  }
  /// Notes that the progress of a task must be stored.
  void mark_dirty(int task) { dirty_parts.insert(progress_part_of(task)); }
  /// @return tasks of a part of the progress.
  std::span<const task_state> tasks_of_part(int part) const;
  /// @return whether a task of the part has been started.
  bool has_progress(int part) const;
  /// Appends the removal of the records of its progress.
  void append_progress_removals(std::vector<topic_record>& removals) const;
};

struct occurrence_state {
  int number = 0;
  std::vector<step_state> steps;

  bool complete() const;
  bool has_runs() const;
  /// @return the expected processor time of all tasks that are not done, in
  ///   core milliseconds.
  double remaining_work() const;
};

struct job_state_entry {
  std::shared_ptr<const job_spec> spec;
  queue_policy policy;
  time_point arrived_at;
  /// Since when it has been known to this leader; if it was restored, since its
  /// acceptance. Clocks of daemons differ, so that only changes of the leader
  /// rely on the time of acceptance.
  time_point known_since;
  job_deadlines deadlines;
  /// Expected time from the start of each step to the end of the job.
  std::vector<milliseconds> remaining_chains;
  /// Expected processor time of a task of each step, in core milliseconds.
  std::vector<double> task_works;
  /// The open occurrences.
  std::deque<occurrence_state> occurrences;
  /// Complete occurrences of a recurring job that are not open any longer.
  occurrence_set completed;
  /// `completed` must be stored with the next commit.
  bool completed_dirty = false;
  /// Memory of an open occurrence, and how many may be open.
  std::size_t occurrence_bytes = 0;
  int max_open = 1;
  job_state state = job_state::queued;
  /// The state must be stored with the next commit.
  bool state_dirty = false;
  /// Beyond the rate of its organisation.
  bool surplus = false;
  bool cancelled = false;
  /// Number of the plan whose commit contains the final state; 0 before it. The
  /// job's progress may be removed only after `end_stored` is set, or a new
  /// leader would run the job again.
  std::int64_t end_plan = 0;
  bool end_stored = false;

  bool has_runs() const;
  bool is_open(int occurrence) const;
  /// @return number of the next occurrence to open; one that is not below
  ///   `total_occurrences` if there is none.
  int next_occurrence() const;
  int total_occurrences() const { return std::max(1, spec->repeat_count); }
};

/// Refers to one run of a task from the list of its worker's runs.
struct run_ref {
  step_state* step = nullptr;
  int index = 0;
  int number = 0;

  run_state& run() const;

  bool operator==(const run_ref&) const = default;
};

struct worker_state {
  worker_entry entry;
  bool listed = false;
  time_point unlisted_at;
  bool reachable = false;
  /// Start time of the process that reported last; 0 before the first report.
  unix_ms incarnation = 0;
  /// When that report was received.
  time_point reported_at;
  /// When the first report of `incarnation` was received, and when the entry
  /// last changed.
  time_point incarnation_seen_at;
  time_point entry_changed_at;
  /// It has not answered since its last report, or, if it has not reported,
  /// this or an earlier leader has tried to reach it.
  bool contact_lost = false;
  /// Start time of a process that has not reported, but is listed or has
  /// answered; 0 if none is known.
  unix_ms expected_incarnation = 0;
  /// When the list of workers last named a later process than `incarnation`.
  time_point restart_listed_at;
  lease_bound lease;
  model::resources reserved;
  /// Processor time that the best-effort tasks need for full speed, in
  /// thousandths of a core; not reserved.
  std::int64_t best_effort_cpu = 0;
  /// Processor time reserved for long-running tasks, in thousandths of a core;
  /// they use only a part of it.
  std::int64_t serving_cpu = 0;
  std::vector<run_ref> runs;
  /// Its last report lists runs that are not among `runs`. They take room until
  /// they have stopped.
  bool has_unknown_runs = false;
  worker_trust trust;
  pace_control pace;
  std::int64_t ends_applied = 0;
  std::int64_t ends_committing = 0;
  std::int64_t ends_stored = 0;

  model::resources free_resources() const {
    return entry.info.capacity - reserved;
  }
};

}  // namespace vanillaladder::batch::detail
