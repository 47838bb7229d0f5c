#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "batch/job.h"
#include "model/types.h"

namespace vanillaladder::batch {

/// Entry of a worker in the list of workers.
struct worker_entry {
  model::worker_info info;
  std::string service;
  std::vector<std::string> labels;
  /// Start time of the worker process; changes when the worker restarts under
  /// the same id.
  unix_ms incarnation = 0;
  /// Minimum time until a leaving worker terminates.
  milliseconds remaining_lifetime{0};
  /// Time until a recently started worker reaches full speed.
  milliseconds remaining_warm_up{0};

  bool operator==(const worker_entry&) const = default;
};

enum class end_reason {
  done,
  /// The task failed, by a fault of its own or of the worker.
  failed,
  stopped,
  lease_expired,
  /// The worker answered, but lists the run no longer; usually because it has
  /// restarted.
  not_listed,
  /// The worker did not answer until its lease must have ended.
  given_up,
  /// Another member of the gang ended.
  gang_broken,
  /// The other members of the gang did not start.
  gang_incomplete,
};

std::string_view name_of(end_reason reason);

/// A run that a worker reports as running.
struct reported_run {
  task_key task;
  int number = 0;
  std::string checkpoint;
  /// Completed share of the work in percent; 100 for a long-running task that
  /// is active.
  int progress = 0;
  /// Tail response time in ms for a serving task, otherwise the processor usage
  /// in thousandths of a core.
  std::int64_t measurement = 0;
};

/// A run that a worker reports as ended.
struct reported_end {
  /// Increases with each ended run within one incarnation of the worker.
  std::int64_t number = 0;
  task_key task;
  int run = 0;
  end_reason reason = end_reason::stopped;
  std::string checkpoint;
};

/// A worker without contact that may still have runs.
struct lost_worker {
  model::worker_id id;
  /// When no lease on it is valid any more.
  time_point lease_ends_at;
  /// The same if a later process has started on it that is not known yet; empty
  /// if the list does not tell, as that of an earlier version.
  std::optional<time_point> later_lease_ends_at = std::nullopt;

  bool operator==(const lost_worker&) const = default;
};

/// Status of all runs of a worker.
struct worker_report {
  unix_ms incarnation = 0;
  /// The worker's steady clock when it sent the report.
  milliseconds clock{0};
  time_point requested_at;
  time_point received_at;
  /// The local wall clock at `received_at`; 0 if not known.
  unix_ms received_wall = 0;
  std::vector<reported_run> running;
  std::vector<reported_end> ended;
  /// Whether `ended` contains all ends that are not stored. If not, a run that
  /// stands in neither list may have ended.
  bool lists_all_ends = true;
};

}  // namespace vanillaladder::batch
