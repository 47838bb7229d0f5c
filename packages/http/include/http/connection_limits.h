#pragma once

#include <chrono>
#include <cstddef>

namespace vanillaladder::http {

/// What the callers of a server may take together. A caller that keeps to the
/// limits of a single request meets none of them while others do the same.
struct connection_limits {
  /// Open connections. One more closes an idle one, or else the one that has
  /// made no progress for longest.
  std::size_t max_connections = 4096;
  /// Request line and headers of a request.
  std::size_t max_head_bytes = 32'768;
  /// Requests that are being received, and those that are being answered. Past
  /// it, connections without progress are closed first, then the largest.
  std::size_t max_buffered_bytes = 16U << 20;
  /// Time from the first byte of a request to the end of its headers.
  std::chrono::milliseconds head_timeout{10000};
  /// Time without a request or without progress of one.
  std::chrono::milliseconds idle_timeout{30000};
};

}  // namespace vanillaladder::http
