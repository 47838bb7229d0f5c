#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "model/types.h"

namespace vanillaladder::external {

using lease_id = std::string;

/// Network address of a worker.
struct worker_address {
  model::worker_id id;
  std::string address;
  std::uint16_t port = 0;
};

/// One attempt to run a task.
struct attempt_id {
  std::string task;
  std::uint32_t attempt = 0;

  auto operator<=>(const attempt_id&) const = default;
};

/// Parameters of a task start.
struct task_start {
  lease_id lease;
  attempt_id id;
  model::resources size;
  /// Interpreted only by the worker.
  std::string command;
  /// Checkpoint of the previous attempt; empty to start from the beginning.
  std::string checkpoint;
};

enum class task_state { running, finished, failed, stopped };

/// Resource usage measured by a worker `age` ago.
struct usage_report {
  model::resources used;
  std::chrono::milliseconds age{0};
  /// Run time in percent of the run time without other tasks on the worker; 0
  /// if not measured.
  std::int64_t slowdown_percent = 0;
};

/// State of one attempt on a worker.
struct task_report {
  attempt_id id;
  task_state state = task_state::running;
  lease_id lease;
  std::string checkpoint;
  usage_report usage;
};

/// A lease that a worker has granted.
struct lease_report {
  lease_id lease;
  std::string holder;
  /// Time until expiry by the worker's clock.
  std::chrono::milliseconds remaining{0};
};

/// Leases, tasks and usage of a worker.
struct worker_report {
  /// Leases that have neither expired nor been deleted.
  std::vector<lease_report> leases;
  /// Running attempts and unacknowledged ended ones.
  std::vector<task_report> tasks;
  usage_report usage;
};

/// Manages leases and tasks on workers.
///
/// Each callback runs exactly once, on the event loop's thread and never before
/// the call returns, unless the service is destroyed first. Errors: see
/// `possibly_sent`; `FailedPrecondition` means that the worker refused because
/// of the lease, `NotFound` that it does not know the lease, task or attempt,
/// and `Unimplemented` that it does not support the call.
class worker_service {
 public:
  using status_callback = std::function<void(absl::Status)>;
  using lease_callback = std::function<void(absl::StatusOr<lease_id>)>;
  using checkpoint_callback = std::function<void(absl::StatusOr<std::string>)>;
  using report_callback = std::function<void(absl::StatusOr<worker_report>)>;

  virtual ~worker_service() = default;

  /// Acquires a new lease.
  virtual void acquire_lease(const worker_address& worker,
                             const std::string& holder,
                             std::chrono::milliseconds duration,
                             lease_callback done) = 0;
  /// Extends a lease by its duration from now.
  virtual void renew_lease(const worker_address& worker, const lease_id& lease,
                           status_callback done) = 0;
  /// Deletes a lease. The worker stops the tasks that still run under it.
  virtual void delete_lease(const worker_address& worker, const lease_id& lease,
                            status_callback done) = 0;
  /// Starts a task. The worker checks the lease but not the task size.
  virtual void start(const worker_address& worker, const task_start& task,
                     status_callback done) = 0;
  /// Moves a running task to another lease.
  virtual void adopt(const worker_address& worker, const attempt_id& id,
                     const lease_id& lease, status_callback done) = 0;
  /// Requests a checkpoint of a running task.
  /// @param done gets the checkpoint.
  virtual void checkpoint(const worker_address& worker, const attempt_id& id,
                          checkpoint_callback done) = 0;
  /// Limits a running task to a share of its processor allocation.
  /// @param percent 1 to 100; 100 removes the limit.
  virtual void throttle(const worker_address& worker, const attempt_id& id,
                        int percent, status_callback done) = 0;
  /// Checkpoints and stops a task. The task list reports when it has ended.
  virtual void stop(const worker_address& worker, const attempt_id& id,
                    status_callback done) = 0;
  /// Removes an ended attempt from the task list.
  virtual void acknowledge_end(const worker_address& worker,
                               const attempt_id& id, status_callback done) = 0;
  /// Lists the leases and tasks of a worker.
  virtual void list(const worker_address& worker, report_callback done) = 0;
};

}  // namespace vanillaladder::external
