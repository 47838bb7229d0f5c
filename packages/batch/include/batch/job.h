#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/types.h"

/// Decisions on batch jobs: which task runs, stops or is throttled where.
namespace vanillaladder::batch {

using model::milliseconds;
using model::time_point;

/// A point on the wall clock, in milliseconds since 1970.
using unix_ms = std::int64_t;

/// One step of a job: tasks that are alike.
struct step_spec {
  int count = 0;
  /// Needed by each task. The processor of a `best_effort` step is not
  /// reserved.
  model::resources required_resources = {};
  /// Rough run time of a task.
  milliseconds estimated_run_time{0};
  /// Numbers of the steps that must have ended first.
  std::vector<int> depends_on = {};
  bool checkpoints = false;
  /// The tasks run at the same time or not at all.
  bool gang = false;
  /// The tasks slow down when spread over racks.
  bool same_rack = false;
  /// Copies of a task may run at the same time.
  bool speculative = false;
  /// The tasks run until the job is cancelled.
  bool long_running = false;
  /// The tasks use what others leave of a worker's processors.
  bool best_effort = false;
  std::string required_label = {};
  std::string data_rack = {};
  /// Tasks of one image behave alike.
  std::string image = {};
  /// Most tasks of the step on one worker; 0 is no limit.
  int per_worker_limit = 0;
  /// Tasks that may be away at once by the system's own doing.
  int max_unavailable = 0;
  /// Limit of the tail response time of a serving task; 0 is none.
  milliseconds response_time_target{0};

  bool operator==(const step_spec&) const = default;
};

/// What the operators' configuration says of a queue.
struct queue_policy {
  /// Service whose workers run the queue's tasks.
  std::string service;
  /// 0 comes first.
  int priority = 0;
  /// A task that has failed so often fails its job; 0 is no limit.
  int max_attempts = 0;
  /// A job is on time within `stretch` times its longest chain of work and
  /// `target_latency` more.
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
  /// How often the steps run; 0 is once, at once.
  int repeat_count = 0;
  unix_ms first_run_at = 0;
  milliseconds interval{0};
  unix_ms accepted_at = 0;
  /// The queue's policy at acceptance, for a queue that has been removed.
  queue_policy policy;

  bool operator==(const job_spec&) const = default;
};

enum class job_state { queued, running, completed, failed, cancelled };

/// @return whether a job in `state` will never run again.
inline bool has_ended(job_state state) {
  return state == job_state::completed || state == job_state::failed ||
         state == job_state::cancelled;
}

/// @return "queued", "running" and so on.
std::string_view name_of(job_state state);

/// Names a step of one occurrence of a job.
struct step_key {
  model::job_id job;
  int occurrence = 0;
  int step = 0;

  auto operator<=>(const step_key&) const = default;
};

/// Names a task of one occurrence of a job.
struct task_key {
  step_key step;
  int index = 0;

  auto operator<=>(const task_key&) const = default;
};

/// @return the key as "ID.K.STEP.INDEX".
std::string to_string(const task_key& key);
/// @return the key that `to_string` wrote, or nothing.
std::optional<task_key> parse_task_key(std::string_view text);

/// @return the problem with a job that no worker could ever run, or an empty
///   string.
std::string find_problem(const job_spec& spec);

}  // namespace vanillaladder::batch
