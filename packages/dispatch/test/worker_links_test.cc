#include "dispatch/worker_links.h"

#include <catch2/catch.hpp>

#include "daemon_fixture.h"
#include "dispatch/clock.h"
#include "silent_gateway.h"

namespace vanillaladder::dispatch {
namespace {

// Guards against runs of cancelled jobs that are never stopped: a new leader
// orders the stops before it has linked all workers.
TEST_CASE("a stop order waits until its worker is linked") {
  daemon_fixture f;
  gateway_calls calls;
  silent_gateway gateway(calls);
  batch::scheduler scheduler({}, boot_now(), [](const std::string&) {});
  worker_links links(
      f.loop, gateway, scheduler, 1, {}, [] { return true; }, {[] {}, [] {}},
      f.report);
  batch::worker_entry entry;
  entry.info.id = "w";
  entry.info.address = "10.0.0.1";
  entry.info.port = 8000;
  scheduler.update_worker(entry, boot_now());
  links.send(batch::stop_order{"w", {{"job", 0, 0}, 0}, 1});
  REQUIRE(calls.stops == 0);
  links.update(entry);
  f.run_until([&] { return calls.stops > 0; });
  REQUIRE(calls.stops == 1);
}

// Guards against an order that is written long after it was decided, when the
// lease of this leader is over.
TEST_CASE("an order asks for permission again when it is written") {
  daemon_fixture f;
  gateway_calls calls;
  silent_gateway gateway(calls);
  batch::scheduler scheduler({}, boot_now(), [](const std::string&) {});
  bool leads = true;
  worker_links links(
      f.loop, gateway, scheduler, 7, {}, [&] { return leads; }, {[] {}, [] {}},
      f.report);
  batch::worker_entry entry;
  entry.info.id = "w";
  entry.info.address = "10.0.0.1";
  entry.info.port = 8000;
  scheduler.update_worker(entry, boot_now());
  links.update(entry);
  links.send(batch::stop_order{"w", {{"job", 0, 0}, 0}, 1});
  REQUIRE(calls.stops == 1);
  REQUIRE(calls.stop_permit.token == 7);
  REQUIRE(calls.stop_permit.may_send());
  leads = false;
  REQUIRE_FALSE(calls.stop_permit.may_send());
}

}  // namespace
}  // namespace vanillaladder::dispatch
