#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>

#include "batch/orders.h"
#include "batch/worker.h"
#include "model/types.h"

namespace vanillaladder::external {

/// Permits an order at a worker.
struct order_permit {
  /// Fencing token; a worker refuses one that is lower than the highest seen.
  model::epoch token = 0;
  /// Until when on the worker's clock its runs may go on.
  std::chrono::milliseconds deadline{0};
};

struct report_request {
  model::epoch token = 0;
  /// Extends the lease of all runs until this time on the worker's clock; 0
  /// leaves it.
  std::chrono::milliseconds deadline{0};
  /// The worker may forget the ends up to this number.
  std::int64_t stored_end = 0;
  /// How long the worker may wait for a new end before it answers.
  std::chrono::milliseconds wait{0};
};

/// A worker's answer to an order.
enum class order_answer {
  done,
  /// A higher token has been seen there.
  fenced,
  /// The run is not higher than one that was stopped or has ended there.
  stale_run,
  /// The deadline has passed on the worker's clock.
  too_late,
  no_room,
  /// The ticket for the worker is missing or has lapsed.
  no_ticket,
  /// The worker refuses work at present.
  unhealthy,
  /// Another worker answers at this address.
  other_worker,
  /// The worker takes the order for invalid.
  invalid,
  /// The order was not sent.
  not_sent,
  /// The order may have been carried out, or may still be.
  unanswered,
};

/// Orders to workers and their reports.
///
/// Callbacks run once, on the loop's thread and never inside the call, unless
/// the gateway is destroyed first.
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
                     const order_permit& permit,
                     std::chrono::milliseconds timeout,
                     order_callback done) = 0;
  virtual void stop(const model::worker_info& worker,
                    const batch::stop_order& order, model::epoch token,
                    std::chrono::milliseconds timeout, order_callback done) = 0;
  virtual void pace(const model::worker_info& worker,
                    const batch::pace_order& order, model::epoch token,
                    std::chrono::milliseconds timeout, order_callback done) = 0;
  /// Closes the connections to a worker.
  virtual void disconnect(const model::worker_id& worker) = 0;
};

}  // namespace vanillaladder::external
