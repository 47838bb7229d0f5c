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
  /// Longest request and longest attempt; `limits.request_timeout_ms`.
  milliseconds request_timeout_ms{30000};
};

/// Proxies requests of callers and peers to backend servers.
///
/// Lives on one event loop thread and uses no locks. Decisions are made by
/// `request_machine`; this class performs their I/O.
class front {
 public:
  using forwarded_callback = std::function<void(http::response)>;

  /// @param loop, claims, peers, metrics must outlive the front.
  front(http::event_loop& loop, key_claims& claims, forwarder& peers,
        front_metrics& metrics, const front_limits& limits);
  ~front();
  front(const front&) = delete;
  front& operator=(const front&) = delete;

  /// Serves a caller's request; answers exactly once through `answer`.
  /// @param message `/<service>/...`, or any path with `x-service`.
  void handle(http::request message, std::shared_ptr<http::responder> answer);

  /// Serves a request forwarded by a peer; it is never queued for long,
  /// forwarded again, or claimed again (the sender holds the claim).
  /// @param remaining_deadline time left, measured by the sender.
  /// @param done called exactly once with a response that carries
  ///   `x-outcome`.
  void handle_forwarded(http::request message, milliseconds remaining_deadline,
                        forwarded_callback done);

  /// Replaces the view; takes effect for every send from now on.
  void update(const serving_view& view);

  /// Refuses new requests as `draining` and completes the accepted ones.
  /// @param idle called once when no request is left.
  void begin_drain(std::function<void()> idle);

  /// @return whether a view was received, is fresh now, and the daemon is
  ///   not being drained.
  bool ready() const;

  /// @return slots that may take a forwarded request now, by service.
  std::map<std::string, unsigned> free_slots() const;

  /// @return exchanges in progress by backend server, those beyond a smaller
  ///   new grant included; servers without any are left out.
  std::map<model::backend_id, unsigned> in_flight() const;

  /// @return requests accepted and not yet finished.
  std::size_t open_requests() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::serving
