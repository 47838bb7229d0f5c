#include "batch/reservations.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "scheduler_fixture.h"

namespace vanillaladder::batch {
namespace {

const time_point start{100s};

scheduler_options looking_ahead() {
  scheduler_options options;
  options.look_ahead = true;
  return options;
}

step_spec timed_step(int count, std::int64_t cpu, milliseconds run_time) {
  auto step = scheduler_fixture::step(count, cpu);
  step.required_resources.memory_mib = 1;
  step.estimated_run_time = run_time;
  return step;
}

/// Plays tasks that take just as long as estimated.
struct look_ahead_fixture : scheduler_fixture {
  explicit look_ahead_fixture(bool enabled = true)
      : scheduler_fixture(enabled ? looking_ahead() : scheduler_options{}) {}

  void plan_and_note() {
    plan();
    for (const auto& [id, worker] : workers) {
      for (const auto& run : worker.running) {
        started.emplace(to_string(run.task), now());
      }
    }
  }

  /// Ends the tasks whose time has come, in steps of 10 ms.
  void play(milliseconds time) {
    for (milliseconds played{0}; played < time; played += 10ms) {
      advance_time(10ms);
      std::vector<std::string> done;
      for (const auto& [id, worker] : workers) {
        for (const auto& run : worker.running) {
          const auto& spec =
              jobs.at(run.task.step.job)
                  ->steps[static_cast<std::size_t>(run.task.step.step)];
          auto name = to_string(run.task);
          if (now() - started.at(name) >= spec.estimated_run_time) {
            done.push_back(name);
          }
        }
      }
      for (const auto& name : done) {
        end(name, end_reason::done);
      }
      report_all();
      plan_and_note();
    }
  }

  std::map<std::string, time_point> started;
};

}  // namespace

TEST_CASE("room for a task is found by the ends of runs") {
  std::vector<expected_release> releases = {{start + 900ms, {2000, 0, 0}},
                                            {start + 300ms, {1000, 0, 0}}};
  auto fit = [&](std::int64_t cpu) {
    return reservations::earliest_fit({500, 0, 0}, releases, {cpu, 0, 0},
                                      start);
  };
  REQUIRE(fit(500) == start);
  REQUIRE(fit(1500) == start + 300ms);
  REQUIRE(fit(3500) == start + 900ms);
  REQUIRE_FALSE(fit(3501).has_value());
  releases[0].at = start + reservations::horizon + 1ms;
  REQUIRE_FALSE(fit(3500).has_value());
}

TEST_CASE("a task is backfilled if it ends in time or leaves enough") {
  reservations held;
  held.reserve("w", start + 500ms, {1000, 0, 0});
  REQUIRE_FALSE(held.delays("other", {5000, 0, 0}, time_point::max()));
  REQUIRE_FALSE(held.delays("w", {5000, 0, 0}, start + 500ms));
  REQUIRE(held.delays("w", {5000, 0, 0}, start + 501ms));
  REQUIRE_FALSE(held.delays("w", {1000, 0, 0}, time_point::max()));
  held.on_start("w", {1000, 0, 0}, time_point::max());
  REQUIRE(held.delays("w", {1, 0, 0}, time_point::max()));
}

// pattern: small tasks take each gap, so that a large one waits.
TEST_CASE("pattern: a large task starts although small ones keep coming") {
  auto wait_for_large = [](bool enabled) {
    look_ahead_fixture f(enabled);
    // Most of the capacity is in use elsewhere.
    f.add_worker("w0", {40'000, 100'000, 0});
    f.add_job("other", {timed_step(1, 40'000, 60'000ms)});
    f.plan_and_note();
    f.add_worker("w1", {4000, 100'000, 0});
    int number = 0;
    auto add_small = [&] {
      f.add_job("s" + std::to_string(number++), {timed_step(1, 1000, 900ms)});
    };
    for (int n = 0; n < 4; ++n) {
      add_small();
      f.plan_and_note();
      f.play(200ms);
    }
    // Of higher rank than the small ones that come later.
    f.add_job("large", {timed_step(1, 4000, 100ms)});
    milliseconds waited{0};
    while (!f.started.contains("large.0.0.0") && waited < 10s) {
      add_small();
      f.play(200ms);
      waited += 200ms;
    }
    return waited;
  };
  REQUIRE(wait_for_large(true) <= 1200ms);
  REQUIRE(wait_for_large(false) > 1200ms);
}

TEST_CASE("held room is used until it is needed") {
  look_ahead_fixture f;
  f.add_worker("w1", {4000, 100'000, 0});
  f.add_job("a", {timed_step(1, 3000, 1000ms)});
  f.plan_and_note();
  f.add_job("large", {timed_step(1, 4000, 100ms)});
  f.plan_and_note();
  REQUIRE(f.logged("held step=large/0/0"));
  f.add_job("short", {timed_step(1, 1000, 500ms)});
  f.plan_and_note();
  REQUIRE(f.started.contains("short.0.0.0"));
}

TEST_CASE("no step waits long for a reservation of another") {
  look_ahead_fixture f;
  f.add_worker("w1", {4000, 100'000, 0});
  // Takes far longer than estimated, so that the reservation moves on.
  f.add_job("a", {timed_step(1, 3000, 500ms)});
  f.plan_and_note();
  f.add_job("large", {timed_step(1, 4000, 100ms)});
  f.add_job("b", {timed_step(1, 1000, 60000ms)});
  for (int n = 0; n < 20 && !f.started.contains("b.0.0.0"); ++n) {
    f.advance_time(100ms);
    f.report_all();
    f.plan_and_note();
  }
  REQUIRE(f.started.contains("b.0.0.0"));
  REQUIRE(f.started.at("b.0.0.0") - start <= 1700ms);
}

TEST_CASE("nothing is held while half of the capacity is free") {
  look_ahead_fixture f;
  f.add_worker("w1", {4000, 100'000, 0});
  f.add_worker("w2", {100'000, 1, 0});
  f.add_job("a", {timed_step(1, 3000, 1000ms)});
  f.plan_and_note();
  f.add_job("large", {timed_step(1, 4000, 100ms)});
  f.plan_and_note();
  REQUIRE_FALSE(f.logged("held step="));
}

// With run times as estimated every task runs in the end. That backfilling
// delays no reservation is checked by "a large task starts" above only.
TEST_CASE("property: nobody starves beside reservations") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    auto draw = [&](int low, int high) {
      return std::uniform_int_distribution(low, high)(random);
    };
    look_ahead_fixture f;
    f.add_worker("w1", {8000, 1'000'000, 0});
    int tasks = 0;
    for (int n = 0; n < 12; ++n) {
      f.add_job(
          "s" + std::to_string(n),
          {timed_step(1, std::int64_t{1000} * draw(1, 2), 100ms * draw(2, 9))});
      ++tasks;
    }
    f.plan_and_note();
    f.add_job("large", {timed_step(1, 8000, 100ms)});
    ++tasks;
    f.play(100ms);
    for (int n = 0; n < 10; ++n) {
      f.add_job(
          "t" + std::to_string(n),
          {timed_step(1, std::int64_t{1000} * draw(1, 2), 100ms * draw(1, 9))});
      ++tasks;
    }
    f.play(20s);
    REQUIRE(f.started.size() == static_cast<std::size_t>(tasks));
  }
}

}  // namespace vanillaladder::batch
