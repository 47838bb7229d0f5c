#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "batch/orders.h"
#include "batch/scheduler.h"
#include "batch/worker.h"
#include "dispatch/reporter.h"
#include "external/worker_gateway.h"
#include "http/event_loop.h"
#include "model/types.h"

namespace vanillaladder::dispatch {

struct link_options {
  /// Duration of the leases given to workers; at most what a worker grants.
  std::chrono::milliseconds lease_duration{6000};
  /// Maximum time for which a report request waits for a run to end.
  std::chrono::milliseconds report_wait{1000};
  /// The same for a worker shared by serving and best-effort tasks.
  std::chrono::milliseconds sensitive_report_wait{500};
  /// Pause between a report and the next request, so that runs that end at
  /// about the same time share one report.
  std::chrono::milliseconds report_pause{20};
  /// Maximum pause while reported ends are not stored. Until they are, a worker
  /// answers each request at once.
  std::chrono::milliseconds unstored_ends_pause{300};
  /// Timeout of an order, and of a report beyond its wait. A healthy worker
  /// answers within a few milliseconds.
  std::chrono::milliseconds answer_limit{400};
  /// Number of attempts before the outcome of a start counts as unknown.
  int start_attempts = 2;
  /// Pause before an order or report request is retried.
  std::chrono::milliseconds retry_pause{150};
  /// How long after an order without an answer it may still be executed, and
  /// how often the pace that holds is ordered again meanwhile. Callers notice
  /// late serving tasks after 4 s.
  std::chrono::milliseconds late_order_limit{13000};
  std::chrono::milliseconds pace_repeat_interval{2000};
  /// Pause between report requests to a worker that does not answer.
  std::chrono::milliseconds unreachable_pause{400};
};

/// What the leader may send; asked again whenever a call is written.
struct link_permissions {
  /// Returns whether orders may be sent now.
  std::function<bool()> may_order;
  /// Returns whether tasks may start now.
  std::function<bool()> may_start;
  /// Returns whether a lease on the worker may be ordered; always if empty.
  std::function<bool(std::string_view worker)> may_extend_lease = {};
};

/// The leader's communication with all workers: reports, leases and orders.
class worker_links {
 public:
  struct listener {
    /// Called when the scheduler has new input and should plan.
    std::function<void()> on_change;
    /// Called when a worker has seen a later leader.
    std::function<void()> on_superseded;
  };

  /// @param epoch number of this leader, which its fencing tokens carry.
  worker_links(http::event_loop& loop, external::worker_gateway& gateway,
               batch::scheduler& scheduler, model::epoch epoch,
               const link_options& options, link_permissions permissions,
               listener handlers, reporter report);
  ~worker_links();
  worker_links(const worker_links&) = delete;
  worker_links& operator=(const worker_links&) = delete;

  /// Adds a worker or updates its entry, and requests its reports.
  void update(const batch::worker_entry& entry);
  /// Requests the reports that were delayed until reported ends are stored.
  /// Must be called whenever ends have been stored.
  void on_ends_stored();
  /// Sends an order. A stop is retried until it is answered. A start is held
  /// while none may be sent, and dropped once its ground no longer holds.
  void send(const batch::order& order);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::dispatch
