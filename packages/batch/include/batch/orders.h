#pragma once

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
  /// From which the task resumes; empty to begin anew.
  std::string checkpoint;
};

struct stop_order {
  model::worker_id worker;
  task_key task;
  int run = 0;
};

/// Lets a task work at a share of its speed.
struct pace_order {
  model::worker_id worker;
  task_key task;
  int run = 0;
  int percent = 100;
};

using order = std::variant<start_order, stop_order, pace_order>;

/// What became of a start.
enum class start_outcome {
  /// The run is there, or has been.
  confirmed,
  /// It is not there and will not come.
  not_run,
  /// The worker has no room for it; it will not come.
  no_room,
  /// The worker refuses work at present; it will not come.
  unhealthy,
  /// It may be there or come later.
  unknown,
};

/// A record for a keyed topic; an empty value removes the key.
struct topic_record {
  std::string key;
  std::string value;
};

/// What has to be stored before its orders may be sent.
struct commit {
  std::vector<topic_record> progress;
  std::vector<topic_record> jobs;
  std::vector<order> orders;

  bool empty() const { return progress.empty() && jobs.empty(); }
  /// Appends what has to be stored after this.
  void append(commit&& later);
};

inline void commit::append(commit&& later) {
  auto move_all = [](auto& to, auto& from) {
    to.insert(to.end(), std::make_move_iterator(from.begin()),
              std::make_move_iterator(from.end()));
  };
  move_all(progress, later.progress);
  move_all(jobs, later.jobs);
  move_all(orders, later.orders);
}

}  // namespace vanillaladder::batch
