#include "batch/lease_bound.h"

#include <catch2/catch.hpp>

namespace vanillaladder::batch {
namespace {

using namespace std::chrono_literals;

const time_point start{100s};

TEST_CASE("a lease expires when the slowest clock has passed its deadline") {
  lease_bound lease;
  lease.observe_clock(50000ms, start, 0ms);
  lease.extend(55000ms, start + 400ms);
  // 5 s on a clock that runs at 98% take 5.102 s.
  REQUIRE(lease.expires_at() >= start + 5102ms);
  REQUIRE(lease.expires_at() <= start + 5200ms);
}

TEST_CASE("the bound covers a lease granted by an earlier holder") {
  lease_bound lease;
  lease.observe_clock(50000ms, start, 6000ms);
  REQUIRE(lease.expires_at() > start + 6000ms);
}

// The lease of an earlier holder is assumed only at the first response; by then
// earlier holders have been fenced off.
TEST_CASE("later responses never extend the bound") {
  lease_bound lease;
  lease.observe_clock(50000ms, start, 6000ms);
  auto first = lease.expires_at();
  lease.observe_clock(51000ms, start + 1000ms, 6000ms);
  REQUIRE(lease.expires_at() <= first);
}

TEST_CASE("a worker that never responded has the bound of the takeover") {
  lease_bound lease(start + 8000ms);
  lease.extend(1ms, start);
  REQUIRE(lease.expires_at() == start + 8000ms);
  REQUIRE_FALSE(lease.clock_known());
}

TEST_CASE("a restarted worker holds no lease of before") {
  lease_bound lease;
  lease.observe_clock(50000ms, start, 5000ms);
  lease.extend(55000ms, start + 400ms);
  lease.restart(100ms, start + 1000ms, 5000ms, 10000ms);
  REQUIRE(lease.settled_at() <= start + 1000ms);
  REQUIRE(lease.expires_at() >= start + 6000ms);
  REQUIRE(lease.expires_at() <= start + 6200ms);
}

TEST_CASE("a call that may reach a restarted worker grants the longest lease") {
  lease_bound lease;
  lease.observe_clock(50000ms, start, 5000ms);
  lease.extend(55000ms, start + 1400ms);
  // The worker may have started 1.02 s ago, before the call was given up.
  lease.restart(1000ms, start + 2400ms, 5000ms, 10000ms);
  REQUIRE(lease.expires_at() >= start + 12400ms);
  REQUIRE(lease.settled_at() >= start + 7000ms);
  REQUIRE(lease.settled_at() <= start + 7600ms);
  // The call may still be on its way.
  lease.extend(6000ms, start + 3000ms);
  lease.restart(10ms, start + 2500ms, 5000ms, 10000ms);
  REQUIRE(lease.expires_at() >= start + 13000ms);
}

TEST_CASE("leases count while the clock is not known") {
  lease_bound lease;
  lease.observe_clock(50000ms, start, 5000ms);
  lease.extend(55000ms, start + 400ms);
  auto before = lease.expires_at();
  lease.expect_restart(10000ms);
  REQUIRE(lease.expires_at() == before);
  lease.observe_clock(50100ms, start + 100ms, 5000ms);
  REQUIRE(lease.clock_known());
  REQUIRE(lease.expires_at() >= start + 5000ms);
}

// Guards against two runs of a task at once: a later process takes the deadline
// of an order that was meant for its predecessor for the longest lease.
TEST_CASE("a later process may hold the longest lease from the last order on") {
  lease_bound lease;
  lease.observe_clock(50000ms, start, 5000ms);
  lease.extend(55000ms, start + 400ms);
  REQUIRE(lease.later_process_expires_at() == lease.expires_at());
  lease.expect_restart(10000ms);
  REQUIRE(lease.later_process_expires_at() >= start + 10400ms);
  REQUIRE(lease.later_process_expires_at() <= start + 10800ms);
  // An order without a response may take effect later.
  lease.extend_unanswered(start + 13000ms);
  REQUIRE(lease.later_process_expires_at() >= start + 23000ms);
  REQUIRE(lease.expires_at() <= start + 5200ms);
  // Its answer tells the lease; what was sent before is fenced off.
  lease.restart(2919967ms, start + 2000ms, 5000ms, 10000ms);
  REQUIRE(lease.later_process_expires_at() == lease.expires_at());
  REQUIRE(lease.expires_at() >= start + 12000ms);
  REQUIRE(lease.expires_at() <= start + 12400ms);
}

}  // namespace
}  // namespace vanillaladder::batch
