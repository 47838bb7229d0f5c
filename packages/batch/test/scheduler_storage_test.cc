#include <catch2/catch.hpp>
#include <random>

#include "scheduler_fixture.h"

namespace vanillaladder::batch {
namespace {

/// What the platform's store takes in a record.
constexpr std::size_t max_record_bytes = 262'144;

std::size_t largest_record(const scheduler_fixture& f) {
  std::size_t largest = 0;
  for (const auto& [key, value] : f.records) {
    largest = std::max(largest, key.size() + value.size());
  }
  return largest;
}

}  // namespace

// Guards against a job that stops all work: the progress of a step of 4,500
// tasks exceeded a record of the store.
TEST_CASE("the progress of a wide step is stored in bounded records") {
  scheduler_fixture f;
  // The longest id that a decoder lets pass.
  std::string id(255, 'w');
  f.add_worker(id, {5'000'000, 5'000'000, 0});
  f.add_job("a", {scheduler_fixture::step(4500, 1000)});
  while (f.running() < 4500) {
    f.plan(1'000'000);
  }
  for (auto& run : f.workers.at(id).running) {
    run.checkpoint = std::string(255, 'c');
  }
  f.report(id);
  for (int n = 0; n < 4500; n += 100) {
    f.end("a.0.0." + std::to_string(n), end_reason::failed);
  }
  f.report(id);
  f.plan();
  REQUIRE(largest_record(f) <= max_record_bytes / 2);
}

// Guards against parts that are written although nothing in them has changed.
TEST_CASE("only the parts of the progress that changed are stored") {
  scheduler_fixture f;
  f.add_worker("w1", {5'000'000, 5'000'000, 0});
  f.add_job("a", {scheduler_fixture::step(1000, 1000)});
  f.plan(1'000'000);
  f.end("a.0.0.300", end_reason::done);
  f.report("w1");
  auto commit = f.plan();
  REQUIRE(commit.progress.size() == 1);
  REQUIRE(commit.progress.front().key == "a/0/0/2");
}

// Guards against progress that is lost when a record of an earlier version,
// with all tasks of a step, is replaced.
TEST_CASE("a record with all tasks of a step is split by a new leader") {
  scheduler_fixture f;
  f.add_worker("w1", {5'000'000, 5'000'000, 0});
  f.add_job("a", {scheduler_fixture::step(300, 1000)});
  std::vector<task_record> tasks;
  tasks.reserve(300);
  for (int n = 0; n < 300; ++n) {
    tasks.push_back({n, true, 1, 0, "", {}});
  }
  tasks.pop_back();
  f.records["a/0/0"] = encode(tasks);
  f.take_over({});
  f.report("w1");
  f.plan();
  REQUIRE(f.records.contains("a/0/0/1"));
  REQUIRE(f.records.contains("a/0/0/2"));
  f.take_over({});
  f.report("w1");
  f.plan();
  REQUIRE(f.running() == 1);
}

// Any accepted job can be stored, progressed, restored by a new leader and
// completed, and leaves no record of its progress behind.
TEST_CASE("property: any job is completed over changes of the leader") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    auto draw = [&](int low, int high) {
      return std::uniform_int_distribution(low, high)(random);
    };
    scheduler_fixture f;
    f.add_worker("w1", {200'000, 2'000'000, 0});
    f.add_worker("w2", {200'000, 2'000'000, 0});
    std::vector<step_spec> steps;
    for (int n = draw(1, 3); n > 0; --n) {
      steps.push_back(scheduler_fixture::step(draw(1, 400), draw(1, 500)));
      if (steps.size() > 1) {
        steps.back().depends_on = {static_cast<int>(steps.size()) - 2};
      }
    }
    f.add_job("a", steps, 0);
    bool completed = false;
    for (int round = 0; round < 200 && !completed; ++round) {
      f.advance_time(100ms);
      f.plan(1'000'000);
      REQUIRE(largest_record(f) <= max_record_bytes);
      for (auto& [id, worker] : f.workers) {
        for (auto count = worker.running.size() / 2 + 1;
             count > 0 && !worker.running.empty(); --count) {
          f.end(to_string(worker.running.front().task),
                draw(0, 9) == 0 ? end_reason::failed : end_reason::done);
        }
      }
      f.report_all();
      f.plan(1'000'000);
      completed = f.logged("to=completed");
      if (draw(0, 4) == 0 && !completed) {
        f.take_over({});
        f.report_all();
      }
    }
    REQUIRE(completed);
    f.report_all();
    f.plan();
    f.plan();
    for (const auto& [key, value] : f.records) {
      REQUIRE_FALSE(parse_progress_key(key).has_value());
    }
  }
}

// Guards against a gang that never fits, and takes seconds of each plan.
TEST_CASE("pattern: a gang that doesn't fit stays within the work of a plan") {
  scheduler_fixture f;
  for (int n = 0; n < 100; ++n) {
    f.add_worker("w" + std::to_string(n), {64'000, 64'000, 0});
  }
  auto gang = scheduler_fixture::step(50'000, 1000);
  gang.gang = true;
  f.add_job("a", {gang});
  f.add_job("b", {scheduler_fixture::step(1, 1000)});
  f.plan();
  REQUIRE(f.tested_scheduler().units_spent() < scheduler::default_plan_units);
  REQUIRE(f.running() == 1);
}

// Guards against a count of pending jobs that leaves out jobs whose start never
// reached a worker.
TEST_CASE("a job has begun once a worker has confirmed a start") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.workers.at("w1").unresponsive = true;
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.plan();
  REQUIRE_FALSE(f.logged("job_state id=a from=queued to=running"));
  f.workers.at("w1").unresponsive = false;
  f.execute(f.undelivered_stops);
  for (int n = 0; n < 30 && f.running() == 0; ++n) {
    f.advance_time(500ms);
    f.report("w1");
    f.plan();
  }
  REQUIRE(f.running() == 1);
  REQUIRE(f.logged("job_state id=a from=queued to=running"));
}

}  // namespace vanillaladder::batch
