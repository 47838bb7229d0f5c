#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "http/event_loop.h"
#include "http/message.h"
#include "http/server.h"
#include "serving/ports.h"
#include "serving/view.h"

namespace vanillaladder::serving {

/// Limits from the daemon's settings.
struct front_limits {
  std::size_t max_response_bytes = 16U << 20;
  /// Upper bound of request and attempt durations, from
  /// `limits.request_timeout_ms`.
  milliseconds request_timeout_ms{30000};
};

/// Front end: proxies requests of callers and peers to backend servers.
///
/// Runs on a single event loop thread and uses no locks. `request_machine`
/// makes the decisions; this class performs the I/O.
class front {
 public:
  using forwarded_callback = std::function<void(http::response)>;

  /// @param loop, claims, peers, metrics must outlive the front.
  front(http::event_loop& loop, key_claims& claims, forwarder& peers,
        front_metrics& metrics, const front_limits& limits);
  ~front();
  front(const front&) = delete;
  front& operator=(const front&) = delete;

  /// Serves a caller's request and responds exactly once through `answer`.
  /// @param message a request for `/<service>/...`, or for any path if it has
  ///   an `x-service` header.
  void handle(http::request message, std::shared_ptr<http::responder> answer);

  /// Serves a request forwarded by a peer. It does not wait for a slot, is not
  /// forwarded again, and claims no key, since the sender holds the claim.
  /// @param remaining_deadline time left until the deadline, as measured by the
  ///   sender.
  /// @param done called exactly once with a response that carries
  ///   `x-outcome`.
  void handle_forwarded(http::request message, milliseconds remaining_deadline,
                        forwarded_callback done);

  /// Replaces the view; applies to everything sent from now on.
  void update(const serving_view& view);

  /// Starts a graceful shutdown: refuses new requests as `draining` and
  /// completes those already accepted.
  /// @param idle called once, when no request is open.
  void begin_drain(std::function<void()> idle);

  /// @return whether a view has been received and is fresh, and the daemon is
  ///   not draining.
  bool ready() const;

  /// @return the slots available to forwarded requests, by service.
  std::map<std::string, unsigned> free_slots() const;

  /// @return the exchanges in progress by backend server, including those that
  ///   exceed a reduced grant; servers without any are omitted.
  std::map<model::backend_id, unsigned> in_flight() const;

  /// @return the number of requests accepted and not yet completed.
  std::size_t open_requests() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::serving
