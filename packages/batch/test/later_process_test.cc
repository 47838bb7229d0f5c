#include <catch2/catch.hpp>

#include "scheduler_fixture.h"

namespace vanillaladder::batch {
namespace {

scheduler_options with_long_leases() {
  scheduler_options options;
  options.longest_lease = 10000ms;
  return options;
}

/// A task that was started on a worker whose process is replaced by a later one
/// under the same id.
struct later_process_fixture : scheduler_fixture {
  explicit later_process_fixture(int attempts = 2, bool long_running = false)
      : scheduler_fixture(with_long_leases()) {
    // No order of an earlier leader takes effect any more.
    advance_time(20000ms);
    add_worker("w1", {4000, 4000, 0});
    auto work = step(1, 1000);
    work.long_running = long_running;
    add_job("a", {work}, attempts);
    plan();
    REQUIRE(workers.at("w1").running.size() == 1);
    add_worker("w2", {4000, 4000, 0});
  }

  /// Replaces the process; what the start brought runs on the later one.
  void replace_process() {
    auto& worker = workers.at("w1");
    worker.entry.incarnation += 1000;
    // Its clock may begin anywhere.
    worker.started_at = now() - 1500s;
    worker.ends = 0;
  }

  void cut_off() {
    workers.at("w1").unresponsive = true;
    tested_scheduler().on_unreachable("w1", now());
  }

  /// Lets time pass with plans and reports.
  void pass(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += 100ms) {
      advance_time(100ms);
      report("w2");
      plan();
    }
  }

  /// @return whether the task has been started on the other worker.
  bool started_elsewhere() const {
    return logged("run_start task=a.0.0.0 run=2 worker=w2");
  }
};

}  // namespace

// Guards against two runs of a task at once: the later process takes the
// deadline of a start for the longest lease, and is cut off before it reports.
TEST_CASE("a start that may have reached a later process waits for its lease") {
  later_process_fixture f;
  f.replace_process();
  f.tested_scheduler().update_worker(f.workers.at("w1").entry, f.now());
  f.cut_off();
  f.pass(10000ms);
  CHECK_FALSE(f.started_elsewhere());
  // The last call to the worker may take effect until its limit.
  f.pass(scheduler_fixture::lease_call_limit + 500ms);
  CHECK(f.started_elsewhere());
}

// The same for the successor of a leader that has sent the start.
TEST_CASE("a new leader waits for the lease of a later process") {
  later_process_fixture f;
  f.replace_process();
  f.workers.at("w1").unresponsive = true;
  f.take_over(std::vector<lost_worker>());
  f.pass(10000ms);
  CHECK_FALSE(f.started_elsewhere());
}

// The same for a process whose entry has lapsed before the takeover.
TEST_CASE("a new leader waits for a later process that has left the list") {
  later_process_fixture f;
  f.replace_process();
  auto process = f.workers.at("w1").entry.incarnation;
  f.workers.erase("w1");
  f.take_over(std::vector<lost_worker>());
  f.tested_scheduler().on_earlier_entry("w1", process, f.now());
  f.pass(10000ms);
  CHECK_FALSE(f.started_elsewhere());
}

// The same for an attempt without an answer, after which a later attempt
// succeeded: the first one may start the run again on a later process.
TEST_CASE("a listed run waits if an earlier attempt to start it was lost") {
  later_process_fixture f;
  f.tested_scheduler().on_start_unanswered("w1", {{"a", 0, 0}, 0}, 1, f.now());
  f.report("w1");
  f.replace_process();
  f.tested_scheduler().update_worker(f.workers.at("w1").entry, f.now());
  f.cut_off();
  f.pass(23000ms);
  CHECK_FALSE(f.started_elsewhere());
  f.pass(1000ms);
  CHECK(f.started_elsewhere());
}

// Guards against a task that lasts and is away for a late call and the longest
// lease: the leader knew that no later process can start its run, and its
// successor did not.
TEST_CASE("a new leader knows that a run was listed by its process") {
  for (bool is_listed : {true, false}) {
    later_process_fixture f(2, true);
    f.report("w1");
    f.plan();
    f.replace_process();
    f.workers.at("w1").unresponsive = true;
    if (!is_listed) {
      auto process = f.workers.at("w1").entry;
      f.workers.erase("w1");
      f.take_over(std::vector<lost_worker>());
      f.tested_scheduler().on_earlier_entry("w1", process.incarnation, f.now());
    } else {
      f.take_over(std::vector<lost_worker>());
    }
    // The lease of the earlier leader.
    f.pass(6900ms);
    CHECK_FALSE(f.started_elsewhere());
    f.pass(300ms);
    CHECK(f.started_elsewhere());
  }
}

// The same after another change of the leader, which has restored it.
TEST_CASE("it is still known two leaders later") {
  later_process_fixture f(2, true);
  f.report("w1");
  f.plan();
  f.take_over(std::vector<lost_worker>());
  f.report("w1");
  f.plan();
  f.replace_process();
  f.workers.at("w1").unresponsive = true;
  f.take_over(std::vector<lost_worker>());
  f.pass(7200ms);
  CHECK(f.started_elsewhere());
}

// Guards against two runs of a task at once: what was stored is not enough to
// know that no later process starts the run.
TEST_CASE("a new leader waits for a start that may still take effect") {
  SECTION("an attempt was not answered, a later one was") {
    later_process_fixture f(2, true);
    f.tested_scheduler().on_start_unanswered("w1", {{"a", 0, 0}, 0}, 1,
                                             f.now());
    f.report("w1");
    f.plan();
    f.replace_process();
    f.workers.at("w1").unresponsive = true;
    f.take_over(std::vector<lost_worker>());
    f.pass(10000ms);
    CHECK_FALSE(f.started_elsewhere());
  }
  SECTION("only a later process has listed the run") {
    later_process_fixture f(2, true);
    f.replace_process();
    f.tested_scheduler().update_worker(f.workers.at("w1").entry, f.now());
    f.advance_time(100ms);
    f.report("w1");
    f.plan();
    f.workers.at("w1").unresponsive = true;
    f.take_over(std::vector<lost_worker>());
    f.pass(10000ms);
    CHECK_FALSE(f.started_elsewhere());
  }
  SECTION("nobody has listed the run") {
    later_process_fixture f(2, true);
    f.replace_process();
    f.workers.at("w1").unresponsive = true;
    f.take_over(std::vector<lost_worker>());
    f.pass(10000ms);
    CHECK_FALSE(f.started_elsewhere());
  }
}

// Guards against two runs of a task at once: an attempt without an answer under
// the earlier leader may still take effect, although its process lists the run
// to the new one.
TEST_CASE("a restored run may be started later although it is listed again") {
  later_process_fixture f(2, true);
  f.tested_scheduler().on_start_unanswered("w1", {{"a", 0, 0}, 0}, 1, f.now());
  f.report("w1");
  f.plan();
  f.take_over(std::vector<lost_worker>());
  f.advance_time(100ms);
  f.report("w1");
  f.replace_process();
  f.tested_scheduler().update_worker(f.workers.at("w1").entry, f.now());
  f.cut_off();
  f.pass(10000ms);
  CHECK_FALSE(f.started_elsewhere());
}

// Guards against waits that begin anew under each leader.
TEST_CASE(
    "changes of the leader do not lengthen the wait for a later process") {
  later_process_fixture f;
  f.replace_process();
  f.tested_scheduler().update_worker(f.workers.at("w1").entry, f.now());
  f.cut_off();
  for (int n = 0; n < 4; ++n) {
    f.pass(3000ms);
    f.take_over(f.tested_scheduler().lost_workers(f.now()));
  }
  f.pass(2000ms);
  CHECK(f.started_elsewhere());
}

// Guards against two runs of a task at once: the leader that listed the worker
// as lost did not know of a later process yet.
TEST_CASE("the bound for a later process is passed on before it is known") {
  later_process_fixture f;
  f.cut_off();
  f.pass(2000ms);
  auto lost = f.tested_scheduler().lost_workers(f.now());
  REQUIRE(lost.size() == 1);
  f.replace_process();
  f.take_over(lost);
  // The last call was given up after 1.4 s; 10 s is the longest lease.
  f.pass(9000ms);
  CHECK_FALSE(f.started_elsewhere());
  f.pass(1000ms);
  CHECK(f.started_elsewhere());
}

// The same while the last call has neither been answered nor given up: it may
// still be one that takes effect late.
TEST_CASE("the bound that is passed on counts the call on its way as late") {
  later_process_fixture f;
  f.cut_off();
  auto lost = f.tested_scheduler().lost_workers(f.now());
  REQUIRE(lost.size() == 1);
  f.replace_process();
  f.take_over(lost);
  f.pass(23000ms);
  CHECK_FALSE(f.started_elsewhere());
  f.pass(2000ms);
  CHECK(f.started_elsewhere());
}

// The same for a list of an earlier version, which does not tell that bound.
TEST_CASE("a bound for a later process that is not passed on is assumed") {
  later_process_fixture f;
  f.cut_off();
  auto lost = f.tested_scheduler().lost_workers(f.now());
  REQUIRE(lost.size() == 1);
  lost.front().later_lease_ends_at.reset();
  f.replace_process();
  f.pass(1000ms);
  f.take_over(lost);
  f.pass(15000ms);
  CHECK_FALSE(f.started_elsewhere());
}

// Guards against a run beyond its stop: the stop was answered by the process
// that then ended, and a later one has started the run.
TEST_CASE("a run that is listed long after its stop is stopped again") {
  later_process_fixture f;
  f.report("w1");
  auto run = f.workers.at("w1").running;
  f.tested_scheduler().cancel_job("a", f.now());
  f.plan();
  f.replace_process();
  f.workers.at("w1").running = run;
  f.workers.at("w1").ended.clear();
  f.tested_scheduler().update_worker(f.workers.at("w1").entry, f.now());
  for (int n = 0; n < 30; ++n) {
    f.advance_time(100ms);
    f.report("w1");
    f.plan();
  }
  CHECK(f.workers.at("w1").running.empty());
}

// Guards against a successor that takes the lease of such a process for a usual
// one, because the leader before it had found the run there.
TEST_CASE("a new leader waits for a run that was found on a later process") {
  later_process_fixture f;
  f.replace_process();
  f.tested_scheduler().update_worker(f.workers.at("w1").entry, f.now());
  f.advance_time(100ms);
  f.report("w1");
  REQUIRE(f.logged("lease_not_settled id=w1"));
  // A change of another task stores the progress of the step again.
  f.plan();
  f.workers.at("w1").unresponsive = true;
  f.advance_time(500ms);
  f.take_over(std::vector<lost_worker>());
  f.pass(10000ms);
  CHECK_FALSE(f.started_elsewhere());
}

// Guards against a run that is stopped as stalled: its start was timed by the
// clock of the earlier process.
TEST_CASE("a run found on a later process has not stalled") {
  later_process_fixture f;
  f.replace_process();
  f.tested_scheduler().update_worker(f.workers.at("w1").entry, f.now());
  f.advance_time(100ms);
  f.report("w1");
  REQUIRE(f.logged("worker_restarted id=w1"));
  f.plan();
  CHECK_FALSE(f.logged("stands_still"));
}

TEST_CASE("a run that its process has reported does not wait for a later one") {
  later_process_fixture f;
  f.report("w1");
  f.replace_process();
  f.tested_scheduler().update_worker(f.workers.at("w1").entry, f.now());
  f.cut_off();
  f.pass(5500ms);
  CHECK(f.started_elsewhere());
}

// Guards against a lease that the leader takes for a usual one: a process that
// started shortly before the takeover may hold the longest, wherever its clock
// began.
TEST_CASE("a new leader expects the longest lease whatever the clock shows") {
  later_process_fixture f;
  f.replace_process();
  f.workers.at("w1").entry.incarnation = f.wall();
  f.advance_time(1000ms);
  f.take_over(std::vector<lost_worker>());
  f.report("w1");
  CHECK(f.tested_scheduler().lease_of("w1")->expires_at() >= f.now() + 10000ms);
}

// Guards against a task that runs again although a report has told its end: the
// run had been given up before.
TEST_CASE("a done end counts after its run was given up") {
  later_process_fixture f;
  f.report("w1");
  f.cut_off();
  f.workers.at("w2").refuses_starts = true;
  f.pass(6000ms);
  REQUIRE(f.logged("worker_lost id=w1"));
  f.end("a.0.0.0", end_reason::done);
  f.workers.at("w1").unresponsive = false;
  f.report("w1");
  f.workers.at("w2").refuses_starts = false;
  f.pass(2000ms);
  CHECK(f.workers.at("w2").running.empty());
  CHECK(f.workers.at("w1").running.empty());
}

// The same while the task runs again: its work is done.
TEST_CASE("a task that runs again is stopped once its earlier run was done") {
  later_process_fixture f;
  f.report("w1");
  f.cut_off();
  f.pass(6000ms);
  REQUIRE(f.started_elsewhere());
  f.end("a.0.0.0", end_reason::done);
  f.workers.at("w1").unresponsive = false;
  f.report("w1");
  f.pass(2000ms);
  CHECK(f.running() == 0);
}

// Guards against more attempts than a queue allows: an end that is confirmed to
// its worker counts, also if its run had been given up before.
TEST_CASE("a failed end counts as an attempt after its run was given up") {
  later_process_fixture f(1);
  f.report("w1");
  f.cut_off();
  f.workers.at("w2").refuses_starts = true;
  f.pass(6000ms);
  REQUIRE(f.logged("worker_lost id=w1"));
  f.end("a.0.0.0", end_reason::failed);
  f.workers.at("w1").unresponsive = false;
  f.report("w1");
  f.workers.at("w2").refuses_starts = false;
  f.pass(2000ms);
  CHECK(f.running() == 0);
}

// Guards against starts beyond the capacity of a worker: a run that was given
// up works on there and takes room until it has stopped.
TEST_CASE("no task starts beside runs that are not known") {
  later_process_fixture f;
  f.report("w1");
  f.cut_off();
  f.pass(6000ms);
  REQUIRE(f.started_elsewhere());
  f.workers.at("w2").unresponsive = true;
  f.add_job("b", {scheduler_fixture::step(1, 4000)});
  f.workers.at("w1").unresponsive = false;
  f.report("w1");
  auto plan = f.tested_scheduler().plan(f.now(), f.wall());
  CHECK(plan.orders.empty());
  f.tested_scheduler().on_progress_committed();
  // The stop takes effect.
  f.execute(f.tested_scheduler().take_orders());
  f.report("w1");
  f.plan();
  CHECK(f.workers_running("b.0.0.0") == std::vector<std::string>{"w1"});
}

}  // namespace vanillaladder::batch
