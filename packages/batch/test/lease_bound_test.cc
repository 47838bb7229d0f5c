#include "batch/lease_bound.h"

#include <catch2/catch.hpp>

namespace vanillaladder::batch {
namespace {

using namespace std::chrono_literals;

const time_point start{100s};

TEST_CASE("a lease expires when the slowest clock has passed its deadline") {
  lease_bound lease;
  lease.observe_clock(50000ms, start, 0ms);
  lease.extend(55000ms);
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
  lease.extend(1ms);
  REQUIRE(lease.expires_at() == start + 8000ms);
  REQUIRE_FALSE(lease.clock_known());
}

}  // namespace
}  // namespace vanillaladder::batch
