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

}  // namespace
}  // namespace vanillaladder::dispatch
