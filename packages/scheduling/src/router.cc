#include "scheduling/router.h"

#include <algorithm>
#include <tuple>

namespace vanillaladder::scheduling {
namespace {

/// Rank and load; lower is better, compared lexicographically.
using cost = std::tuple<int, double>;

int rank_of(const routing_candidate& server) {
  // A due probe ranks first, since only a probe can readmit the server.
  switch (server.state) {
    case availability::probe:
      return 0;
    case availability::normal:
      return server.tried ? 2 : 1;
    default:
      return server.tried ? 4 : 3;
  }
}

bool usable(const routing_candidate& server, bool last_resort) {
  if (server.in_flight >= server.granted_slots ||
      server.state == availability::none) {
    return false;
  }
  if (server.state == availability::probe) {
    return !server.tried;
  }
  return last_resort || server.state == availability::normal;
}

double load_of(const routing_candidate& server, routing_policy policy) {
  switch (policy) {
    case routing_policy::round_robin:
      return 0;
    case routing_policy::least_outstanding:
      return server.in_flight;
    case routing_policy::least_load:
      break;
  }
  return (server.in_flight + 1.0) / server.granted_slots * server.slowdown;
}

}  // namespace

std::optional<std::size_t> router::choose(
    std::span<const routing_candidate> candidates, bool last_resort) {
  std::optional<std::size_t> best;
  cost best_cost;
  bool rotate = policy_ != routing_policy::least_outstanding;
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    std::size_t index = rotate ? (next_ + n) % candidates.size() : n;
    const auto& server = candidates[index];
    if (!usable(server, last_resort)) {
      continue;
    }
    cost candidate_cost{rank_of(server), load_of(server, policy_)};
    if (!best || candidate_cost < best_cost) {
      best = index;
      best_cost = candidate_cost;
    }
  }
  if (best) {
    next_ = *best + 1;
  }
  return best;
}

}  // namespace vanillaladder::scheduling
