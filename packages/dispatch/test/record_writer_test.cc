#include "dispatch/record_writer.h"

#include <catch2/catch.hpp>

#include "daemon_fixture.h"

namespace vanillaladder::dispatch {
namespace {

// Guards against a takeover that waits for a lost answer for as long as a lease
// lasts.
TEST_CASE("a registration without an answer is retried") {
  daemon_fixture f;
  f.store.drops_answers = true;
  record_writer writer(
      f.loop, f.store, "jobs", "leader", 1, [] { return true; }, f.report);
  bool opened = false;
  writer.open([&](absl::StatusOr<model::offset> end) { opened = end.ok(); });
  f.run_until([&] { return f.store.appends == 1; });
  f.store.drops_answers = false;
  f.run_until([&] { return opened; });
  REQUIRE(f.store.appends == 2);
}

}  // namespace
}  // namespace vanillaladder::dispatch
