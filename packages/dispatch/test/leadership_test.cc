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

/// A daemon of a test with several, which share one store.
struct contender {
  contender(daemon_fixture& f, const std::string& id, int cpu_millis)
      : lead(f.loop, f.store, options_of(id, cpu_millis),
             {[this](model::epoch) { ++won; }, [this] { ++lost; },
              [this] { return able; }},
             f.report) {
    lead.start();
  }

  static leadership_options options_of(const std::string& id, int cpu_millis) {
    leadership_options options;
    options.holder_id = id;
    options.topic = "keyed.lease";
    options.cpu_millis = cpu_millis;
    return options;
  }

  int won = 0;
  int lost = 0;
  bool able = true;
  leadership lead;
};

/// Capacities as on the users' instances, in thousandths of a core.
constexpr int low_cpu_millis = 120;
constexpr int high_cpu_millis = 500;
/// Far longer than a claim, a renewal or a hand-over takes.
constexpr auto long_time = 5s;

/// @return whether `reached` holds before `long_time` has passed.
bool reaches(daemon_fixture& f, const std::function<bool()>& reached) {
  bool elapsed = false;
  f.loop.call_after(long_time, [&] { elapsed = true; });
  f.run_until([&] { return elapsed || reached(); });
  return reached();
}

// Guards against a daemon with low capacity that leads for good, because it
// claimed while no other daemon could: it can't exchange reports and orders
// with all workers, so that tasks are lost and wait.
TEST_CASE("a leader with low capacity hands over to a daemon that has more") {
  daemon_fixture f;
  contender weak(f, "weak-1", low_cpu_millis);
  contender strong(f, "strong-1", high_cpu_millis);
  strong.able = false;
  REQUIRE(reaches(f, [&] { return weak.won == 1; }));
  strong.able = true;
  bool both_lead = false;
  REQUIRE(reaches(f, [&] {
    both_lead = both_lead || (weak.lead.valid() && strong.lead.valid());
    return strong.won == 1;
  }));
  CHECK(weak.lost == 1);
  CHECK_FALSE(weak.lead.valid());
  CHECK_FALSE(both_lead);
}

// Guards against a precedence that runs out while nobody can lead, for example
// while the store answers for the lease only: whoever is first would lead.
TEST_CASE(
    "daemons with low capacity claim last once daemons are able to lead") {
  daemon_fixture f;
  contender weak(f, "weak-1", low_cpu_millis);
  contender strong(f, "strong-1", high_cpu_millis);
  weak.able = false;
  strong.able = false;
  REQUIRE_FALSE(reaches(f, [&] { return weak.won + strong.won > 0; }));
  weak.able = true;
  strong.able = true;
  REQUIRE(reaches(f, [&] { return weak.won + strong.won > 0; }));
  CHECK(strong.won == 1);
}

// Guards against hand-overs to a daemon that could not lead.
TEST_CASE("a leader with low capacity stays while no other daemon can lead") {
  daemon_fixture f;
  contender weak(f, "weak-1", low_cpu_millis);
  contender other(f, "weak-2", low_cpu_millis);
  contender strong(f, "strong-1", high_cpu_millis);
  strong.able = false;
  REQUIRE(reaches(f, [&] { return weak.won + other.won == 1; }));
  CHECK_FALSE(reaches(f, [&] { return weak.lost + other.lost > 0; }));
  CHECK(strong.won == 0);
}

}  // namespace
}  // namespace vanillaladder::dispatch
