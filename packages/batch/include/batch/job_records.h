#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

#include "batch/job.h"

/// Keys and values of the stored records of jobs.
namespace vanillaladder::batch {

/// Topic of job specifications, cancellations and states.
inline constexpr std::string_view jobs_topic = "keyed.jobs";
/// Topic of the progress of steps; only the leader reads and writes it.
inline constexpr std::string_view progress_topic = "keyed.progress";

enum class record_kind { job, cancellation, state };

/// Key of a record in the jobs topic.
struct job_record_key {
  record_kind kind = record_kind::job;
  model::job_id job;

  bool operator==(const job_record_key&) const = default;
};

std::string to_string(const job_record_key& key);
std::optional<job_record_key> parse_job_record_key(std::string_view text);

/// State of a job, known to every daemon.
struct job_status {
  job_state state = job_state::queued;
  unix_ms changed_at = 0;
  std::string queue;

  bool operator==(const job_status&) const = default;
};

/// A run that may still exist on a worker.
struct run_record {
  int number = 0;
  model::worker_id worker;
  /// Start time of the worker process; distinguishes it from later processes
  /// under the same id.
  unix_ms incarnation = 0;
  /// No later process can start the run; see `run_state::is_settled`.
  bool is_settled = false;

  bool operator==(const run_record&) const = default;
};

/// Progress of a task that has been started at least once.
struct task_record {
  int index = 0;
  bool done = false;
  int last_run = 0;
  int failures = 0;
  std::string checkpoint;
  std::vector<run_record> runs;

  bool operator==(const task_record&) const = default;
};

/// Progress of consecutive tasks of a step, as one record holds it.
struct step_progress {
  std::vector<task_record> tasks;
  /// When the record was written; 0 if unknown, as in those of earlier
  /// versions.
  unix_ms stored_at = 0;
};

std::string to_string(const step_key& key);
std::optional<step_key> parse_step_key(std::string_view text);

/// Tasks whose progress shares one record. With the longest ids and checkpoints
/// that decoders let pass, a record stays below half of what a store takes.
constexpr int tasks_per_progress_record = 128;

/// Key of a record with the progress of consecutive tasks of a step.
struct progress_key {
  step_key step;
  /// Number of the record among those of its step. Records of earlier versions
  /// have the key of part 0 and hold all tasks.
  int part = 0;

  bool operator==(const progress_key&) const = default;
};

/// @return number of the record that holds the progress of a task.
constexpr int progress_part_of(int task) {
  return task / tasks_per_progress_record;
}

/// @return "ID/K/STEP" for part 0, otherwise "ID/K/STEP/PART".
std::string to_string(const progress_key& key);
std::optional<progress_key> parse_progress_key(std::string_view text);

/// Key of the record with the complete occurrences of a recurring job, whose
/// progress is not stored any longer.
struct completed_key {
  model::job_id job;

  bool operator==(const completed_key&) const = default;
};

/// @return "ID/done".
std::string to_string(const completed_key& key);
std::optional<completed_key> parse_completed_key(std::string_view text);

std::string encode(const job_spec& spec);
std::string encode(const job_status& status);
std::string encode(const std::vector<task_record>& tasks,
                   unix_ms stored_at = 0);

/// The decoding functions return `DataLoss` if the value is malformed.
absl::StatusOr<job_spec> decode_job(const model::job_id& id,
                                    std::string_view value);
absl::StatusOr<job_status> decode_status(std::string_view value);
absl::StatusOr<step_progress> decode_progress(std::string_view value);

}  // namespace vanillaladder::batch
