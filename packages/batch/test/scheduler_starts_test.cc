#include <catch2/catch.hpp>
#include <functional>

#include "batch/scheduler.h"
#include "scheduler_fixture.h"

namespace vanillaladder::batch {
namespace {

/// A planned start whose order has not been sent.
struct planned_start : scheduler_fixture {
  start_order start;

  planned_start() {
    add_worker("w1", {4000, 4000, 0});
    auto labelled = step(1, 1000);
    labelled.required_label = "kind-a";
    workers.at("w1").entry.labels = {"kind-a"};
    list();
    add_job("a", {labelled});
    auto orders = tested_scheduler().plan(now(), wall_start).orders;
    REQUIRE(orders.size() == 1);
    start = std::get<start_order>(orders.front());
    tested_scheduler().on_progress_committed();
  }

  void list() { tested_scheduler().update_worker(entry(), now()); }
  worker_entry& entry() { return workers.at("w1").entry; }
  std::string obstacle() {
    return std::string(tested_scheduler().start_obstacle(start, now()));
  }
};

struct lost_ground {
  std::string name;
  std::function<void(planned_start&)> happens;
  std::string obstacle;
};

std::vector<lost_ground> lost_grounds() {
  return {
      {"the job is cancelled",
       [](auto& f) { f.tested_scheduler().cancel_job("a", f.now()); },
       "job_ended"},
      {"the job has ended",
       [](auto& f) {
         f.tested_scheduler().end_job("a", job_state::failed, f.now());
       },
       "job_ended"},
      {"the failure domain is closed",
       [](auto& f) { f.tested_scheduler().set_closed_domains({"d1"}); },
       "closed_domain"},
      {"the worker leaves",
       [](auto& f) {
         f.entry().info.state = model::instance_state::leaving;
         f.list();
       },
       "leaving"},
      {"the worker is no longer listed",
       [](auto& f) { f.tested_scheduler().remove_worker("w1", f.now()); },
       "unreachable"},
      {"the worker is back with other labels",
       [](auto& f) {
         f.entry().labels.clear();
         f.list();
       },
       "label"},
      {"the worker is back with less room",
       [](auto& f) {
         f.entry().info.capacity = {500, 4000, 0};
         f.list();
       },
       "no_room"},
      {"the queue is served by another service",
       [](auto& f) {
         f.tested_scheduler().set_queues(
             {{"queue", {"other", 0, 2, 2, 1000ms}}});
       },
       "other_service"},
      {"the run was given up",
       [](auto& f) {
         f.tested_scheduler().on_start_result("w1", f.start.task, f.start.run,
                                              start_outcome::not_run, f.now());
       },
       "run_gone"},
      {"the run was stopped",
       [](auto& f) {
         f.tested_scheduler().on_start_result("w1", f.start.task, f.start.run,
                                              start_outcome::unknown, f.now());
       },
       "run_stopped"},
  };
}

}  // namespace

// Guards against starts that leave as planned although their ground is gone,
// after they waited for an append, for permission or for a connection.
TEST_CASE("a planned start has an obstacle once its ground is gone") {
  for (const auto& each : lost_grounds()) {
    INFO(each.name);
    planned_start f;
    CHECK(f.obstacle().empty());
    each.happens(f);
    CHECK(f.obstacle() == each.obstacle);
  }
}

// Guards against members of a gang that are started although the others can't
// be, and wait for them in vain.
TEST_CASE("no member of a gang starts once one of them can't") {
  scheduler_fixture f;
  f.add_worker("w1", {1000, 4000, 0}, "d1");
  f.add_worker("w2", {1000, 4000, 0}, "d2");
  auto gang = scheduler_fixture::step(2, 1000);
  gang.gang = true;
  f.add_job("a", {gang});
  auto orders =
      f.tested_scheduler().plan(f.now(), scheduler_fixture::wall_start).orders;
  REQUIRE(orders.size() == 2);
  f.tested_scheduler().set_closed_domains({"d2"});
  for (const auto& each : orders) {
    CHECK_FALSE(f.tested_scheduler()
                    .start_obstacle(std::get<start_order>(each), f.now())
                    .empty());
  }
}

// Guards against a leader that places tasks, or stops runs in order to move
// them, while it can't know whether they may start.
TEST_CASE("while starts are held nothing is placed and what runs goes on") {
  scheduler_fixture f;
  f.add_worker("w1", {1000, 4000, 0});
  f.add_worker("w2", {1000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  REQUIRE(f.running() == 1);
  f.tested_scheduler().hold_starts(true);
  f.add_job("b", {scheduler_fixture::step(1, 1000)});
  // Longer than a run may stand still.
  for (int n = 0; n < 50; ++n) {
    f.advance_time(100ms);
    f.report_all();
    f.plan();
  }
  CHECK(f.running() == 1);
  CHECK_FALSE(f.logged("run_stop"));
  CHECK_FALSE(f.tested_scheduler().is_budget_exhausted());
  f.tested_scheduler().hold_starts(false);
  f.plan();
  CHECK(f.workers_running("b.0.0.0").size() == 1);
}

// Guards against members of a gang that wait in vain for one that was refused
// or dropped.
TEST_CASE("the members of a gang are stopped once one of them is refused") {
  scheduler_fixture f;
  f.add_worker("w1", {1000, 4000, 0});
  f.add_worker("w2", {1000, 4000, 0});
  auto gang = scheduler_fixture::step(2, 1000);
  gang.gang = true;
  f.add_job("a", {gang});
  auto orders =
      f.tested_scheduler().plan(f.now(), scheduler_fixture::wall_start).orders;
  REQUIRE(orders.size() == 2);
  f.tested_scheduler().on_progress_committed();
  auto first = std::get<start_order>(orders[0]);
  auto second = std::get<start_order>(orders[1]);
  f.tested_scheduler().on_start_result(first.worker, first.task, first.run,
                                       start_outcome::confirmed, f.now());
  f.tested_scheduler().on_start_result(second.worker, second.task, second.run,
                                       start_outcome::not_run, f.now());
  auto stops = f.tested_scheduler().take_orders();
  REQUIRE(stops.size() == 1);
  CHECK(std::get<stop_order>(stops.front()).task == first.task);
}

}  // namespace vanillaladder::batch
