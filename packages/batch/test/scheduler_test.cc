#include "batch/scheduler.h"

#include <catch2/catch.hpp>

#include "batch/worker_trust.h"
#include "scheduler_fixture.h"

namespace vanillaladder::batch {
namespace {

job_state stored_state(const scheduler_fixture& f, const std::string& id) {
  auto found = f.records.find("s/" + id);
  REQUIRE(found != f.records.end());
  return decode_status(found->second)->state;
}

TEST_CASE("a step starts once all tasks of the steps before it are done") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  auto second = scheduler_fixture::step(1, 1000);
  second.depends_on = {0};
  f.add_job("a", {scheduler_fixture::step(2, 1000), second});
  f.plan();
  f.end("a.0.0.0", end_reason::done);
  f.pass(10ms);
  f.report("w1");
  f.plan();
  REQUIRE(f.where("a.0.1.0").empty());
  f.end("a.0.0.1", end_reason::done);
  f.pass(10ms);
  f.report("w1");
  f.plan();
  REQUIRE(f.where("a.0.1.0").size() == 1);
}

TEST_CASE("a worker never holds more than its room") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(9, 1500)});
  f.plan();
  REQUIRE(f.running() == 2);
}

// What is being stopped still uses its room until its end is listed.
TEST_CASE("the room of a run that stops is free once its end is reported") {
  scheduler_fixture f;
  f.add_worker("w1", {1000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.add_job("b", {scheduler_fixture::step(1, 1000)});
  f.decisions().cancel_job("a", f.now());
  f.plan();
  REQUIRE(f.where("b.0.0.0").empty());
  f.pass(10ms);
  f.report("w1");
  f.plan();
  REQUIRE(f.where("b.0.0.0").size() == 1);
}

TEST_CASE("an end may be forgotten only once it is stored") {
  scheduler_fixture f;
  f.add_worker("w1", {1000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.end("a.0.0.0", end_reason::done);
  f.pass(10ms);
  f.report("w1");
  REQUIRE(f.decisions().last_stored_end("w1") == 0);
  f.plan();
  REQUIRE(f.decisions().last_stored_end("w1") == 1);
  REQUIRE(stored_state(f, "a") == job_state::completed);
  f.plan();
  // Nothing but the state is left of the job.
  REQUIRE(f.records.count("a/0/0") == 0);
}

// The two parts of a commit are stored apart. If the progress of a job went
// before its end is stored, a new leader would run all of it again.
TEST_CASE("progress is removed only after the end of its job is stored") {
  scheduler_fixture f;
  f.add_worker("w1", {1000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.end("a.0.0.0", end_reason::done);
  f.pass(10ms);
  f.report("w1");
  auto ending = f.decisions().plan(f.now(), scheduler_fixture::wall_start);
  f.decisions().on_progress_committed();
  REQUIRE(ending.jobs.size() == 1);
  REQUIRE(ending.progress.size() == 1);
  REQUIRE_FALSE(ending.progress[0].value.empty());
  // A leader that has only this part knows that the task is done.
  auto tasks = decode_tasks(ending.progress[0].value);
  REQUIRE(tasks->at(0).done);
  f.decisions().on_committed();
  auto after = f.decisions().plan(f.now(), scheduler_fixture::wall_start);
  REQUIRE(after.progress.size() == 1);
  REQUIRE(after.progress[0].value.empty());
}

TEST_CASE("a task that fails too often fails its job") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_worker("w2", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(2, 1000)}, 2);
  f.plan();
  for (int n = 0; n < 2; ++n) {
    f.end("a.0.0.0", end_reason::failed);
    f.pass(2000ms);
    f.report_all();
    f.plan();
  }
  f.pass(10ms);
  f.report_all();
  f.plan();
  REQUIRE(stored_state(f, "a") == job_state::failed);
  REQUIRE(f.running() == 0);
}

TEST_CASE("a failed task is tried again on another worker") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_worker("w2", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)}, 3);
  f.plan();
  auto first = f.where("a.0.0.0").at(0);
  f.end("a.0.0.0", end_reason::failed);
  f.pass(10ms);
  f.report_all();
  f.plan();
  REQUIRE(f.where("a.0.0.0").size() == 1);
  REQUIRE(f.where("a.0.0.0").at(0) != first);
}

// An order without an answer may be carried out seconds later.
TEST_CASE("a start without an answer is stopped before the task moves") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.workers.at("w1").loses_answers = true;
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.add_worker("w2", {4000, 4000, 0});
  f.workers.at("w1").silent = true;
  f.plan();
  REQUIRE(f.where("a.0.0.0").empty());
  // The worker answers the stop; from then on the start is refused there.
  f.workers.at("w1").silent = false;
  f.workers.at("w1").loses_answers = false;
  f.decisions().on_stop_answered("w1", {{"a", 0, 0}, 0}, 1, f.now());
  f.pass(10ms);
  f.report_all();
  f.plan();
  REQUIRE(f.where("a.0.0.0").size() == 1);
}

// Answers on different connections overtake each other.
TEST_CASE("a report asked for before a start was answered loses no run") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  auto asked = f.now();
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.pass(5ms);
  f.plan();
  worker_report old;
  old.incarnation = 1000;
  old.clock = f.clock_of_worker();
  old.requested_at = asked;
  old.received_at = f.now();
  f.decisions().on_report("w1", old);
  f.plan();
  REQUIRE(f.where("a.0.0.0").size() == 1);
}

TEST_CASE("a run that a later report does not show starts again") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.workers.at("w1").running.clear();
  f.pass(10ms);
  f.report("w1");
  f.plan();
  REQUIRE(f.where("a.0.0.0").size() == 1);
  REQUIRE(f.workers.at("w1").running[0].number == 2);
}

// A silent worker runs on until its lease ends.
TEST_CASE("the tasks of a silent worker start again after its lease") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.report("w1");
  f.workers.at("w1").silent = true;
  f.decisions().on_unreachable("w1", f.now());
  f.add_worker("w2", {4000, 4000, 0});
  f.pass(5000ms);
  f.plan();
  REQUIRE(f.where("a.0.0.0").size() == 1);
  f.pass(200ms);
  f.plan();
  REQUIRE(f.where("a.0.0.0").size() == 2);
  REQUIRE(f.workers.at("w2").running[0].number == 2);
}

TEST_CASE("a new worker at its address proves that a worker is gone") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.workers.at("w1").silent = true;
  f.workers.at("w1").running.clear();
  f.decisions().on_unreachable("w1", f.now());
  auto successor = f.workers.at("w1").entry;
  successor.info.id = "w2";
  successor.incarnation = 2000;
  f.workers["w2"].entry = successor;
  f.decisions().update_worker(successor, f.now());
  f.report("w2");
  f.plan();
  REQUIRE(f.where("a.0.0.0") == std::vector<std::string>{"w2"});
}

TEST_CASE("a new life of a worker proves that its runs are gone") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.workers.at("w1").running.clear();
  f.workers.at("w1").entry.incarnation = 2000;
  f.pass(10ms);
  f.report("w1");
  f.plan();
  REQUIRE(f.workers.at("w1").running.size() == 1);
}

// A takeover: the store says what may run, the workers say what does.
TEST_CASE("a new leader adopts what runs and waits for silent workers") {
  scheduler_fixture f;
  f.add_worker("w1", {1000, 4000, 0});
  f.add_worker("w2", {1000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(2, 1000)});
  f.plan();
  REQUIRE(f.running() == 2);
  auto silent = f.where("a.0.0.1").at(0);
  auto sound = f.where("a.0.0.0").at(0);
  f.workers.at(silent).silent = true;
  f.take_over();
  f.decisions().add_job(f.jobs.at("a"), f.now(), scheduler_fixture::wall_start);
  REQUIRE(f.decisions().restore_progress(
      {"a", 0, 0}, *decode_tasks(f.records.at("a/0/0")), f.now()));
  f.add_worker("w3", {1000, 4000, 0});
  f.pass(10ms);
  f.report_all();
  f.plan();
  REQUIRE(f.where("a.0.0.0") == std::vector<std::string>{sound});
  REQUIRE(f.where("a.0.0.1") == std::vector<std::string>{silent});
  // The leases of earlier leaders end.
  f.pass(7000ms);
  f.report_all();
  f.plan();
  REQUIRE(f.where("a.0.0.1").size() == 2);
  REQUIRE(f.workers.at("w3").running.at(0).number == 2);
}

TEST_CASE("a new leader stops what runs of a job that has ended") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.take_over();
  f.decisions().add_job(f.jobs.at("a"), f.now(), scheduler_fixture::wall_start);
  f.decisions().restore_progress({"a", 0, 0},
                                 *decode_tasks(f.records.at("a/0/0")), f.now());
  f.decisions().end_job("a", job_state::cancelled, f.now());
  f.plan();
  REQUIRE(f.running() == 0);
  REQUIRE(f.records.count("a/0/0") == 1);
  f.pass(10ms);
  f.report("w1");
  f.plan();
  REQUIRE(f.records.count("a/0/0") == 0);
}

TEST_CASE("a run that nobody knows is stopped") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.workers.at("w1").running.push_back({{{"gone", 0, 0}, 0}, 3, "", 0, 0});
  f.report("w1");
  f.plan();
  REQUIRE(f.running() == 0);
}

TEST_CASE("a task resumes from its newest checkpoint") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  auto saving = scheduler_fixture::step(1, 1000);
  saving.checkpoints = true;
  f.add_job("a", {saving});
  f.plan();
  f.end("a.0.0.0", end_reason::stopped, "00ab");
  f.pass(10ms);
  f.report("w1");
  f.plan();
  REQUIRE(f.workers.at("w1").running.at(0).checkpoint == "00ab");
}

TEST_CASE("nothing starts in a closed domain") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0}, "d1");
  f.add_worker("w2", {1000, 4000, 0}, "d2");
  f.decisions().set_closed_domains({"d1"});
  f.add_job("a", {scheduler_fixture::step(3, 1000)});
  f.plan();
  REQUIRE(f.workers.at("w1").running.empty());
  REQUIRE(f.workers.at("w2").running.size() == 1);
}

TEST_CASE("a lasting task leaves a worker that leaves") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  auto lasting = scheduler_fixture::step(1, 1000);
  lasting.long_running = true;
  f.add_job("a", {lasting});
  f.plan();
  f.add_worker("w2", {4000, 4000, 0});
  auto entry = f.workers.at("w1").entry;
  entry.info.state = model::instance_state::leaving;
  entry.remaining_lifetime = 4000ms;
  f.decisions().update_worker(entry, f.now());
  f.plan();
  f.pass(10ms);
  f.report_all();
  f.plan();
  REQUIRE(f.where("a.0.0.0") == std::vector<std::string>{"w2"});
}

TEST_CASE("the limit for each worker holds") {
  scheduler_fixture f;
  f.add_worker("w1", {9000, 9000, 0});
  f.add_worker("w2", {9000, 9000, 0});
  auto spread = scheduler_fixture::step(4, 1000);
  spread.per_worker_limit = 1;
  f.add_job("a", {spread});
  f.plan();
  REQUIRE(f.workers.at("w1").running.size() == 1);
  REQUIRE(f.workers.at("w2").running.size() == 1);
}

TEST_CASE("a gang starts whole or not at all, under one run number") {
  scheduler_fixture f;
  f.add_worker("w1", {2000, 9000, 0});
  auto gang = scheduler_fixture::step(3, 1000);
  gang.gang = true;
  f.add_job("a", {gang});
  f.plan();
  REQUIRE(f.running() == 0);
  f.add_worker("w2", {2000, 9000, 0});
  f.plan();
  REQUIRE(f.running() == 3);
  for (const auto& [id, worker] : f.workers) {
    for (const auto& run : worker.running) {
      REQUIRE(run.number == f.workers.at("w1").running.at(0).number);
    }
  }
}

TEST_CASE("an occurrence starts at its time and not before") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  auto spec = std::make_shared<job_spec>(
      *scheduler_fixture::make_job("a", {scheduler_fixture::step(1, 1000)}));
  spec->repeat_count = 2;
  spec->first_run_at = scheduler_fixture::wall_start + 1000;
  spec->interval = 1000ms;
  f.decisions().add_job(spec, f.now(), scheduler_fixture::wall_start);
  f.plan();
  REQUIRE(f.running() == 0);
  auto due = f.decisions().plan(f.now(), scheduler_fixture::wall_start + 1000);
  REQUIRE(due.orders.size() == 1);
}

// A worker that fails all that it starts frees its room at once, so that it
// would get every task in turn.
TEST_CASE("pattern: a worker that fails everything gets few tasks") {
  scheduler_fixture f;
  for (int n = 0; n < 5; ++n) {
    f.add_worker("w" + std::to_string(n), {4000, 9000, 0});
  }
  int failed = 0;
  for (int round = 0; round < 40; ++round) {
    f.add_job("j" + std::to_string(round), {scheduler_fixture::step(2, 1000)},
              2);
    f.plan();
    for (auto& [id, worker] : f.workers) {
      auto runs = worker.running;
      for (const auto& run : runs) {
        bool fails = id == "w0";
        failed += fails ? 1 : 0;
        f.end(to_string(run.task),
              fails ? end_reason::failed : end_reason::done);
      }
    }
    f.pass(100ms);
    f.report_all();
    f.plan();
  }
  REQUIRE(failed <= 8);
}

// A worker answers and reports, but what it runs stands still.
TEST_CASE("pattern: tasks that stand still are moved") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 9000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.add_worker("w2", {4000, 9000, 0});
  for (int n = 0; n < 6; ++n) {
    f.pass(500ms);
    f.report_all();
    f.plan();
  }
  f.pass(10ms);
  f.report_all();
  f.plan();
  REQUIRE(f.where("a.0.0.0") == std::vector<std::string>{"w2"});
  REQUIRE(f.logged("why=stands_still"));
}

TEST_CASE("a slow task that gains some work is left alone") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 9000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  for (int n = 1; n < 20; ++n) {
    f.pass(1000ms);
    f.workers.at("w1").running.at(0).progress = n;
    f.report("w1");
    f.plan();
  }
  REQUIRE(f.workers.at("w1").running.at(0).number == 1);
}

TEST_CASE("a task whose start was refused waits before the next try") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 9000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  auto made = f.decisions().plan(f.now(), scheduler_fixture::wall_start);
  f.decisions().on_committed();
  REQUIRE(made.orders.size() == 1);
  f.decisions().on_start_result("w1", {{"a", 0, 0}, 0}, 1,
                                start_outcome::no_room, f.now());
  f.plan();
  REQUIRE(f.running() == 0);
  f.pass(300ms);
  f.plan();
  REQUIRE(f.running() == 1);
}

// A worker on trial keeps its serving tasks; they must not bar it for good.
TEST_CASE("pattern: a worker with serving tasks gets out of its trial") {
  scheduler_fixture f;
  f.add_worker("w1", {8000, 9000, 0});
  auto serving = scheduler_fixture::step(1, 1000);
  serving.long_running = true;
  f.add_job("s", {serving});
  f.plan();
  for (int n = 0; n < 2; ++n) {
    auto id = "f" + std::to_string(n);
    f.add_job(id, {scheduler_fixture::step(1, 1000)}, 1);
    f.plan();
    f.end(id + ".0.0.0", end_reason::failed);
    f.pass(10ms);
    f.report("w1");
    f.plan();
  }
  f.add_job("next", {serving});
  f.plan();
  REQUIRE(f.where("next.0.0.0").empty());
  f.pass(worker_trust::first_pause);
  f.report("w1");
  f.plan();
  REQUIRE(f.where("next.0.0.0").size() == 1);
}

// Under load most steps wait; passing over those that need as much as one that
// found no worker must not pass over those that need less.
TEST_CASE("pattern: a small step is placed behind large ones that wait") {
  scheduler_fixture f;
  f.add_worker("w1", {8000, 90000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 6000)});
  f.add_job("b", {scheduler_fixture::step(1, 6000)});
  f.add_job("c", {scheduler_fixture::step(1, 7000)});
  f.add_job("d", {scheduler_fixture::step(1, 2000)});
  f.plan();
  REQUIRE(f.where("a.0.0.0").size() == 1);
  REQUIRE(f.where("b.0.0.0").empty());
  REQUIRE(f.where("c.0.0.0").empty());
  REQUIRE(f.where("d.0.0.0").size() == 1);
  REQUIRE(f.logged("waits step=c/0/0 tasks=1 needs_as_much_as=b/0/0"));
}

// What a label keeps from one step says nothing of a step without it.
TEST_CASE("a step is not passed over for one that needs a label") {
  scheduler_fixture f;
  f.add_worker("w1", {8000, 90000, 0});
  auto labelled = scheduler_fixture::step(1, 2000);
  labelled.required_label = "special";
  f.add_job("a", {labelled});
  f.add_job("b", {scheduler_fixture::step(1, 2000)});
  f.plan();
  REQUIRE(f.where("a.0.0.0").empty());
  REQUIRE(f.where("b.0.0.0").size() == 1);
}

// Guards against a plan of a backlog that holds the leader's loop for longer
// than its lease lasts, so that leaders follow each other and nothing starts.
TEST_CASE("a backlog after an outage is placed over several plans") {
  constexpr int site_workers = 490;
  // The design's rate of 660 starts a second between two renewals of a lease,
  // which are 450 ms apart.
  constexpr std::size_t most_starts = 297;
  scheduler_fixture f;
  for (int n = 0; n < site_workers; ++n) {
    f.add_worker("w" + std::to_string(n), {32000, 125000, 0});
  }
  constexpr int jobs = 400;
  constexpr int tasks = 10;
  constexpr std::size_t all = 4000;
  for (int n = 0; n < jobs; ++n) {
    f.add_job("j" + std::to_string(n), {scheduler_fixture::step(tasks, 3500)});
  }
  int plans = 0;
  while (f.running() < all && plans < jobs) {
    ++plans;
    REQUIRE(f.plan().orders.size() <= most_starts);
  }
  REQUIRE(f.running() == all);
}

// A plan that is cut must not begin again with what found no worker before.
TEST_CASE("steps without a worker don't use up every cut plan") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  constexpr int blocked = 20;
  for (int n = 0; n < blocked; ++n) {
    auto step = scheduler_fixture::step(1, 1000);
    step.required_label = "missing" + std::to_string(n);
    f.add_job("a" + std::to_string(n), {step});
  }
  f.add_job("b", {scheduler_fixture::step(1, 1000)});
  for (int n = 0; n <= blocked && f.running() == 0; ++n) {
    f.plan(1);
  }
  REQUIRE(f.where("b.0.0.0").size() == 1);
}

TEST_CASE("a plan that is cut goes on where it ended") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(3, 1000)});
  f.plan(1);
  REQUIRE(f.running() == 1);
  REQUIRE(f.decisions().is_budget_exhausted());
  REQUIRE(f.decisions().has_changes());
  f.plan();
  REQUIRE(f.running() == 3);
  REQUIRE_FALSE(f.decisions().is_budget_exhausted());
}

}  // namespace
}  // namespace vanillaladder::batch
