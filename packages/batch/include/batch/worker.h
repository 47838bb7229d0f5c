#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "batch/job.h"
#include "model/types.h"

namespace vanillaladder::batch {

/// A worker as it describes itself in the list of workers.
struct worker_entry {
  model::worker_info info;
  std::string service;
  std::vector<std::string> labels;
  /// Start of its present life; a restart under the same id has a new one.
  unix_ms incarnation = 0;
  /// While it leaves: the least time until it is gone.
  milliseconds remaining_lifetime{0};
  /// How much longer it stays slow after its start.
  milliseconds remaining_warm_up{0};

  bool operator==(const worker_entry&) const = default;
};

enum class end_reason {
  done,
  /// By the task's own fault or the worker's.
  failed,
  stopped,
  lease_expired,
  /// Another member of the gang ended.
  gang_broken,
  /// The other members of the gang did not come.
  gang_incomplete,
};

std::string_view name_of(end_reason reason);

/// A run that a worker reports as present.
struct reported_run {
  task_key task;
  int number = 0;
  std::string checkpoint;
  /// Share of the work that is done, in percent; 100 for a lasting task that
  /// is at work.
  int progress = 0;
  /// Tail response time in ms of a serving task; otherwise the processor in
  /// use, in thousandths of a core.
  std::int64_t measurement = 0;
};

/// A run that a worker reports as ended.
struct reported_end {
  /// Rises with each end within one life of the worker.
  std::int64_t number = 0;
  task_key task;
  int run = 0;
  end_reason reason = end_reason::stopped;
  std::string checkpoint;
};

/// What a worker says of all its runs.
struct worker_report {
  unix_ms incarnation = 0;
  /// Its steady clock when it answered.
  milliseconds clock{0};
  time_point requested_at;
  time_point received_at;
  std::vector<reported_run> running;
  std::vector<reported_end> ended;
};

}  // namespace vanillaladder::batch
