#include "dispatch/start_gate.h"

#include <catch2/catch.hpp>

#include "daemon_fixture.h"
#include "dispatch/clock.h"

namespace vanillaladder::dispatch {
namespace {

using namespace std::chrono_literals;

/// A gate on two copies whose ages the test sets.
struct gate_fixture : daemon_fixture {
  model::time_point now = boot_now();
  model::time_point jobs_as_of = now;
  model::time_point workers_as_of = now;
  int refreshes = 0;
  std::function<void()> refreshed;
  start_gate gate{{{"jobs", 2000ms, [this] { return jobs_as_of; },
                    [this](std::function<void()> done) {
                      ++refreshes;
                      refreshed = std::move(done);
                    }},
                   {"workers", 1000ms, [this] { return workers_as_of; },
                    [](const std::function<void()>& done) { done(); }}},
                  report};
};

}  // namespace

// Guards against decisions on a copy whose age nobody bounds.
TEST_CASE("starts are held while one of the copies is too old") {
  gate_fixture f;
  REQUIRE(f.gate.is_open(f.now));
  REQUIRE(f.gate.is_open(f.now + 1000ms));
  REQUIRE_FALSE(f.gate.is_open(f.now + 1001ms));
  f.workers_as_of = f.now + 2500ms;
  REQUIRE_FALSE(f.gate.is_open(f.now + 2500ms));
  f.jobs_as_of = f.now + 2500ms;
  REQUIRE(f.gate.is_open(f.now + 2500ms));
  REQUIRE(f.gate.ages(f.now + 2600ms) ==
          " age_ms[jobs]=100 age_ms[workers]=100");
}

TEST_CASE("a copy that was never complete holds starts") {
  gate_fixture f;
  f.jobs_as_of = {};
  REQUIRE_FALSE(f.gate.is_open(f.now));
}

// Guards against reads that pile up while the store doesn't answer.
TEST_CASE("a copy that grows old is read again, by one read at a time") {
  gate_fixture f;
  f.gate.is_open(f.now + 1000ms);
  REQUIRE(f.refreshes == 0);
  f.gate.is_open(f.now + 1001ms);
  f.gate.is_open(f.now + 1002ms);
  REQUIRE(f.refreshes == 1);
  f.refreshed();
  f.gate.is_open(f.now + 1001ms + start_gate::refresh_pause - 1ms);
  REQUIRE(f.refreshes == 1);
  f.gate.is_open(f.now + 1001ms + start_gate::refresh_pause);
  REQUIRE(f.refreshes == 2);
}

}  // namespace vanillaladder::dispatch
