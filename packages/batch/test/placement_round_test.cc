#include <catch2/catch.hpp>

#include "scheduler_fixture.h"

namespace vanillaladder::batch {
namespace {

/// Jobs that no worker can run. Each takes one plan of one unit, so that a
/// placement round takes more plans than the tests make.
constexpr int blocked_jobs = 200;
/// Time between two plans.
constexpr milliseconds plan_interval{100};
/// How soon a task must run while there is room for it.
constexpr milliseconds start_limit{3000};
/// How soon a task that lasts must run again.
constexpr milliseconds restart_limit{6000};

struct long_round_fixture : scheduler_fixture {
  long_round_fixture() {
    for (int n = 0; n < blocked_jobs; ++n) {
      auto blocked = step(1, 1000);
      blocked.required_label = "missing" + std::to_string(n);
      add_job_of_priority("blocked" + std::to_string(n), 1, blocked);
    }
  }

  void add_job_of_priority(const std::string& id, int priority,
                           const step_spec& only_step) {
    auto spec = std::make_shared<job_spec>(*make_job(id, {only_step}));
    spec->policy.priority = priority;
    spec->accepted_at = wall();
    tested_scheduler().add_job(spec, now(), wall());
  }

  /// Makes plans that each examine one step.
  void plan_for(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += plan_interval) {
      advance_time(plan_interval);
      report_all();
      plan(1);
    }
  }
};

}  // namespace

// Guards against a lasting task that does not run for as long as a placement
// round takes, because its step was examined before the task was lost.
TEST_CASE("a task that is lost during a placement round is placed in it") {
  long_round_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  auto lasting = scheduler_fixture::step(1, 1000);
  lasting.long_running = true;
  f.add_job("lasting", {lasting});
  f.plan_for(restart_limit);
  REQUIRE(f.workers_running("lasting.0.0.0").size() == 1);
  f.end("lasting.0.0.0", end_reason::lease_expired);
  f.plan_for(restart_limit);
  CHECK(f.tested_scheduler().is_budget_exhausted());
  CHECK(f.workers_running("lasting.0.0.0").size() == 1);
}

// Guards against a job that waits beside free room for as long as a placement
// round takes, because it was examined before the room was free.
TEST_CASE("room that becomes free during a placement round is used in it") {
  long_round_fixture f;
  f.add_worker("w1", {1000, 4000, 0});
  f.add_job_of_priority("holder", 0, scheduler_fixture::step(1, 1000));
  f.plan_for(5 * plan_interval);
  REQUIRE(f.workers_running("holder.0.0.0").size() == 1);
  f.add_job_of_priority("first", 0, scheduler_fixture::step(1, 1000));
  f.plan_for(5 * plan_interval);
  REQUIRE(f.workers_running("first.0.0.0").empty());
  f.end("holder.0.0.0", end_reason::done);
  f.plan_for(start_limit);
  CHECK(f.tested_scheduler().is_budget_exhausted());
  CHECK(f.workers_running("first.0.0.0").size() == 1);
}

// Guards against starts that wait for their sending, and against rounds that
// never get past their first steps because they begin anew each time.
TEST_CASE("a plan starts no more tasks than it may, the next one goes on") {
  scheduler_fixture f;
  f.add_worker("w1", {10000, 10000, 0});
  f.add_job("many", {scheduler_fixture::step(10, 1000)});
  auto starts_of_plan = [&](std::size_t starts) {
    return f.tested_scheduler()
        .plan(f.now(), f.wall(), scheduler::default_plan_units, starts)
        .orders.size();
  };
  CHECK(starts_of_plan(3) == 3);
  CHECK(f.tested_scheduler().is_budget_exhausted());
  CHECK(starts_of_plan(0) == 0);
  CHECK_FALSE(f.tested_scheduler().is_budget_exhausted());
  CHECK(starts_of_plan(20) == 7);
  CHECK_FALSE(f.tested_scheduler().is_budget_exhausted());
}

}  // namespace vanillaladder::batch
