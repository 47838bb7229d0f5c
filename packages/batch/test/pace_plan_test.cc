#include "batch/pace_plan.h"

#include <array>
#include <catch2/catch.hpp>

namespace vanillaladder::batch {
namespace {

TEST_CASE("best-effort tasks run at full speed without serving tasks") {
  REQUIRE(plan_pace({}, 2) == std::vector<int>{100, 100});
}

// Light and heavy images share a worker; slowing all of them equally would stop
// the light ones without need.
TEST_CASE("pattern: only the task with the larger loss is slowed down") {
  std::array serving_tasks = {serving_task_load{2.0, {1.6, 0.1}}};
  auto percents = plan_pace(serving_tasks, 2);
  REQUIRE(percents[1] == 100);
  // 2.0 - 0.8 - 0.1 = 1.1 of 1.6.
  REQUIRE(percents[0] == 60);
}

// The order of two similar tasks must not decide which of them is starved.
TEST_CASE("tasks with similar losses are slowed down equally") {
  std::array serving_tasks = {serving_task_load{1.8, {1.0, 1.0}}};
  REQUIRE(plan_pace(serving_tasks, 2) == std::vector<int>{50, 50});
}

TEST_CASE("the serving task with the least headroom sets the pace") {
  std::array serving_tasks = {serving_task_load{3.0, {1.0}},
                              serving_task_load{1.1, {1.0}}};
  REQUIRE(plan_pace(serving_tasks, 1) == std::vector<int>{30});
}

// A serving task that is late because of its own load must not be slowed down
// further by others.
TEST_CASE("without headroom, interfering tasks stop") {
  std::array serving_tasks = {serving_task_load{0.7, {1.0, 0.0}}};
  REQUIRE(plan_pace(serving_tasks, 2) == std::vector<int>{0, 100});
}

// Otherwise the second of two heavy tasks would slow down the first.
TEST_CASE("an added task gets the headroom that similar tasks leave") {
  serving_task_load serving_task{2.2, {1.0}};
  REQUIRE(achievable_speed(serving_task, 1.0) == Approx(0.2));
  // A light task does not wait for heavy ones.
  REQUIRE(achievable_speed(serving_task, 0.1) == Approx(1));
}

}  // namespace
}  // namespace vanillaladder::batch
