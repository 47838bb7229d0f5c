#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "batch/disturbance_model.h"
#include "batch/job.h"
#include "batch/job_records.h"
#include "batch/lease_bound.h"
#include "batch/objective.h"
#include "batch/pace_control.h"
#include "batch/worker.h"
#include "batch/worker_trust.h"

namespace vanillaladder::batch::detail {

struct worker_state;
struct job_state_entry;

enum class run_phase {
  /// Stored, and ordered or about to be; not confirmed by the worker.
  starting,
  running,
  /// Ordered to stop; its resources stay reserved until it has ended.
  stopping,
};

struct run_state {
  int number = 0;
  worker_state* worker = nullptr;
  unix_ms incarnation = 0;
  run_phase phase = run_phase::starting;
  time_point since;
  /// When the worker answered the last start or stop order; a report asked
  /// for later shows the run if it is there.
  time_point answered;
  bool is_answered = false;
  /// Share of the task's work that is done; 100 for a lasting task at work.
  int progress = 0;
  time_point progressed_at;
  int ordered_percent = 100;
  /// The pace before, and when it changed.
  int earlier_percent = 100;
  time_point paced_at;
  /// Since when a filling task has been held; nothing if it works.
  std::optional<time_point> held_since;
  std::int64_t measurement = 0;
  /// Of a serving task: its headroom without filling tasks.
  estimate headroom;
};

struct task_state {
  bool done = false;
  int last_run = 0;
  int failures = 0;
  std::string checkpoint;
  std::vector<run_state> runs;
  model::worker_id last_failed_on;
  time_point not_before;

  run_state* find_run(int number);
  bool waits() const { return !done && runs.empty(); }
};

struct step_state {
  job_state_entry* job = nullptr;
  const step_spec* spec = nullptr;
  step_key key;
  image_number image = 0;
  std::vector<task_state> tasks;
  int done = 0;
  int waiting = 0;
  bool dirty = false;
  /// When its tasks could first start.
  time_point ready_since;
  /// The last round of placement that has looked at it.
  std::int64_t round = 0;
  /// When a log line last said why its tasks wait.
  time_point explained_at;

  bool complete() const { return done == spec->count; }
};

struct occurrence_state {
  int number = 0;
  std::vector<step_state> steps;

  bool complete() const;
};

struct job_state_entry {
  std::shared_ptr<const job_spec> spec;
  queue_policy policy;
  time_point arrival;
  objective due;
  std::deque<occurrence_state> occurrences;
  int occurrences_opened = 0;
  int occurrences_done = 0;
  job_state state = job_state::queued;
  /// State to be stored with the next commit.
  bool state_dirty = false;
  bool cancelled = false;
  /// The end is part of the commit in flight, or of an earlier one. Only what
  /// is known to be stored may take the job's progress with it.
  bool end_committing = false;
  bool end_stored = false;

  bool has_runs() const;
};

/// One task's run as its worker's side sees it.
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
  bool reachable = false;
  unix_ms incarnation = 0;
  lease_bound lease;
  model::resources reserved;
  /// Processor that the filling tasks would like to use.
  std::int64_t fill_cpu = 0;
  /// Processor reserved for serving tasks, of which they use a part.
  std::int64_t serving_cpu = 0;
  std::vector<run_ref> runs;
  worker_trust trust;
  pace_control pace;
  std::int64_t ends_applied = 0;
  std::int64_t ends_committing = 0;
  std::int64_t ends_stored = 0;

  model::resources room() const { return entry.info.capacity - reserved; }
};

}  // namespace vanillaladder::batch::detail
