#include "batch/pace_control.h"

#include <catch2/catch.hpp>

namespace vanillaladder::batch {
namespace {

using namespace std::chrono_literals;

const time_point start{100s};

// A serving task may not stay late for seconds beside tasks that work on.
TEST_CASE("filling tasks stand still once a serving task stays late") {
  pace_control pace;
  REQUIRE(pace.update(1.5, start) == 100);
  REQUIRE(pace.update(1.5, start + pace_control::reaction_delay) ==
          pace_control::slow_percent);
  REQUIRE(pace.update(1.5, start + 2 * pace_control::reaction_delay) == 0);
}

// Reports are rough: a task that is late shows figures on both sides of it.
TEST_CASE("a figure around the target does not begin the patience anew") {
  pace_control pace;
  for (int n = 0; n < 4; ++n) {
    pace.update(n % 2 == 0 ? 1.2 : 0.9, start + n * 500ms);
  }
  REQUIRE(pace.update(1.2, start + 2000ms) < 100);
}

TEST_CASE("a short peak slows nothing") {
  pace_control pace;
  pace.update(1.5, start);
  pace.update(0.5, start + 500ms);
  REQUIRE(pace.update(1.5, start + 1000ms) == 100);
}

TEST_CASE("full speed returns with the response times") {
  pace_control pace;
  pace.update(2, start);
  pace.update(2, start + pace_control::reaction_delay);
  REQUIRE(pace.update(0.9, start + 1700ms) == pace_control::slow_percent);
  REQUIRE(pace.update(0.5, start + 2200ms) == 100);
}

}  // namespace
}  // namespace vanillaladder::batch
