#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "scheduling/backend_health.h"

namespace vanillaladder::scheduling {

/// Load-balancing policy over the backend servers of a service.
enum class routing_policy {
  /// Least utilization of the granted slots, weighted by measured slowdown.
  least_load,
  /// Round robin over servers with a free slot; a baseline.
  round_robin,
  /// Fewest requests of this daemon in flight; ties go to the first server. A
  /// baseline.
  least_outstanding,
};

/// A server to which a request could be sent.
struct routing_candidate {
  unsigned granted_slots = 0;
  unsigned in_flight = 0;
  availability state = availability::normal;
  /// Whether an earlier attempt of the request was sent to this server.
  bool tried = false;
  /// Moving average of the ratio of measured to expected duration.
  double slowdown = 1;
};

/// Chooses backend servers; its only state is the position of the rotation.
class router {
 public:
  explicit router(routing_policy policy = routing_policy::least_load)
      : policy_(policy) {}

  /// @param candidates servers of the service, in a stable order.
  /// @param last_resort whether failing servers that are not ejected may be
  ///   used too.
  /// @return the index of the server to use; never one without a free granted
  ///   slot.
  std::optional<std::size_t> choose(
      std::span<const routing_candidate> candidates, bool last_resort);

 private:
  routing_policy policy_;
  std::size_t next_ = 0;
};

}  // namespace vanillaladder::scheduling
