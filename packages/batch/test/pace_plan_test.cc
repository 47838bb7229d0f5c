#include "batch/pace_plan.h"

#include <array>
#include <catch2/catch.hpp>

namespace vanillaladder::batch {
namespace {

TEST_CASE("without serving tasks filling ones work at full speed") {
  REQUIRE(plan_pace({}, 2) == std::vector<int>{100, 100});
}

// Pattern: light and heavy images share a worker; slowing all alike would stop
// the light ones for nothing.
TEST_CASE("pattern: the heavy one gives way, the light one works on") {
  std::array served = {serving_task_load{2.0, {1.6, 0.1}}};
  auto percents = plan_pace(served, 2);
  REQUIRE(percents[1] == 100);
  // 2.0 - 0.8 - 0.1 = 1.1 of 1.6.
  REQUIRE(percents[0] == 60);
}

// Two of the same kind must not starve each other by their order.
TEST_CASE("those that take about as much are slowed alike") {
  std::array served = {serving_task_load{1.8, {1.0, 1.0}}};
  REQUIRE(plan_pace(served, 2) == std::vector<int>{50, 50});
}

TEST_CASE("the serving task with least headroom decides") {
  std::array served = {serving_task_load{3.0, {1.0}},
                       serving_task_load{1.1, {1.0}}};
  REQUIRE(plan_pace(served, 1) == std::vector<int>{30});
}

// A task that is late by its own load is not helped by work on beside it.
TEST_CASE("no headroom leaves no speed to what presses") {
  std::array served = {serving_task_load{0.7, {1.0, 0.0}}};
  REQUIRE(plan_pace(served, 2) == std::vector<int>{0, 100});
}

// Otherwise the second of two heavy ones would take the speed of the first.
TEST_CASE("a further task gets what those of its kind have left") {
  serving_task_load served{2.2, {1.0}};
  REQUIRE(achievable_speed(served, 1.0) == Approx(0.2));
  // A light one does not wait for heavy ones.
  REQUIRE(achievable_speed(served, 0.1) == Approx(1));
}

}  // namespace
}  // namespace vanillaladder::batch
