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

/// Kinds of calls to a peer; each has its own connections, so that a long
/// call delays no heartbeat.
enum class lane { heartbeat, coordination, forward };

/// Why a call to a peer has no result.
struct call_failure {
  absl::Status status;
  /// Whether the peer may have received the call.
  bool possibly_sent = false;
};

/// Thrift connections to one peer; every call runs on a thread of the link.
///
/// A connection that fails or stays silent until the deadline of a call is
/// closed, and the next call opens a new one.
class peer_link {
 public:
  /// One call; runs on a thread of the link and blocks for its result.
  using call = std::function<void(wire::peerClient&)>;
  /// Runs on a thread of the link when `call` could not be completed.
  using on_failure = std::function<void(const call_failure&)>;

  peer_link(std::string address, std::uint16_t port);
  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  /// Queues a call.
  /// @param timeout limit for waiting, connecting, and each read.
  void enqueue(lane kind, std::chrono::milliseconds timeout, call run,
               on_failure failed);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace vanillaladder::control
