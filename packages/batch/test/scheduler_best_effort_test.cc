#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "batch/scheduler.h"
#include "scheduler_fixture.h"

namespace vanillaladder::batch {
namespace {

/// Workers that each run a serving task of image "x" and report its response
/// times.
class best_effort_fixture : public scheduler_fixture {
 public:
  void add_serving_worker(const std::string& id) {
    add_worker(id, {8000, 90000, 0});
    auto serving = step(1, 2000);
    serving.long_running = true;
    serving.response_time_target = 20ms;
    serving.image = "x";
    serving.per_worker_limit = 1;
    add_job("s" + id, {serving});
    plan();
  }

  static step_spec best_effort_step(const std::string& image) {
    auto spec = step(1, 2000);
    spec.best_effort = true;
    spec.checkpoints = true;
    spec.image = image;
    return spec;
  }

  /// Advances time by 0.5 s and reports. A serving task responds in 8 ms, or in
  /// `slowed` ms while a best-effort task of image "a" runs on its worker.
  /// @return whether a serving task missed its target.
  bool advance_half_second(std::int64_t slowed) {
    advance_time(500ms);
    bool is_late = false;
    for (auto& [id, worker] : workers) {
      bool has_interference = false;
      for (const auto& run : worker.running) {
        auto last = std::ranges::find_if(
            pace_orders.rbegin(), pace_orders.rend(),
            [&](const auto& pace) { return pace.task == run.task; });
        has_interference =
            has_interference ||
            (is_best_effort(run.task) && image_of(run.task) == "a" &&
             (last == pace_orders.rend() || last->percent > 0));
      }
      for (auto& run : worker.running) {
        if (is_best_effort(run.task)) {
          run.progress = std::min(90, run.progress + 5);
          run.measurement = 2000;
        } else {
          run.progress = 100;
          run.measurement = has_interference ? slowed : 8;
          is_late = is_late || run.measurement > 20;
        }
      }
      report(id);
    }
    plan();
    return is_late;
  }

  /// @return the longest time for which a serving task continuously missed its
  ///   target.
  milliseconds longest_overrun(int reports, std::int64_t slowed) {
    milliseconds longest{0};
    milliseconds late{0};
    for (int n = 0; n < reports; ++n) {
      late = advance_half_second(slowed) ? late + 500ms : 0ms;
      longest = std::max(longest, late);
    }
    return longest;
  }

  bool is_best_effort(const task_key& task) const {
    return jobs.at(task.step.job)->steps[0].best_effort;
  }
  const std::string& image_of(const task_key& task) const {
    return jobs.at(task.step.job)->steps[0].image;
  }
  /// @return the last pace ordered for a task, or full speed.
  int pace_of(const std::string& task) const {
    int percent = 100;
    for (const auto& pace : pace_orders) {
      percent = to_string(pace.task) == task ? pace.percent : percent;
    }
    return percent;
  }
};

// Many serving tasks of several images arrive at once. Best-effort tasks that
// interfere with one of the images must find workers without it.
TEST_CASE("pattern: serving tasks of one image are packed together") {
  scheduler_fixture f;
  for (int n = 0; n < 6; ++n) {
    f.add_worker("w" + std::to_string(n), {8000, 90000, 0});
  }
  for (int n = 0; n < 9; ++n) {
    auto serving = scheduler_fixture::step(2, 2000);
    serving.long_running = true;
    serving.response_time_target = 20ms;
    serving.image = n % 3 == 0 ? "x" : n % 3 == 1 ? "y" : "z";
    f.add_job("s" + std::to_string(n), {serving});
  }
  f.plan();
  REQUIRE(f.running() == 18);
  int mixed = 0;
  for (const auto& [id, worker] : f.workers) {
    std::set<std::string> images;
    for (const auto& run : worker.running) {
      images.insert(f.jobs.at(run.task.step.job)->steps[0].image);
    }
    mixed += images.size() > 1 ? 1 : 0;
  }
  REQUIRE(mixed <= 1);
}

// A best-effort task that makes a serving task on its worker late must be
// slowed down immediately, and moved as soon as it can run faster elsewhere.
TEST_CASE("pattern: an interfering best-effort task is slowed and moved") {
  best_effort_fixture f;
  f.add_serving_worker("w1");
  f.advance_half_second(60);
  f.add_job("f", {best_effort_fixture::best_effort_step("a")});
  f.plan();
  REQUIRE(f.workers_running("f.0.0.0") == std::vector<std::string>{"w1"});
  f.advance_half_second(60);
  REQUIRE(f.pace_of("f.0.0.0") < 100);
  f.advance_half_second(60);
  REQUIRE(f.pace_of("f.0.0.0") <= 50);
  REQUIRE(f.logged("run_held task=f.0.0.0 run=1 worker=w1 percent="));
  f.add_worker("w2", {8000, 90000, 0});
  for (int n = 0; n < 4; ++n) {
    f.advance_half_second(60);
  }
  REQUIRE(f.workers_running("f.0.0.0") == std::vector<std::string>{"w2"});
  // Other tasks of its image are not placed next to the serving task either.
  f.add_job("g", {best_effort_fixture::best_effort_step("a")});
  f.plan();
  REQUIRE(f.workers_running("g.0.0.0") == std::vector<std::string>{"w2"});
  // Tasks of another image are.
  f.add_job("h", {best_effort_fixture::best_effort_step("b")});
  f.plan();
  REQUIRE(f.workers_running("h.0.0.0") == std::vector<std::string>{"w1"});
}

// A move costs the time of a stop and a restore, which may be longer than what
// is left of a task.
TEST_CASE("pattern: a slowed task that is almost done is not moved") {
  best_effort_fixture f;
  f.add_serving_worker("w1");
  f.advance_half_second(60);
  auto step = best_effort_fixture::best_effort_step("a");
  step.estimated_run_time = 500ms;
  f.add_job("f", {step});
  f.plan();
  f.advance_half_second(60);
  f.workers.at("w1").running.back().progress = 90;
  f.add_worker("w2", {8000, 90000, 0});
  for (int n = 0; n < 8; ++n) {
    f.advance_half_second(60);
  }
  REQUIRE(f.pace_of("f.0.0.0") < 100);
  REQUIRE(f.workers_running("f.0.0.0") == std::vector<std::string>{"w1"});
}

// While a leader's lease is not valid, it orders nothing: a task that it wants
// to run at full speed again stays paused. That is no fault of the worker.
TEST_CASE("a run whose pace order is not delivered is not stalled") {
  best_effort_fixture f;
  f.add_serving_worker("w1");
  f.advance_half_second(60);
  f.add_job("f", {best_effort_fixture::best_effort_step("a")});
  f.plan();
  while (f.pace_of("f.0.0.0") == 100) {
    f.advance_half_second(60);
  }
  f.drops_pace_orders = true;
  while (f.pace_of("f.0.0.0") < 100) {
    f.advance_half_second(8);
  }
  f.advance_time(4000ms);
  f.report("w1");
  f.plan();
  REQUIRE_FALSE(f.logged("why=stands_still"));
  REQUIRE(f.workers_running("f.0.0.0").size() == 1);
}

// Every worker runs a serving task with which an image interferes. Best-effort
// jobs of this image must not wait for ever, and serving tasks must not stay
// late.
TEST_CASE("pattern: a step that interferes on every worker runs slowly") {
  best_effort_fixture f;
  f.add_serving_worker("w1");
  f.advance_half_second(60);
  f.add_job("f", {best_effort_fixture::best_effort_step("a")});
  f.plan();
  REQUIRE(f.longest_overrun(20, 60) <= 3s);
  REQUIRE(f.workers_running("f.0.0.0").size() == 1);
  f.add_job("g", {best_effort_fixture::best_effort_step("a")});
  f.plan();
  REQUIRE(f.workers_running("g.0.0.0").empty());
  for (int n = 0; n < 8; ++n) {
    f.advance_half_second(60);
  }
  REQUIRE(f.workers_running("g.0.0.0").size() == 1);
}

// A serving task must not stay late for 4 s while best-effort tasks run next to
// it. Here it is late by so little that the headroom model finds no cause.
TEST_CASE("a serving task is late for at most 3 s at a time") {
  best_effort_fixture f;
  f.add_serving_worker("w1");
  f.add_job("f", {best_effort_fixture::best_effort_step("a")});
  f.plan();
  REQUIRE(f.longest_overrun(40, 21) <= 3s);
}

// Guards against a job that waits anew at each change of the leader: a chain of
// changes, each before the end of the wait, kept it from running for good.
TEST_CASE("changes of the leader do not lengthen a best-effort job's wait") {
  best_effort_fixture f;
  f.add_serving_worker("w1");
  f.add_job("f", {best_effort_fixture::best_effort_step("a")});
  f.plan();
  // The serving task responds so slowly that nothing is started beside it until
  // a job starves.
  f.advance_half_second(20);
  std::string waiting;
  SECTION("of a step that is ready at once") {
    f.add_job("g", {best_effort_fixture::best_effort_step("b")});
    waiting = "g.0.0.0";
  }
  SECTION("of a step that follows another one") {
    auto second = best_effort_fixture::best_effort_step("b");
    second.depends_on = {0};
    f.add_job("g", {scheduler_fixture::step(1, 100), second});
    f.plan();
    f.end("g.0.0.0", end_reason::done);
    f.report_all();
    waiting = "g.0.1.0";
  }
  f.plan();
  auto begin = f.now();
  while (f.workers_running(waiting).empty()) {
    REQUIRE(f.now() - begin < 4s);
    f.advance_half_second(20);
    f.take_over({});
    f.report_all();
    f.plan();
  }
  REQUIRE(f.now() - begin >= 1500ms);
}

// Guards against a job that counts as having waited because the clock of the
// daemon that accepted it is behind the leader's.
TEST_CASE("a best-effort job does not starve by the clock of another daemon") {
  best_effort_fixture f;
  f.add_serving_worker("w1");
  f.add_job("f", {best_effort_fixture::best_effort_step("a")});
  f.plan();
  f.advance_half_second(20);
  auto spec = std::make_shared<job_spec>(*scheduler_fixture::make_job(
      "g", {best_effort_fixture::best_effort_step("b")}));
  spec->accepted_at = f.wall() - 20'000;
  f.jobs["g"] = spec;
  f.tested_scheduler().add_job(spec, f.now(), f.wall());
  f.plan();
  f.advance_half_second(20);
  REQUIRE(f.workers_running("g.0.0.0").empty());
}

}  // namespace
}  // namespace vanillaladder::batch
