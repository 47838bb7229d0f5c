#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "batch/scheduler.h"
#include "scheduler_fixture.h"

namespace vanillaladder::batch {
namespace {

/// A serving task of image "x" on every worker, and a way to report its
/// response times.
class serving_beside_filling : public scheduler_fixture {
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

  static step_spec filling(const std::string& image) {
    auto made = step(1, 2000);
    made.best_effort = true;
    made.checkpoints = true;
    made.image = image;
    return made;
  }

  /// Half a second passes; a serving task answers in 8 ms, or in `slowed`
  /// beside a filling task of image "a" that is not stopped.
  /// @return whether a serving task was late.
  bool report_for_half_a_second(std::int64_t slowed) {
    pass(500ms);
    bool is_late = false;
    for (auto& [id, worker] : workers) {
      bool is_pressed = false;
      for (const auto& run : worker.running) {
        auto last = std::ranges::find_if(
            paces.rbegin(), paces.rend(),
            [&](const auto& pace) { return pace.task == run.task; });
        is_pressed =
            is_pressed || (is_filling(run.task) && image_of(run.task) == "a" &&
                           (last == paces.rend() || last->percent > 0));
      }
      for (auto& run : worker.running) {
        if (is_filling(run.task)) {
          run.progress = std::min(90, run.progress + 5);
          run.measurement = 2000;
        } else {
          run.progress = 100;
          run.measurement = is_pressed ? slowed : 8;
          is_late = is_late || run.measurement > 20;
        }
      }
      report(id);
    }
    plan();
    return is_late;
  }

  /// @return the longest time for which a serving task was late on end.
  milliseconds longest_late(int reports, std::int64_t slowed) {
    milliseconds longest{0};
    milliseconds late{0};
    for (int n = 0; n < reports; ++n) {
      late = report_for_half_a_second(slowed) ? late + 500ms : 0ms;
      longest = std::max(longest, late);
    }
    return longest;
  }

  bool is_filling(const task_key& task) const {
    return jobs.at(task.step.job)->steps[0].best_effort;
  }
  const std::string& image_of(const task_key& task) const {
    return jobs.at(task.step.job)->steps[0].image;
  }
  /// @return the last pace ordered of a task, or full speed.
  int pace_of(const std::string& task) const {
    int percent = 100;
    for (const auto& pace : paces) {
      percent = to_string(pace.task) == task ? pace.percent : percent;
    }
    return percent;
  }
};

// Many serving tasks of several images arrive at once; a filling image that
// presses on one of them must find workers without it.
TEST_CASE("pattern: serving tasks share workers with their like") {
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

// A filling task beside a serving one that it makes late must be slowed at
// once and moved as soon as another worker offers more.
TEST_CASE("pattern: what presses on a serving task is slowed and moved") {
  serving_beside_filling f;
  f.add_serving_worker("w1");
  f.report_for_half_a_second(60);
  f.add_job("f", {serving_beside_filling::filling("a")});
  f.plan();
  REQUIRE(f.where("f.0.0.0") == std::vector<std::string>{"w1"});
  f.report_for_half_a_second(60);
  REQUIRE(f.pace_of("f.0.0.0") < 100);
  f.report_for_half_a_second(60);
  REQUIRE(f.pace_of("f.0.0.0") <= 50);
  REQUIRE(f.logged("run_held task=f.0.0.0 run=1 worker=w1 percent="));
  f.add_worker("w2", {8000, 90000, 0});
  for (int n = 0; n < 4; ++n) {
    f.report_for_half_a_second(60);
  }
  REQUIRE(f.where("f.0.0.0") == std::vector<std::string>{"w2"});
  // Its like are not placed beside the serving task either.
  f.add_job("g", {serving_beside_filling::filling("a")});
  f.plan();
  REQUIRE(f.where("g.0.0.0") == std::vector<std::string>{"w2"});
  // Another image is.
  f.add_job("h", {serving_beside_filling::filling("b")});
  f.plan();
  REQUIRE(f.where("h.0.0.0") == std::vector<std::string>{"w1"});
}

// Serving tasks that a filling image presses on are on every worker; its jobs
// must not wait for ever, and the serving tasks must not stay late.
TEST_CASE("pattern: a step that presses everywhere runs, slowed down") {
  serving_beside_filling f;
  f.add_serving_worker("w1");
  f.report_for_half_a_second(60);
  f.add_job("f", {serving_beside_filling::filling("a")});
  f.plan();
  REQUIRE(f.longest_late(20, 60) <= 3s);
  REQUIRE(f.where("f.0.0.0").size() == 1);
  f.add_job("g", {serving_beside_filling::filling("a")});
  f.plan();
  REQUIRE(f.where("g.0.0.0").empty());
  for (int n = 0; n < 8; ++n) {
    f.report_for_half_a_second(60);
  }
  REQUIRE(f.where("g.0.0.0").size() == 1);
}

// The users count a serving task that stays late for 4 s while filling ones
// work on; here one is late by so little that the model sees no cause.
TEST_CASE("a serving task is not late for over 3 s on end") {
  serving_beside_filling f;
  f.add_serving_worker("w1");
  f.add_job("f", {serving_beside_filling::filling("a")});
  f.plan();
  REQUIRE(f.longest_late(40, 21) <= 3s);
}

}  // namespace
}  // namespace vanillaladder::batch
