#include "batch/pace_control.h"

#include <catch2/catch.hpp>

namespace vanillaladder::batch {
namespace {

using namespace std::chrono_literals;

const time_point start{100s};

// A serving task must not stay late for seconds while best-effort tasks run.
TEST_CASE("best-effort tasks stop while a serving task stays late") {
  pace_control pace;
  REQUIRE(pace.update(1.5, start) == 100);
  REQUIRE(pace.update(1.5, start + pace_control::reaction_delay) ==
          pace_control::slow_percent);
  REQUIRE(pace.update(1.5, start + 2 * pace_control::reaction_delay) == 0);
}

// Reports are inaccurate: the ratio of a late task fluctuates around the
// threshold.
TEST_CASE("a ratio around the threshold does not restart the delay") {
  pace_control pace;
  for (int n = 0; n < 4; ++n) {
    pace.update(n % 2 == 0 ? 1.2 : 0.9, start + n * 500ms);
  }
  REQUIRE(pace.update(1.2, start + 2000ms) < 100);
}

TEST_CASE("a short peak does not slow down best-effort tasks") {
  pace_control pace;
  pace.update(1.5, start);
  pace.update(0.5, start + 500ms);
  REQUIRE(pace.update(1.5, start + 1000ms) == 100);
}

TEST_CASE("full speed is restored once response times are low again") {
  pace_control pace;
  pace.update(2, start);
  pace.update(2, start + pace_control::reaction_delay);
  REQUIRE(pace.update(0.9, start + 1700ms) == pace_control::slow_percent);
  REQUIRE(pace.update(0.5, start + 2200ms) == 100);
}

}  // namespace
}  // namespace vanillaladder::batch
