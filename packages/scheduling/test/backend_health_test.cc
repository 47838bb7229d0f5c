#include "scheduling/backend_health.h"

#include <catch2/catch.hpp>

namespace vanillaladder::scheduling {
namespace {

using namespace std::chrono_literals;

const model::time_point start = model::time_point() + 1h;
const health_sample refused_connection{.end = attempt_end::not_sent};

backend_health make_health(int servers) {
  backend_health health;
  std::map<model::backend_id, std::string> services;
  for (int n = 0; n < servers; ++n) {
    services["b" + std::to_string(n)] = "quotes";
  }
  health.set_backends(services);
  return health;
}

health_change fail_twice(backend_health& health, const model::backend_id& id) {
  health.record(id, refused_connection, start);
  return health.record(id, refused_connection, start);
}

}  // namespace

// Guards against ejecting most servers of a service for a common cause.
TEST_CASE("at most the configured share of servers is ejected") {
  auto health = make_health(10);
  for (int n = 0; n < 10; ++n) {
    auto change = fail_twice(health, "b" + std::to_string(n));
    CHECK((change == health_change::ejected) == (n < 3));
  }
  CHECK(health.state("b0", true, start) == availability::none);
  CHECK(health.state("b5", true, start) == availability::last_resort);
}

// Guards against an ejected server that is never readmitted, and against one
// that is readmitted by an attempt sent before its ejection.
TEST_CASE(
    "a successful probe readmits a server, an earlier response does not") {
  auto health = make_health(4);
  REQUIRE(fail_twice(health, "b1") == health_change::ejected);
  CHECK(health.record("b1", {}, start) == health_change::none);
  CHECK(health.state("b1", true, start + 999ms) == availability::none);
  CHECK(health.next_probe() == start + 1s);
  CHECK(health.state("b1", true, start + 1s) == availability::probe);
  CHECK(health.state("b1", false, start + 1s) == availability::none);
  health.begin_probe("b1", start + 1s);
  CHECK(health.state("b1", true, start + 5s) == availability::none);
  CHECK(health.record("b1", refused_connection, start + 5s) ==
        health_change::none);
  CHECK(health.state("b1", false, start + 8s) == availability::probe);
  health.begin_probe("b1", start + 8s);
  CHECK(health.record("b1", {}, start + 8s) == health_change::readmitted);
  CHECK(health.state("b1", false, start + 8s) == availability::normal);
}

// Guards against a slow server that keeps receiving its full share of requests.
TEST_CASE("a server far slower than expected is ejected") {
  auto health = make_health(4);
  auto change = health_change::none;
  for (int n = 0; n < 20 && change == health_change::none; ++n) {
    change = health.record("b2", {.slowdown = 20}, start);
  }
  CHECK(change == health_change::ejected);
  CHECK(health.record("b3", {.server_error = true}, start) ==
        health_change::none);
}

}  // namespace vanillaladder::scheduling
