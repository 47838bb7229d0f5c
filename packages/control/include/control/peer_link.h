#pragma once

#include <absl/status/status.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "model/types.h"

namespace vanillaladder::control {

namespace wire {
class peerClient;
}  // namespace wire

/// Kind of a call to a peer. Each kind has its own connections, so that a long
/// call does not delay heartbeats.
enum class call_kind { heartbeat, coordination, forward };

/// Reason why a call to a peer returned no result.
struct call_failure {
  absl::Status status;
  /// Whether the peer may have received the call.
  bool possibly_sent = false;
};

/// Thrift connections to one peer; every call runs on a thread owned by the
/// link.
///
/// A connection is closed when a call on it fails or times out; the next call
/// reconnects.
class peer_link {
 public:
  /// Executes one call on a thread of the link and blocks until it returns.
  using call = std::function<void(wire::peerClient&)>;
  /// Called on a thread of the link if the call failed.
  using failure_callback = std::function<void(const call_failure&)>;

  peer_link(std::string address, std::uint16_t port);
  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  /// Queues a call; fails it at once if the queue of its kind is full.
  /// @param timeout includes the time in the queue; also limits each read and
  ///   write. Connecting has a limit of its own.
  void enqueue(call_kind kind, std::chrono::milliseconds timeout, call run,
               failure_callback on_failure);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace vanillaladder::control
