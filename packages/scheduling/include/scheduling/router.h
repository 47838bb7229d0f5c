#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "scheduling/backend_health.h"

namespace vanillaladder::scheduling {

/// How a backend server is chosen.
enum class routing_policy {
  /// Least load on the granted slots, weighted by measured slowness.
  least_load,
  /// The next server in turn with a free slot; a baseline.
  round_robin,
  /// Fewest own requests, the first of equals; a baseline.
  least_outstanding,
};

/// A server that a request could be sent to.
struct routing_candidate {
  unsigned granted_slots = 0;
  unsigned in_flight = 0;
  availability state = availability::normal;
  /// Whether an earlier attempt of the request went to this server.
  bool tried = false;
  /// Moving average of measured over expected duration.
  double slowdown = 1;
};

/// Chooses backend servers; keeps only the position of the rotation.
class router {
 public:
  explicit router(routing_policy policy = routing_policy::least_load)
      : policy_(policy) {}

  /// @param candidates servers of the service, in a stable order.
  /// @param last_resort whether failing servers may be used too.
  /// @return the index of the server to use; never one without a free granted
  ///   slot.
  std::optional<std::size_t> choose(
      std::span<const routing_candidate> candidates, bool last_resort);

 private:
  routing_policy policy_;
  std::size_t next_ = 0;
};

}  // namespace vanillaladder::scheduling
