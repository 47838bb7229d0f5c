#include "scheduling/router.h"

#include <catch2/catch.hpp>
#include <vector>

namespace vanillaladder::scheduling {

// Guards against sending more requests than granted, for every policy.
TEST_CASE("a server without a free granted slot is never chosen") {
  std::vector<routing_candidate> servers(3);
  servers[0] = {.granted_slots = 1, .in_flight = 1};
  servers[1] = {.granted_slots = 0};
  servers[2] = {.granted_slots = 2, .in_flight = 3};
  for (auto policy : {routing_policy::least_load, routing_policy::round_robin,
                      routing_policy::least_outstanding}) {
    router route(policy);
    CHECK_FALSE(route.choose(servers, true));
  }
}

// Guards against preferring failing, slow or already tried servers.
TEST_CASE("servers are chosen by state, then by load") {
  router route;
  std::vector<routing_candidate> servers(4, {.granted_slots = 2});
  servers[0].state = availability::last_resort;
  servers[1].tried = true;
  servers[2].slowdown = 3;
  servers[3].in_flight = 1;
  CHECK(route.choose(servers, false) == 3);
  servers[3].in_flight = 2;
  CHECK(route.choose(servers, false) == 2);
  servers[2].in_flight = 2;
  CHECK(route.choose(servers, false) == 1);
  servers[1].in_flight = 2;
  CHECK_FALSE(route.choose(servers, false));
  CHECK(route.choose(servers, true) == 0);
  servers[0].state = availability::probe;
  CHECK(route.choose(servers, false) == 0);
}

}  // namespace vanillaladder::scheduling
