#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
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
  /// Longest lease that a worker grants.
  std::chrono::milliseconds lease_duration{6000};
  /// Longest wait of a report for a new end.
  std::chrono::milliseconds report_wait{1000};
  /// The same where serving and filling tasks share a worker.
  std::chrono::milliseconds sensitive_report_wait{500};
  /// Limit of an order's answer, and of a report's beyond its wait. A sound
  /// worker answers within a few milliseconds.
  std::chrono::milliseconds answer_limit{400};
  /// A start is sent so often before its outcome counts as unknown.
  int start_attempts = 2;
  /// Pause before an order or report is repeated.
  std::chrono::milliseconds retry_pause{150};
  /// Pause between the reports of a worker that does not answer.
  std::chrono::milliseconds unreachable_pause{400};
};

/// The leader's exchange with all workers: reports, leases and orders.
class worker_links {
 public:
  struct listener {
    /// Something arrived that the scheduler should act on.
    std::function<void()> on_change;
    /// A worker has seen a later leader.
    std::function<void()> on_superseded;
  };

  /// @param may_order whether orders may be sent now.
  worker_links(http::event_loop& loop, external::worker_gateway& gateway,
               batch::scheduler& scheduler, model::epoch token,
               const link_options& options, std::function<bool()> may_order,
               listener handlers, reporter report);
  ~worker_links();
  worker_links(const worker_links&) = delete;
  worker_links& operator=(const worker_links&) = delete;

  /// Takes a worker's present entry and asks for its reports.
  void update(const batch::worker_entry& entry);
  /// Sends an order; a stop is repeated until it is answered.
  void send(const batch::order& order);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::dispatch
