#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/connection_limits.h"
#include "http/event_loop.h"
#include "http/message.h"

namespace vanillaladder::http {

/// Sends the response to one request; may be used later, on the loop's thread.
class responder {
 public:
  virtual ~responder() = default;
  /// Sends the response; later calls, and calls after the caller has
  /// disconnected, do nothing.
  virtual void respond(response answer) = 0;
  /// @return whether the caller is still connected.
  virtual bool connected() const = 0;
  /// Closes the connection without a response; does nothing after `respond`
  /// or once the caller has disconnected.
  virtual void abort() {}
  /// Calls `callback` once if the caller disconnects before the response has
  /// been sent.
  virtual void on_disconnect(std::function<void()> callback) = 0;
};

struct server_options {
  std::string address = "127.0.0.1";
  /// 0 picks a free port.
  std::uint16_t port = 0;
  std::size_t max_request_bytes = 1U << 20;
  connection_limits limits = {};
  /// Status of a request that is refused because memory is short. It has not
  /// run, but where callers repeat requests an earlier attempt may have.
  int refusal_status = 503;
  /// Called with the cause when a connection is closed or a request refused to
  /// keep the server within its limits.
  std::function<void(std::string_view cause)> on_limit = {};
};

/// An HTTP/1.1 server. It answers 413 to a body above `max_request_bytes`, 431
/// to headers above the limit, 411 to a chunked body and to a POST, PUT or
/// PATCH without a content length, 408 to a request that takes too long to
/// arrive, and `refusal_status` to one for which memory is short. None of these
/// has run.
///
/// The next request of a connection is parsed once the one before is answered.
class server {
 public:
  using handler =
      std::function<void(request, const std::shared_ptr<responder>&)>;

  /// Starts listening.
  /// @param loop must outlive the server.
  /// @return an `Unavailable` error if the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<server>> listen(
      event_loop& loop, const server_options& options, handler on_request);

  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// @return the port it listens on.
  std::uint16_t port() const;
  /// @return requests whose responses have not been sent, among them those that
  ///   are still arriving.
  std::size_t open_requests() const;
  /// Changes `max_request_bytes` for requests that begin later.
  void set_max_request_bytes(std::size_t bytes);
  /// Closes each connection after its next response instead of keeping it
  /// open; part of a graceful shutdown.
  void disable_keep_alive();

 private:
  struct impl;
  explicit server(std::shared_ptr<impl> state);
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::http
