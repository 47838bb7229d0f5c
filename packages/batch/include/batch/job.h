#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/types.h"

/// Scheduling of batch jobs: placement, pacing and stopping of tasks.
namespace vanillaladder::batch {

using model::milliseconds;
using model::time_point;

/// Wall clock time in milliseconds since the Unix epoch.
using unix_ms = std::int64_t;

/// One step of a job, consisting of identical tasks.
struct step_spec {
  int count = 0;
  /// Resources of each task. The processor time of a `best_effort` step is not
  /// reserved.
  model::resources required_resources = {};
  /// Estimated run time of a task.
  milliseconds estimated_run_time{0};
  /// Indices of the steps that must complete before this one starts.
  std::vector<int> depends_on = {};
  bool checkpoints = false;
  /// All tasks run at the same time or none does (gang scheduling).
  bool gang = false;
  /// The tasks run slower when spread over several racks.
  bool same_rack = false;
  /// Copies of a task may run at the same time.
  bool speculative = false;
  /// The tasks run until the job is cancelled.
  bool long_running = false;
  /// The tasks use only processor time that other tasks leave idle.
  bool best_effort = false;
  std::string required_label = {};
  std::string data_rack = {};
  /// Image of the tasks; tasks of the same image are assumed to interfere with
  /// others in the same way.
  std::string image = {};
  /// Maximum number of tasks of the step on one worker; 0 means no limit.
  int per_worker_limit = 0;
  /// Maximum number of tasks that the system may make unavailable at a time.
  int max_unavailable = 0;
  /// Limit on the tail response time of a serving task; 0 means no limit.
  milliseconds response_time_target{0};

  bool operator==(const step_spec&) const = default;
};

/// Configuration of a queue.
struct queue_policy {
  /// Service whose workers run the queue's tasks.
  std::string service;
  /// 0 is the highest priority.
  int priority = 0;
  /// Number of failures of one task that fails its job; 0 means no limit.
  int max_attempts = 0;
  /// A job is on time if it completes within `stretch` times the length of its
  /// critical path plus `target_latency`.
  double stretch = 1;
  milliseconds target_latency{0};

  bool operator==(const queue_policy&) const = default;
};

/// A job as its caller submitted it.
struct job_spec {
  model::job_id id;
  std::string queue;
  /// Passed to every task unchanged.
  std::string payload;
  std::vector<step_spec> steps;
  /// Number of occurrences of a recurring job; 0 means that the job runs once,
  /// immediately.
  int repeat_count = 0;
  unix_ms first_run_at = 0;
  milliseconds interval{0};
  unix_ms accepted_at = 0;
  /// Organisation that submitted the job; empty if none is known.
  std::string organisation = {};
  /// The queue's policy at acceptance, used if the queue is removed.
  queue_policy policy;

  bool operator==(const job_spec&) const = default;
};

enum class job_state { queued, running, completed, failed, cancelled };

/// @return whether `state` is final.
inline bool has_ended(job_state state) {
  return state == job_state::completed || state == job_state::failed ||
         state == job_state::cancelled;
}

/// @return "queued", "running" and so on.
std::string_view name_of(job_state state);

/// Identifies a step of one occurrence of a job.
struct step_key {
  model::job_id job;
  int occurrence = 0;
  int step = 0;

  auto operator<=>(const step_key&) const = default;
};

/// Identifies a task of one occurrence of a job.
struct task_key {
  step_key step;
  int index = 0;

  auto operator<=>(const task_key&) const = default;
};

/// @return the key as "ID.K.STEP.INDEX".
std::string to_string(const task_key& key);
/// Parses the format of `to_string`.
/// @return the key, or nothing if the text is invalid.
std::optional<task_key> parse_task_key(std::string_view text);

/// Limits of a job. The state of a job is kept in memory in proportion to its
/// tasks, and each leader loads it, so one job must not fill the memory.
constexpr int max_tasks_per_job = 50'000;
constexpr int max_occurrences = 100'000;
constexpr milliseconds max_estimated_run_time = std::chrono::hours(24 * 365);
constexpr unix_ms max_unix_time = 1'000'000'000'000'000;
constexpr milliseconds max_interval = std::chrono::hours(24 * 365);
/// Limit of each resource of a task, in its unit; above that of any worker.
constexpr std::int64_t max_task_resource = 1'000'000'000;

/// Validates a job.
/// @return a description of the first problem, or an empty string if the job is
///   valid.
std::string find_problem(const job_spec& spec);

}  // namespace vanillaladder::batch
