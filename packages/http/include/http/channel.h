#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http/client.h"
#include "http/event_loop.h"
#include "http/message.h"

struct lws_vhost;

namespace vanillaladder::http {

struct channel_options {
  /// Connections that may be open at once.
  std::size_t max_connections = 2;
  /// Calls that may wait for a connection; further calls fail as `not_sent`.
  std::size_t max_waiting_calls = 1024;
  std::size_t max_response_bytes = 16U << 20;
};

/// The libwebsockets virtual host that all channels of an event loop share.
class transport {
 public:
  /// @param loop must outlive the transport.
  explicit transport(event_loop& loop);
  transport(const transport&) = delete;
  transport& operator=(const transport&) = delete;

  event_loop& loop() const { return *loop_; }

 private:
  friend class channel;
  event_loop* loop_;
  lws_vhost* vhost_ = nullptr;
};

/// Sends HTTP/1.1 requests to one address over persistent connections.
///
/// Each connection carries one call at a time and is closed when a call on it
/// fails, so an unresponsive peer costs one timeout. Calls are never retried.
class channel {
 public:
  using callback = std::function<void(client_result)>;

  /// @param shared_transport must outlive the channel.
  /// @param address IP address.
  channel(transport& shared_transport, std::string address, std::uint16_t port,
          const channel_options& options);
  /// Closes the connections; pending calls end without their callback.
  ~channel();
  channel(const channel&) = delete;
  channel& operator=(const channel&) = delete;

  /// Sends a request on an idle connection, on a new one, or once one of the
  /// `max_connections` is free.
  /// @param timeout limit from this call to the end of the response.
  /// @param done called once, on the loop's thread and never from inside
  ///   `send`, unless the channel is destroyed first.
  /// @param may_send called right before the request is written, which may be
  ///   long after this call if the peer or this process is slow. If it returns
  ///   false, nothing is written and the call fails as `not_sent`.
  void send(request message, std::chrono::milliseconds timeout, callback done,
            std::function<bool()> may_send = {});

  /// Closes the connections and ends each pending call with its callback, on
  /// the loop's thread after this function. The channel must not be used again
  /// but to destroy it; the callbacks run also after that.
  void close();

  /// @return "address:port", for errors and logs.
  const std::string& peer() const;
  /// @return connections opened since the channel was created.
  std::uint64_t connections_opened() const;

 private:
  friend class transport;
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::http
