#pragma once

#include <absl/status/status.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "http/event_loop.h"
#include "http/message.h"

namespace vanillaladder::http {

/// How far an exchange got before it failed.
enum class failure_phase {
  /// No byte of the request was written; the peer cannot have run it.
  not_sent,
  /// The peer may have received and run the request.
  possibly_sent,
};

struct client_failure {
  absl::Status status;
  failure_phase phase = failure_phase::not_sent;
};

using client_result = std::variant<response, client_failure>;

struct client_options {
  /// Limit for the whole exchange, from connect to the end of the body.
  std::chrono::milliseconds timeout{30000};
  std::size_t max_response_bytes = 16U << 20;
};

/// An HTTP/1.1 client that opens a new connection for every request.
///
/// A connection is never reused and a request is never repeated or redirected
/// by the client itself, so a caller always knows whether a request was sent.
class client {
 public:
  using callback = std::function<void(client_result)>;

  /// @param loop must outlive the client.
  explicit client(event_loop& loop);
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  /// Sends a request to an IP address.
  /// @param done called exactly once, on the loop's thread and never from
  ///   inside `send`, unless the client is destroyed first.
  void send(const std::string& address, std::uint16_t port, request message,
            const client_options& options, callback done);

  /// @return exchanges in progress.
  std::size_t open_exchanges() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::http
