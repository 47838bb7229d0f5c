#pragma once

#include <cstdint>
#include <iterator>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "batch/job.h"

namespace vanillaladder::batch {

struct start_order {
  model::worker_id worker;
  task_key task;
  int run = 0;
  std::shared_ptr<const job_spec> job;
  /// Checkpoint from which the task resumes; empty to start from the beginning.
  std::string checkpoint;
};

struct stop_order {
  model::worker_id worker;
  task_key task;
  int run = 0;
};

/// Limits a task to a percentage of its full speed.
struct pace_order {
  model::worker_id worker;
  task_key task;
  int run = 0;
  int percent = 100;
};

using order = std::variant<start_order, stop_order, pace_order>;

/// Result of a start order.
enum class start_outcome {
  /// The run exists or has existed on the worker.
  confirmed,
  /// The run does not exist and will not start.
  not_run,
  /// The worker lacks the resources; the run will not start.
  no_room,
  /// The worker currently refuses work; the run will not start.
  unhealthy,
  /// The run may exist or may still start.
  unknown,
};

/// A record of a keyed topic; an empty value removes the key.
struct topic_record {
  std::string key;
  std::string value;
};

/// Records that must be stored before the orders may be sent.
struct commit {
  /// Number of the plan that made it; rises with each plan.
  std::int64_t plan = 0;
  std::vector<topic_record> progress;
  std::vector<topic_record> jobs;
  std::vector<order> orders;

  bool empty() const { return progress.empty() && jobs.empty(); }
  /// Appends a later commit; its records must be stored after these.
  void append(commit&& later);
};

inline void commit::append(commit&& later) {
  plan = later.plan;
  auto move_all = [](auto& to, auto& from) {
    to.insert(to.end(), std::make_move_iterator(from.begin()),
              std::make_move_iterator(from.end()));
  };
  move_all(progress, later.progress);
  move_all(jobs, later.jobs);
  move_all(orders, later.orders);
}

}  // namespace vanillaladder::batch
