#include "dispatch/leadership.h"

#include <catch2/catch.hpp>

#include "daemon_fixture.h"

namespace vanillaladder::dispatch {
namespace {

using namespace std::chrono_literals;

// Guards against the loss of the leadership after one lost answer: the next
// renewal waited for the timeout of that answer, which is as long as the lease.
TEST_CASE("a lost answer to a renewal does not delay the next renewal") {
  daemon_fixture f;
  int won = 0;
  int lost = 0;
  leadership_options options;
  options.holder_id = "a-1";
  options.topic = "keyed.lease";
  options.lifetime = 60s;
  options.renewal_interval = 105ms;
  leadership lead(f.loop, f.store, options,
                  {[&](model::epoch) { ++won; }, [&] { ++lost; }}, f.report);
  lead.start();
  f.run_until([&] { return won == 1; });
  f.store.drops_answers = true;
  auto before = f.store.topic.size();
  f.run_until([&] { return f.store.topic.size() >= before + 3; });
  REQUIRE(lead.valid());
  REQUIRE(lost == 0);
}

TEST_CASE("a daemon that is not able to lead does not claim") {
  daemon_fixture f;
  int won = 0;
  bool able = false;
  leadership_options options;
  options.holder_id = "a-1";
  options.topic = "keyed.lease";
  leadership lead(f.loop, f.store, options,
                  {[&](model::epoch) { ++won; }, [] {}, [&] { return able; }},
                  f.report);
  lead.start();
  bool elapsed = false;
  f.loop.call_after(300ms, [&] { elapsed = true; });
  f.run_until([&] { return elapsed; });
  REQUIRE(f.store.appends == 0);
  able = true;
  f.run_until([&] { return won == 1; });
}

// Guards against use of the destroyed object: the release waits for the
// renewal in flight.
TEST_CASE("a release that waits for an append outlives its owner") {
  daemon_fixture f;
  int won = 0;
  leadership_options options;
  options.holder_id = "a-1";
  options.topic = "keyed.lease";
  options.renewal_interval = 101ms;
  auto lead = std::make_unique<leadership>(
      f.loop, f.store, options,
      leadership::listener{[&](model::epoch) { ++won; }, [] {}}, f.report);
  lead->start();
  f.run_until([&] { return won == 1; });
  f.store.unresponsive = true;
  auto before = f.store.appends;
  f.run_until([&] { return f.store.appends > before; });
  lead->release([] {});
  lead.reset();
  bool elapsed = false;
  f.loop.call_after(200ms, [&] { elapsed = true; });
  f.run_until([&] { return elapsed; });
  REQUIRE(f.store.appends == before + 1);
}

}  // namespace
}  // namespace vanillaladder::dispatch
