#include "batch/objective.h"

#include <catch2/catch.hpp>

namespace vanillaladder::batch {
namespace {

using namespace std::chrono_literals;

step_spec lasting_ms(int estimate, std::vector<int> after) {
  step_spec step;
  step.count = 1;
  step.estimated_run_time = milliseconds(estimate);
  step.depends_on = std::move(after);
  return step;
}

TEST_CASE("the chain follows the longest way through the steps") {
  job_spec spec;
  spec.steps = {lasting_ms(100, {}), lasting_ms(500, {}),
                lasting_ms(200, {0, 1}), lasting_ms(50, {0})};
  REQUIRE(longest_chain(spec) == 700ms);
}

TEST_CASE("an objective stretches the chain and adds the target") {
  queue_policy policy;
  policy.stretch = 1.5;
  policy.target_latency = 250ms;
  time_point start{100s};
  auto due = objective_of(policy, 1000ms, start);
  REQUIRE(due.on_time == start + 1750ms);
  REQUIRE(due.late == start + 5250ms);
}

}  // namespace
}  // namespace vanillaladder::batch
