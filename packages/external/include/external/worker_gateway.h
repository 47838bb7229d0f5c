#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>

#include "batch/orders.h"
#include "batch/worker.h"
#include "model/types.h"

namespace vanillaladder::external {

/// Authorization of a call to a worker.
struct call_permit {
  /// Fencing token; a worker refuses one that is lower than the highest seen.
  model::epoch token = 0;
  /// Called right before the call is written to the network; if it returns
  /// false, the call is not sent.
  std::function<bool()> may_send = {};
};

/// Authorization of a start.
struct start_permit {
  call_permit call;
  /// Time on the worker's clock until which its runs may continue.
  std::chrono::milliseconds deadline{0};
};

/// Parameters of a request for a worker's report.
struct report_request {
  call_permit permit;
  /// Extends the lease of all runs until this time on the worker's clock; 0
  /// leaves the lease unchanged.
  std::chrono::milliseconds deadline{0};
  /// The worker may discard ended runs up to this sequence number.
  std::int64_t stored_end = 0;
  /// How long the worker may wait for another run to end before it answers.
  std::chrono::milliseconds wait{0};
};

/// A worker's answer to an order.
enum class order_answer {
  done,
  /// The worker has seen a higher token.
  fenced,
  /// The run number is not higher than that of a run that was stopped or has
  /// ended on the worker.
  stale_run,
  /// The deadline has passed on the worker's clock.
  too_late,
  no_room,
  /// The ticket for the worker is missing or has expired.
  no_ticket,
  /// The worker currently refuses work.
  unhealthy,
  /// A different worker answered at this address.
  other_worker,
  /// The worker rejected the order as invalid.
  invalid,
  /// The order was not sent.
  not_sent,
  /// The outcome is unknown: the order may have been or may still be executed.
  unanswered,
};

/// Sends orders to workers and requests their reports.
///
/// Each callback runs once, on the event loop's thread and never before the
/// call returns, unless the gateway is destroyed first.
class worker_gateway {
 public:
  using report_callback =
      std::function<void(absl::StatusOr<batch::worker_report>)>;
  using order_callback = std::function<void(order_answer)>;

  virtual ~worker_gateway() = default;

  virtual void report(const model::worker_info& worker,
                      const report_request& request,
                      std::chrono::milliseconds timeout,
                      report_callback done) = 0;
  virtual void start(const model::worker_info& worker,
                     const batch::start_order& order,
                     const start_permit& permit,
                     std::chrono::milliseconds timeout,
                     order_callback done) = 0;
  virtual void stop(const model::worker_info& worker,
                    const batch::stop_order& order, const call_permit& permit,
                    std::chrono::milliseconds timeout, order_callback done) = 0;
  virtual void pace(const model::worker_info& worker,
                    const batch::pace_order& order, const call_permit& permit,
                    std::chrono::milliseconds timeout, order_callback done) = 0;
  /// Closes the connections to a worker. Pending calls end as failed.
  virtual void disconnect(const model::worker_id& worker) = 0;
};

}  // namespace vanillaladder::external
