#include <catch2/catch.hpp>

#include "batch/detail/scheduler_state.h"
#include "batch/job_memory.h"
#include "scheduler_fixture.h"

namespace vanillaladder::batch {
namespace {

constexpr std::size_t memory_limit = 64U << 20;

struct recurring_fixture : scheduler_fixture {
  explicit recurring_fixture(scheduler_options options = {})
      : scheduler_fixture(options) {}

  /// Adds a job whose occurrences are all due.
  void add_recurring(const std::string& id, const step_spec& work,
                     int occurrences, milliseconds interval = 1ms) {
    auto spec = std::make_shared<job_spec>(*make_job(id, {work}));
    spec->repeat_count = occurrences;
    spec->first_run_at = wall_start - occurrences * interval.count();
    spec->interval = interval;
    spec->accepted_at = wall();
    jobs[id] = spec;
    tested_scheduler().add_job(spec, now(), wall());
  }

  void pass_round() {
    advance_time(100ms);
    report_all();
    plan();
  }

  /// Lets all runs of a job end as done.
  /// @return number of runs that ended.
  int end_runs(const std::string& job) {
    std::vector<std::string> tasks;
    for (const auto& [id, worker] : workers) {
      for (const auto& run : worker.running) {
        if (run.task.step.job == job) {
          tasks.push_back(to_string(run.task));
        }
      }
    }
    for (const auto& task : tasks) {
      ++runs_done[task];
      end(task, end_reason::done);
    }
    return static_cast<int>(tasks.size());
  }

  /// Loses the scheduler and continues with a successor.
  void replace_leader() {
    take_over(std::vector<lost_worker>());
    report_all();
    plan();
  }

  std::size_t waiting_bytes() {
    return tested_scheduler().waiting_tasks() * sizeof(detail::task_state);
  }

  std::map<std::string, int> runs_done;
};

}  // namespace

// Guards against a leader that ends for its memory: the occurrences of a job
// fall due faster than they complete, and each has a state for each task.
TEST_CASE("open occurrences of a large job stay within the memory") {
  recurring_fixture f;
  f.add_worker("w1", {4000, 9000, 0});
  f.add_recurring("a", scheduler_fixture::step(25'000, 1000), 1000, 200ms);
  f.plan();
  CHECK(f.running() == 4);
  CHECK(f.waiting_bytes() <= memory_limit);
  // The same for a successor, which reads the job from the store.
  f.replace_leader();
  CHECK(f.waiting_bytes() <= memory_limit);
}

// The same for many smaller jobs, as an earlier version stored them.
TEST_CASE("open occurrences of many stored jobs stay within the memory") {
  recurring_fixture f;
  f.add_worker("w1", {4000, 90000, 0});
  for (int n = 0; n < 300; ++n) {
    f.add_recurring("r" + std::to_string(n), scheduler_fixture::step(40, 1000),
                    10'000, 1ms);
    f.add_recurring("s" + std::to_string(n),
                    scheduler_fixture::step(2'000, 1000), 100, 200ms);
  }
  f.plan();
  CHECK(f.waiting_bytes() <= memory_limit);
  CHECK(f.running() == 4);
  f.replace_leader();
  CHECK(f.waiting_bytes() <= memory_limit);
}

// The same for jobs that run once.
TEST_CASE("jobs beyond the memory wait until others have ended") {
  scheduler_options options;
  options.max_state_bytes = 2 * occurrence_bytes(*scheduler_fixture::make_job(
                                    "a", {scheduler_fixture::step(100, 1000)}));
  recurring_fixture f(options);
  f.add_worker("w1", {100'000, 90000, 0});
  for (const char* id : {"c", "b", "a"}) {
    f.advance_time(10ms);
    f.add_job(id, {scheduler_fixture::step(100, 1000)});
  }
  f.plan();
  CHECK(f.tested_scheduler().deferred_jobs() == 1);
  CHECK(f.tested_scheduler().state_bytes() <= options.max_state_bytes);
  // The first ones go first.
  f.plan();
  CHECK(f.end_runs("c") == 100);
  f.pass_round();
  f.pass_round();
  CHECK(f.end_runs("b") == 100);
  f.pass_round();
  f.pass_round();
  CHECK(f.end_runs("a") == 100);
  CHECK(f.tested_scheduler().deferred_jobs() == 0);
}

// Guards against runs beside others of their task: a successor without the
// memory for a job that an earlier leader has started.
TEST_CASE("started jobs are restored however little memory there is") {
  scheduler_options options;
  options.max_state_bytes = occurrence_bytes(
      *scheduler_fixture::make_job("a", {scheduler_fixture::step(2, 1000)}));
  recurring_fixture f(options);
  f.add_worker("w1", {4000, 90000, 0});
  f.add_job("b", {scheduler_fixture::step(2, 1000)});
  f.plan();
  f.add_job("a", {scheduler_fixture::step(2, 1000)});
  f.replace_leader();
  CHECK(f.workers_running("b.0.0.0").size() == 1);
  CHECK(f.workers_running("b.0.0.1").size() == 1);
  CHECK(f.workers_running("a.0.0.0").empty());
}

// Guards against the state and the records of complete occurrences that add up
// until their job ends.
TEST_CASE("complete occurrences are not kept") {
  recurring_fixture f;
  f.add_worker("w1", {4000, 90000, 0});
  f.add_recurring("a", scheduler_fixture::step(4, 1000), 300);
  for (int n = 0; n < 299; ++n) {
    f.pass_round();
    REQUIRE(f.end_runs("a") == 4);
  }
  f.pass_round();
  CHECK(f.records.size() <= 110);
  CHECK(f.tested_scheduler().state_bytes() <=
        100 * occurrence_bytes(*f.jobs.at("a")));
  f.end_runs("a");
  f.pass_round();
  f.pass_round();
  CHECK(f.records.size() == 1);
  CHECK(decode_status(f.records.at("s/a"))->state == job_state::completed);
}

// Guards against occurrences that a successor runs again, as their progress is
// not stored any longer.
TEST_CASE("changes of the leader repeat no complete occurrence") {
  recurring_fixture f;
  f.add_worker("w1", {3000, 90000, 0});
  f.add_recurring("a", scheduler_fixture::step(2, 1000), 40);
  for (int n = 0; n < 200 && !f.records.contains("s/a"); ++n) {
    f.pass_round();
    if (n % 3 != 0) {
      f.end_runs("a");
    }
    if (n % 4 == 0) {
      f.replace_leader();
    }
  }
  while (f.running() > 0) {
    f.end_runs("a");
    f.pass_round();
  }
  CHECK(f.runs_done.size() == 80);
  for (const auto& [task, count] : f.runs_done) {
    INFO(task);
    CHECK(count == 1);
  }
}

// The same if the leader ended between the appends of one commit.
TEST_CASE("progress of complete occurrences that is still stored is removed") {
  recurring_fixture f;
  f.add_worker("w1", {2000, 90000, 0});
  f.add_recurring("a", scheduler_fixture::step(2, 1000), 3);
  f.pass_round();
  auto before = f.records;
  REQUIRE(before.contains("a/0/0"));
  REQUIRE(f.end_runs("a") == 2);
  f.pass_round();
  REQUIRE(f.records.contains("a/done"));
  REQUIRE_FALSE(f.records.contains("a/0/0"));
  f.records["a/0/0"] = before.at("a/0/0");
  f.replace_leader();
  CHECK_FALSE(f.records.contains("a/0/0"));
  CHECK(f.workers_running("a.0.0.0").empty());
  f.end_runs("a");
  f.pass_round();
  f.end_runs("a");
  f.pass_round();
  CHECK(f.runs_done.size() == 6);
  for (const auto& [task, count] : f.runs_done) {
    CHECK(count == 1);
  }
}

// Guards against an occurrence that runs again: its last progress was stored,
// but not yet that it is complete, as the older ones are.
TEST_CASE("what was complete is restored together with what completed since") {
  recurring_fixture f;
  f.add_worker("w1", {2000, 90000, 0});
  f.add_recurring("a", scheduler_fixture::step(1, 1000), 4);
  std::vector<task_record> done = {{0, true, 1, 0, "", {}}};
  f.records["a/done"] = "0-0";
  f.records["a/1/0"] = encode(done);
  f.replace_leader();
  CHECK(f.records.at("a/done") == "0-1");
  CHECK(f.workers_running("a.2.0.0").size() == 1);
  CHECK(f.workers_running("a.3.0.0").size() == 1);
  CHECK(f.running() == 2);
}

// Guards against a successor that ends for its memory: an earlier version kept
// the progress of all occurrences.
TEST_CASE("complete occurrences of an earlier version are not restored") {
  recurring_fixture f;
  f.add_worker("w1", {2000, 90000, 0});
  auto work = scheduler_fixture::step(2, 1000);
  f.add_recurring("a", work, 1000);
  std::vector<task_record> done = {{0, true, 1, 0, "", {}},
                                   {1, true, 1, 0, "", {}}};
  for (int n = 0; n < 500; ++n) {
    f.records[to_string(progress_key{{"a", n, 0}, 0})] = encode(done);
  }
  f.replace_leader();
  CHECK(f.tested_scheduler().state_bytes() <=
        100 * occurrence_bytes(*f.jobs.at("a")));
  CHECK(f.records.at("a/done") == "0-499");
  CHECK(f.records.size() <= 3);
  REQUIRE(f.running() == 2);
  for (const auto& run : f.workers.at("w1").running) {
    CHECK(run.task.step.occurrence >= 500);
  }
}

// Guards against later occurrences that wait for one that takes long.
TEST_CASE("an occurrence that goes on doesn't hold up the later ones") {
  recurring_fixture f;
  f.add_worker("w1", {2000, 90000, 0});
  f.add_recurring("a", scheduler_fixture::step(1, 1000), 300);
  f.pass_round();
  REQUIRE(f.running() == 2);
  auto first = f.workers.at("w1").running.front();
  for (int n = 1; n < 300; ++n) {
    REQUIRE(f.running() == 2);
    // It goes on slowly.
    f.workers.at("w1").running.front().progress = n / 20;
    f.end(to_string(f.workers.at("w1").running.back().task), end_reason::done);
    f.pass_round();
  }
  REQUIRE(f.running() == 1);
  CHECK(f.workers.at("w1").running.front().task == first.task);
  auto completed = parse_occurrence_set(f.records.at("a/done"));
  CHECK(completed->size() == 299);
}

// Guards against bounds that the memory of tasks exceeds.
TEST_CASE("a job takes the memory of all occurrences that may be open") {
  auto spec = *scheduler_fixture::make_job(
      "a", {scheduler_fixture::step(100, 1000), scheduler_fixture::step(1, 1)});
  CHECK(occurrence_bytes(spec) >
        101 * (sizeof(detail::task_state) + sizeof(detail::run_state)) +
            2 * sizeof(detail::step_state));
  CHECK(max_open_occurrences(spec) == 1);
  spec.repeat_count = 1000;
  spec.interval = 10'000ms;
  CHECK(max_open_occurrences(spec) == 4);
  CHECK(memory_of(spec) > 4 * occurrence_bytes(spec));
  spec.interval = 0ms;
  CHECK(max_open_occurrences(spec) == 100);
  spec.steps[0].count = max_tasks_per_job;
  CHECK(max_open_occurrences(spec) == 1);
}

}  // namespace vanillaladder::batch
