#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/shard_messages.h"

namespace vanillaladder::bench {

using model::milliseconds;
using model::time_point;

/// What a task really needs, against what its job declares.
struct task_need {
  model::class_id job_class;
  model::resources use;
  /// Run time on an otherwise empty worker, in ms.
  double alone_ms = 0;
  /// Part of the memory that it uses at its start; the rest grows evenly.
  double memory_part_at_start = 1;
};

/// Slowdown of the first class by one neighbour of the second, as a fraction.
using slowdown_table =
    std::map<model::class_id, std::map<model::class_id, double>>;

/// A worker that runs tasks in virtual time.
///
/// Tasks share its processors if they use more than it has, and slow each
/// other down per pair of classes. It checks leases and nothing else.
class worker {
 public:
  struct run {
    external::task_start start;
    external::task_state state = external::task_state::running;
    task_need need;
    time_point since;
    double done_ms = 0;
    int throttle = 100;
    /// Progress per ms, now and before the last change of the tasks.
    double rate = 1;
    double rate_before = 1;
    /// Part of its processors that it gets, and the core ms used so far.
    double share = 1;
    double cpu_ms = 0;
  };

  model::worker_info info;
  const slowdown_table* slowdowns = nullptr;
  bool fails_everything = false;
  std::map<std::string, time_point> leases;
  std::map<control::attempt_id, run> runs;
  std::vector<time_point> starts;
  std::size_t stopped = 0;
  /// Processor time used and work done by tasks on this worker, in core ms.
  double cpu_ms = 0;
  double work_ms = 0;
  /// Largest excess of the declared and of the used sizes over the capacity.
  model::resources declared_excess;
  model::resources used_excess;

  /// Moves all tasks forward to `now`.
  /// @return attempts that have finished.
  std::vector<run> advance(time_point now);
  /// @return when the next task finishes if nothing changes.
  [[nodiscard]] std::optional<time_point> next_end() const;

  /// @return whether the lease allowed the start.
  bool start(const external::task_start& task, const task_need& need,
             time_point now);
  bool stop(const control::attempt_id& id, time_point now);
  bool throttle(const control::attempt_id& id, int percent, time_point now);
  run* running(const control::attempt_id& id);
  [[nodiscard]] std::size_t running_count() const;
  [[nodiscard]] external::worker_report report(time_point now) const;

 private:
  void tasks_changed(time_point now);
  model::resources note_use();

  time_point updated_;
  time_point changed_;
};

}  // namespace vanillaladder::bench
