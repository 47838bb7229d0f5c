#include "batch/job_deadlines.h"

#include <catch2/catch.hpp>

namespace vanillaladder::batch {
namespace {

using namespace std::chrono_literals;

step_spec step_with(int estimate, std::vector<int> after) {
  step_spec step;
  step.count = 1;
  step.estimated_run_time = milliseconds(estimate);
  step.depends_on = std::move(after);
  return step;
}

std::vector<milliseconds> run_times_of(const job_spec& spec) {
  std::vector<milliseconds> times;
  for (const auto& step : spec.steps) {
    times.push_back(step.estimated_run_time);
  }
  return times;
}

TEST_CASE("the critical path is the longest path through the steps") {
  job_spec spec;
  spec.steps = {step_with(100, {}), step_with(500, {}), step_with(200, {0, 1}),
                step_with(50, {0})};
  REQUIRE(critical_path_length(spec, run_times_of(spec)) == 700ms);
}

TEST_CASE("the remaining chain of a step ends with the job") {
  job_spec spec;
  spec.steps = {step_with(100, {}), step_with(500, {}), step_with(200, {0, 1}),
                step_with(50, {0})};
  REQUIRE(remaining_chains(spec, run_times_of(spec)) ==
          std::vector<milliseconds>{300ms, 700ms, 200ms, 50ms});
}

TEST_CASE("the deadline is the stretched critical path plus the target") {
  queue_policy policy;
  policy.stretch = 1.5;
  policy.target_latency = 250ms;
  time_point start{100s};
  auto due = deadlines_of(policy, 1000ms, start);
  REQUIRE(due.due_at == start + 1750ms);
  REQUIRE(due.expired_at == start + 5250ms);
}

TEST_CASE("spans too long for a time are cut") {
  job_spec spec;
  spec.steps.resize(1000);
  for (int n = 1; n < 1000; ++n) {
    spec.steps[static_cast<std::size_t>(n)].depends_on = {n - 1};
  }
  std::vector<milliseconds> run_times(1000, max_estimated_run_time);
  auto chain = critical_path_length(spec, run_times);
  queue_policy policy;
  policy.stretch = 1e6;
  policy.target_latency = milliseconds::max();
  time_point arrival{std::chrono::seconds(100)};
  auto deadlines = deadlines_of(policy, chain, arrival);
  REQUIRE(deadlines.due_at > arrival);
  REQUIRE(deadlines.expired_at > deadlines.due_at);
}

}  // namespace
}  // namespace vanillaladder::batch
