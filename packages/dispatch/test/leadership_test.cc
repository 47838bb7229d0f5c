#include "dispatch/leadership.h"

#include <catch2/catch.hpp>

#include "daemon_fixture.h"

namespace vanillaladder::dispatch {
namespace {

using namespace std::chrono_literals;

// Guards against a lost answer to one renewal that costs the leadership: the
// next renewal waited for that answer's time limit, which is the lease's.
TEST_CASE("a renewal whose answer is lost does not hold up the next") {
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
  f.store.loses_answers = true;
  auto before = f.store.topic.size();
  f.run_until([&] { return f.store.topic.size() >= before + 3; });
  REQUIRE(lead.valid());
  REQUIRE(lost == 0);
}

}  // namespace
}  // namespace vanillaladder::dispatch
