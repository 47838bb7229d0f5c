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

TEST_CASE("a step starts once all tasks of its dependencies are done") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  auto second = scheduler_fixture::step(1, 1000);
  second.depends_on = {0};
  f.add_job("a", {scheduler_fixture::step(2, 1000), second});
  f.plan();
  f.end("a.0.0.0", end_reason::done);
  f.advance_time(10ms);
  f.report("w1");
  f.plan();
  REQUIRE(f.workers_running("a.0.1.0").empty());
  f.end("a.0.0.1", end_reason::done);
  f.advance_time(10ms);
  f.report("w1");
  f.plan();
  REQUIRE(f.workers_running("a.0.1.0").size() == 1);
}

TEST_CASE("a worker never gets more tasks than its capacity allows") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(9, 1500)});
  f.plan();
  REQUIRE(f.running() == 2);
}

// A run that is being stopped uses its resources until its end is reported.
TEST_CASE("resources of a stopped run are free once its end is reported") {
  scheduler_fixture f;
  f.add_worker("w1", {1000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.add_job("b", {scheduler_fixture::step(1, 1000)});
  f.tested_scheduler().cancel_job("a", f.now());
  f.plan();
  REQUIRE(f.workers_running("b.0.0.0").empty());
  f.advance_time(10ms);
  f.report("w1");
  f.plan();
  REQUIRE(f.workers_running("b.0.0.0").size() == 1);
}

TEST_CASE("a worker may forget an ended run only once it is stored") {
  scheduler_fixture f;
  f.add_worker("w1", {1000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.end("a.0.0.0", end_reason::done);
  f.advance_time(10ms);
  f.report("w1");
  REQUIRE(f.tested_scheduler().last_stored_end("w1") == 0);
  f.plan();
  REQUIRE(f.tested_scheduler().last_stored_end("w1") == 1);
  REQUIRE(stored_state(f, "a") == job_state::completed);
  f.plan();
  // Only the state record of the job remains.
  REQUIRE(f.records.count("a/0/0") == 0);
}

// The two parts of a commit are stored separately. If the progress of a job
// were removed before its end is stored, a new leader would run it again.
TEST_CASE("progress is removed only after the end of its job is stored") {
  scheduler_fixture f;
  f.add_worker("w1", {1000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.end("a.0.0.0", end_reason::done);
  f.advance_time(10ms);
  f.report("w1");
  auto ending =
      f.tested_scheduler().plan(f.now(), scheduler_fixture::wall_start);
  f.tested_scheduler().on_progress_committed();
  REQUIRE(ending.jobs.size() == 1);
  REQUIRE(ending.progress.size() == 1);
  REQUIRE_FALSE(ending.progress[0].value.empty());
  // A leader that reads only this part knows that the task is done.
  auto progress = decode_progress(ending.progress[0].value);
  REQUIRE(progress->tasks.at(0).done);
  // The records of an earlier plan do not include the end.
  f.tested_scheduler().on_jobs_committed(ending.plan - 1);
  REQUIRE(f.tested_scheduler()
              .plan(f.now(), scheduler_fixture::wall_start)
              .empty());
  f.tested_scheduler().on_jobs_committed(ending.plan);
  auto after =
      f.tested_scheduler().plan(f.now(), scheduler_fixture::wall_start);
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
    f.advance_time(2000ms);
    f.report_all();
    f.plan();
  }
  f.advance_time(10ms);
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
  auto first = f.workers_running("a.0.0.0").at(0);
  f.end("a.0.0.0", end_reason::failed);
  f.advance_time(10ms);
  f.report_all();
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0").size() == 1);
  REQUIRE(f.workers_running("a.0.0.0").at(0) != first);
}

// Guards against accepted work that is never started again: the worker on which
// a task failed last may be the only one that can run it.
TEST_CASE("a failed task is tried again on the only worker that can run it") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 4});
  f.add_worker("w2", {4000, 4000, 0});
  auto step = scheduler_fixture::step(1, 1000);
  step.required_resources.accelerators = 1;
  step.long_running = GENERATE(false, true);
  f.add_job("a", {step}, 3);
  f.plan();
  f.end("a.0.0.0", end_reason::failed);
  f.advance_time(10ms);
  f.report_all();
  f.plan();
  REQUIRE(f.running() == 0);
  // A task that waits while there is room counts as lost after 3 s.
  f.advance_time(2500ms);
  f.report_all();
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0") == std::vector<std::string>{"w1"});
}

// A start order without a response may still be executed seconds later.
TEST_CASE("an unanswered start is stopped before the task starts elsewhere") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.workers.at("w1").drops_responses = true;
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.add_worker("w2", {4000, 4000, 0});
  f.workers.at("w1").unresponsive = true;
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0").empty());
  // The worker confirms the stop and refuses the start from then on.
  f.workers.at("w1").unresponsive = false;
  f.workers.at("w1").drops_responses = false;
  f.tested_scheduler().on_stop_answered("w1", {{"a", 0, 0}, 0}, 1, f.now());
  f.advance_time(10ms);
  f.report_all();
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0").size() == 1);
}

// Responses on different connections may arrive out of order.
TEST_CASE("a report requested before a start was confirmed ends no run") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  auto asked = f.now();
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.advance_time(5ms);
  f.plan();
  worker_report old;
  old.incarnation = 1000;
  old.clock = f.clock_of_worker();
  old.requested_at = asked;
  old.received_at = f.now();
  f.tested_scheduler().on_report("w1", old);
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0").size() == 1);
}

TEST_CASE("a task starts again if a later report does not list its run") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.workers.at("w1").running.clear();
  f.advance_time(10ms);
  f.report("w1");
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0").size() == 1);
  REQUIRE(f.workers.at("w1").running[0].number == 2);
}

// Guards against tasks that run twice: a worker lists a limited number of ends
// in one report, and runs whose ends it leaves out are not lost.
TEST_CASE("a report that leaves out ends does not end the runs it omits") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(2, 1000)});
  f.plan();
  REQUIRE(f.running() == 2);
  f.end("a.0.0.0", end_reason::done);
  f.end("a.0.0.1", end_reason::done);
  auto ends = f.workers.at("w1").ended;
  f.workers.at("w1").ended.pop_back();
  f.workers.at("w1").omits_ends = true;
  f.advance_time(10ms);
  f.report("w1");
  f.plan();
  REQUIRE(f.running() == 0);
  f.workers.at("w1").ended = ends;
  f.workers.at("w1").omits_ends = false;
  f.advance_time(10ms);
  f.report("w1");
  f.plan();
  f.plan();
  REQUIRE(f.running() == 0);
  REQUIRE(stored_state(f, "a") == job_state::completed);
}

// The tasks of an unreachable worker run until its lease expires.
TEST_CASE("tasks of an unreachable worker start again after its lease") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.report("w1");
  f.workers.at("w1").unresponsive = true;
  f.tested_scheduler().on_unreachable("w1", f.now());
  f.add_worker("w2", {4000, 4000, 0});
  f.advance_time(5000ms);
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0").size() == 1);
  f.advance_time(200ms);
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0").size() == 2);
  REQUIRE(f.workers.at("w2").running[0].number == 2);
}

// After an outage that outlasts the leases, a worker's first report carries no
// new lease, and a start waits for its record to be stored. The order extends
// the lease when it is sent; taking its run as lost would start the task twice.
TEST_CASE("a start that is not answered yet outlasts the worker's old lease") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.advance_time(20000ms);
  worker_report report;
  report.incarnation = f.workers.at("w1").entry.incarnation;
  report.clock = f.clock_of_worker();
  report.requested_at = f.now();
  report.received_at = f.now();
  f.tested_scheduler().on_report("w1", report);
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  auto first =
      f.tested_scheduler().plan(f.now(), scheduler_fixture::wall_start);
  REQUIRE(first.orders.size() == 1);
  f.add_worker("w2", {4000, 4000, 0});
  f.advance_time(300ms);
  auto second =
      f.tested_scheduler().plan(f.now(), scheduler_fixture::wall_start);
  REQUIRE(second.orders.empty());
  // Once the start has been answered, the lease that came with it counts.
  f.tested_scheduler().on_lease_ordered("w1", f.clock_of_worker() + 5000ms,
                                        f.now() + 400ms);
  f.execute(first.orders);
  f.workers.at("w1").unresponsive = true;
  f.advance_time(4900ms);
  REQUIRE(f.plan().orders.empty());
  f.advance_time(500ms);
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0").size() == 2);
}

TEST_CASE("a new worker at the same address ends the runs of the old one") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.workers.at("w1").unresponsive = true;
  f.workers.at("w1").running.clear();
  f.tested_scheduler().on_unreachable("w1", f.now());
  auto successor = f.workers.at("w1").entry;
  successor.info.id = "w2";
  successor.incarnation = 2000;
  f.workers["w2"].entry = successor;
  f.tested_scheduler().update_worker(successor, f.now());
  f.report("w2");
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0") == std::vector<std::string>{"w2"});
}

// Guards against a second run of each task of a worker whose address another
// writer's entry names: an entry proves nothing.
TEST_CASE("an entry with the address of a live worker ends no runs") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  auto foreign = f.workers.at("w1").entry;
  foreign.info.id = "w2";
  foreign.incarnation = 2000;
  f.tested_scheduler().update_worker(foreign, f.now());
  f.plan();
  // Nor while the live worker does not answer.
  f.tested_scheduler().on_unreachable("w1", f.now());
  f.plan();
  REQUIRE_FALSE(f.logged("run_ended"));
}

// Guards against tasks that never run again: the clock of a worker's machine
// was set back between two starts of its process.
TEST_CASE("a worker that is back with an earlier start time is used again") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.advance_time(scheduler_fixture::lease_call_limit + 100ms);
  f.restart("w1");
  f.workers.at("w1").entry.incarnation = 500;
  f.tested_scheduler().update_worker(f.workers.at("w1").entry, f.now());
  f.advance_time(10ms);
  f.report("w1");
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0") == std::vector<std::string>{"w1"});
}

// Guards against a late answer of an earlier process that is taken for the
// present one.
TEST_CASE("an answer requested before a restart was reported is ignored") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  auto requested_at = f.now();
  f.advance_time(10ms);
  f.restart("w1");
  f.tested_scheduler().update_worker(f.workers.at("w1").entry, f.now());
  f.report("w1");
  f.plan();
  worker_report late;
  late.incarnation = 1000;
  late.clock = 5000ms;
  late.requested_at = requested_at;
  late.received_at = f.now() + 10ms;
  f.tested_scheduler().on_report("w1", late);
  REQUIRE_FALSE(f.logged("run_ended"));
}

// Guards against a start on a worker of another kind: a worker that restarted
// reports before its new entry has been read.
TEST_CASE("nothing starts on a worker that its entry does not describe yet") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.advance_time(scheduler_fixture::lease_call_limit + 100ms);
  f.restart("w1");
  f.report("w1");
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  REQUIRE(f.plan().orders.empty());
  f.tested_scheduler().update_worker(f.workers.at("w1").entry, f.now());
  f.report("w1");
  REQUIRE(f.plan().orders.size() == 1);
}

TEST_CASE("a restarted worker gets its tasks again") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.advance_time(scheduler_fixture::lease_call_limit + 100ms);
  f.restart("w1");
  f.advance_time(10ms);
  f.report("w1");
  f.plan();
  // The entry still describes the earlier process.
  REQUIRE(f.workers.at("w1").running.empty());
  f.tested_scheduler().update_worker(f.workers.at("w1").entry, f.now());
  f.plan();
  REQUIRE(f.workers.at("w1").running.size() == 1);
}

scheduler_options with_longest_lease(milliseconds longest) {
  scheduler_options options;
  options.longest_lease = longest;
  return options;
}

// Guards against two runs of a task at once: a call that reaches a restarted
// worker with a deadline by the clock of its predecessor gives it the longest
// lease, which the leader took for one of the usual length.
TEST_CASE("a restarted worker may hold the longest lease") {
  scheduler_fixture f(with_longest_lease(10000ms));
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  // The last call to the predecessor is not over yet.
  f.restart("w1");
  f.advance_time(10ms);
  f.report("w1");
  auto reported_at = f.now();
  f.tested_scheduler().update_worker(f.workers.at("w1").entry, f.now());
  f.plan();
  REQUIRE(f.workers.at("w1").running.empty());
  REQUIRE(f.logged("lease_not_settled id=w1"));
  REQUIRE(f.tested_scheduler().lease_of("w1")->expires_at() >=
          reported_at + 10000ms);
  // Started only when a leader that counts on the given lease is right.
  f.advance_time(5200ms + scheduler_fixture::lease_call_limit);
  f.report("w1");
  f.plan();
  REQUIRE(f.workers.at("w1").running.size() == 1);
  REQUIRE(f.tested_scheduler().lease_of("w1")->expires_at() <=
          f.now() + 5200ms);
}

TEST_CASE("a worker that is listed as restarted gets no order by its clock") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.end("a.0.0.0", end_reason::done);
  f.report("w1");
  f.plan();
  REQUIRE(f.tested_scheduler().last_stored_end("w1") == 1);
  auto asked = f.now();
  f.advance_time(10ms);
  auto restarted = f.workers.at("w1").entry;
  restarted.incarnation += 1000;
  f.tested_scheduler().update_worker(restarted, f.now());
  REQUIRE_FALSE(f.tested_scheduler().lease_of("w1")->clock_known());
  REQUIRE(f.tested_scheduler().last_stored_end("w1") == 0);
  // A late answer of the predecessor does not tell the clock either.
  worker_report late;
  late.incarnation = restarted.incarnation - 1000;
  late.clock = f.clock_of_worker();
  late.requested_at = asked;
  late.received_at = f.now();
  f.tested_scheduler().on_report("w1", late);
  REQUIRE_FALSE(f.tested_scheduler().lease_of("w1")->clock_known());
  f.add_job("b", {scheduler_fixture::step(1, 1000)});
  f.plan();
  REQUIRE(f.running() == 0);
  // An answer to a later request does, also if the list was wrong.
  late.requested_at = f.now();
  f.tested_scheduler().on_report("w1", late);
  REQUIRE(f.tested_scheduler().lease_of("w1")->clock_known());
  f.plan();
  REQUIRE(f.running() == 1);
}

// The same by the orders of an earlier leader, which a process that has just
// started does not reject.
TEST_CASE(
    "a worker that started before a takeover may hold the longest lease") {
  scheduler_fixture f(with_longest_lease(10000ms));
  f.add_worker("w1", {4000, 4000, 0});
  f.restart("w1");
  f.advance_time(1000ms);
  f.take_over();
  f.report("w1");
  REQUIRE(f.tested_scheduler().lease_of("w1")->expires_at() >=
          f.now() + 10000ms);
  f.advance_time(20000ms);
  f.take_over();
  f.report("w1");
  REQUIRE(f.tested_scheduler().lease_of("w1")->expires_at() <=
          f.now() + 5200ms);
}

// After a takeover, the store lists the runs that may exist and the reports of
// the workers list those that do.
TEST_CASE("a new leader keeps existing runs and waits for silent workers") {
  scheduler_fixture f;
  f.add_worker("w1", {1000, 4000, 0});
  f.add_worker("w2", {1000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(2, 1000)});
  f.plan();
  REQUIRE(f.running() == 2);
  auto silent_worker = f.workers_running("a.0.0.1").at(0);
  auto reachable_worker = f.workers_running("a.0.0.0").at(0);
  f.workers.at(silent_worker).unresponsive = true;
  f.take_over();
  f.tested_scheduler().add_job(f.jobs.at("a"), f.now(),
                               scheduler_fixture::wall_start);
  REQUIRE(f.tested_scheduler().restore_progress(
      {"a", 0, 0}, decode_progress(f.records.at("a/0/0"))->tasks, f.now()));
  f.add_worker("w3", {1000, 4000, 0});
  f.advance_time(10ms);
  f.report_all();
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0") ==
          std::vector<std::string>{reachable_worker});
  REQUIRE(f.workers_running("a.0.0.1") ==
          std::vector<std::string>{silent_worker});
  // The leases granted by earlier leaders expire.
  f.advance_time(7000ms);
  f.report_all();
  f.plan();
  REQUIRE(f.workers_running("a.0.0.1").size() == 2);
  REQUIRE(f.workers.at("w3").running.at(0).number == 2);
}

// The progress of a job and its state are stored separately. A leader that dies
// in between leaves the last failure of a task, but not the end of its job.
// Guards against tasks of a lost worker that wait for a lease after each change
// of the leader: planned restarts of leaders kept them from running for 81 s.
TEST_CASE("changes of the leader do not lengthen the wait for a lost worker") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.report("w1");
  auto lost_at = f.now();
  f.workers.at("w1").unresponsive = true;
  f.workers.at("w1").running.clear();
  f.add_worker("w2", {4000, 4000, 0});
  for (int n = 0; n < 5; ++n) {
    f.tested_scheduler().on_unreachable("w1", f.now());
    f.plan();
    auto lost = f.tested_scheduler().lost_workers(f.now());
    REQUIRE(lost.size() == 1);
    f.advance_time(1000ms);
    f.take_over(lost);
    f.report("w2");
    f.plan();
  }
  while (f.workers.at("w2").running.empty()) {
    f.advance_time(100ms);
    f.report("w2");
    f.plan();
    REQUIRE(f.now() - lost_at < 6000ms);
  }
}

// Guards against a lasting task that lets others start first for a while, anew
// under each leader.
TEST_CASE("changes of the leader do not lengthen the patience of a task") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  auto lasting = scheduler_fixture::step(1, 4000);
  lasting.long_running = true;
  f.add_job("f0", {scheduler_fixture::step(1, 4000)});
  f.plan();
  f.add_job("a", {lasting});
  auto begin = f.now();
  for (int n = 0; f.workers_running("a.0.0.0").empty(); ++n) {
    REQUIRE(f.now() - begin < 6s);
    f.add_job("f" + std::to_string(n + 1), {scheduler_fixture::step(1, 4000)});
    f.advance_time(1s);
    f.end("f" + std::to_string(n) + ".0.0.0", end_reason::done);
    f.report_all();
    f.plan();
    f.take_over({});
    f.report_all();
    f.plan();
  }
  REQUIRE(f.now() - begin >= 3s);
}

// Guards against a wait that counts from the time of a restored record although
// the task ran until now.
TEST_CASE("a task that was running at a takeover waits with full patience") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  auto lasting = scheduler_fixture::step(1, 4000);
  lasting.long_running = true;
  f.add_job("a", {lasting});
  f.plan();
  f.take_over({});
  f.report_all();
  f.plan();
  for (int n = 0; n < 20; ++n) {
    f.advance_time(1s);
    f.report_all();
    f.plan();
  }
  f.add_job("f", {scheduler_fixture::step(1, 4000)});
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0").size() == 1);
  f.end("a.0.0.0", end_reason::done);
  f.report_all();
  f.plan();
  REQUIRE(f.workers_running("f.0.0.0").size() == 1);
}

TEST_CASE("a new leader does not start a task that has failed too often") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_worker("w2", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(2, 1000)}, 2);
  f.take_over();
  f.report_all();
  f.tested_scheduler().add_job(f.jobs.at("a"), f.now(),
                               scheduler_fixture::wall_start);
  task_record failed;
  failed.index = 0;
  failed.last_run = 2;
  failed.failures = 2;
  REQUIRE(
      f.tested_scheduler().restore_progress({"a", 0, 0}, {failed}, f.now()));
  auto result = f.plan();
  REQUIRE(result.orders.empty());
  REQUIRE(result.jobs.size() == 1);
  REQUIRE(decode_status(result.jobs[0].value)->state == job_state::failed);
}

TEST_CASE("a new leader stops the runs of a job that has ended") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.take_over();
  f.tested_scheduler().add_job(f.jobs.at("a"), f.now(),
                               scheduler_fixture::wall_start);
  f.tested_scheduler().restore_progress(
      {"a", 0, 0}, decode_progress(f.records.at("a/0/0"))->tasks, f.now());
  f.tested_scheduler().end_job("a", job_state::cancelled, f.now());
  f.plan();
  REQUIRE(f.running() == 0);
  REQUIRE(f.records.count("a/0/0") == 1);
  f.advance_time(10ms);
  f.report("w1");
  f.plan();
  REQUIRE(f.records.count("a/0/0") == 0);
}

TEST_CASE("an unknown run is stopped") {
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
  auto checkpointed = scheduler_fixture::step(1, 1000);
  checkpointed.checkpoints = true;
  f.add_job("a", {checkpointed});
  f.plan();
  f.end("a.0.0.0", end_reason::stopped, "00ab");
  f.advance_time(10ms);
  f.report("w1");
  f.plan();
  REQUIRE(f.workers.at("w1").running.at(0).checkpoint == "00ab");
}

TEST_CASE("nothing starts in a closed domain") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0}, "d1");
  f.add_worker("w2", {1000, 4000, 0}, "d2");
  f.tested_scheduler().set_closed_domains({"d1"});
  f.add_job("a", {scheduler_fixture::step(3, 1000)});
  f.plan();
  REQUIRE(f.workers.at("w1").running.empty());
  REQUIRE(f.workers.at("w2").running.size() == 1);
}

TEST_CASE("a long-running task is moved away from a leaving worker") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  auto long_running = scheduler_fixture::step(1, 1000);
  long_running.long_running = true;
  f.add_job("a", {long_running});
  f.plan();
  f.add_worker("w2", {4000, 4000, 0});
  auto entry = f.workers.at("w1").entry;
  entry.info.state = model::instance_state::leaving;
  entry.remaining_lifetime = 4000ms;
  f.tested_scheduler().update_worker(entry, f.now());
  f.plan();
  f.advance_time(10ms);
  f.report_all();
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0") == std::vector<std::string>{"w2"});
}

TEST_CASE("a step does not exceed its limit per worker") {
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

TEST_CASE("all tasks of a gang start with one run number, or none starts") {
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

step_spec gang_step(int count) {
  auto gang = scheduler_fixture::step(count, 1000);
  gang.gang = true;
  gang.per_worker_limit = 1;
  return gang;
}

/// Starts a gang of three on three of four workers.
void start_gang(scheduler_fixture& f) {
  for (const auto* id : {"w1", "w2", "w3", "w4"}) {
    f.add_worker(id, {2000, 9000, 0});
  }
  f.add_job("a", {gang_step(3)});
  f.plan();
  REQUIRE(f.running() == 3);
}

// Guards against a gang that works twice: its members end together, so one
// reported end stands for those that are lost with their workers.
TEST_CASE("a gang is done once the end of one member is reported") {
  scheduler_fixture f;
  start_gang(f);
  auto lost = f.workers_running("a.0.0.0").at(0);
  auto kind = GENERATE(as<std::string>(), "lost with its worker",
                       "lost before the others are reported", "late");
  INFO(kind);
  if (kind == "lost before the others are reported") {
    f.restart(lost);
    f.advance_time(10ms);
    f.report(lost);
    f.plan();
  }
  for (const auto* task : {"a.0.0.0", "a.0.0.1", "a.0.0.2"}) {
    f.end(task, end_reason::done);
  }
  if (kind == "lost with its worker") {
    f.restart(lost);
  } else if (kind == "late") {
    f.workers.at(lost).unresponsive = true;
  }
  f.advance_time(10ms);
  f.report_all();
  f.plan();
  REQUIRE(f.running() == 0);
  f.workers.at(lost).unresponsive = false;
  f.advance_time(20000ms);
  f.report_all();
  f.plan();
  f.plan();
  REQUIRE(f.running() == 0);
  REQUIRE(stored_state(f, "a") == job_state::completed);
}

// A leader of an earlier version may have stored the end of some members only.
TEST_CASE("a new leader takes a gang with one stored end as done") {
  scheduler_fixture f;
  start_gang(f);
  auto records = decode_progress(f.records.at("a/0/0"))->tasks;
  records[1].done = true;
  records[1].runs.clear();
  f.take_over();
  f.tested_scheduler().add_job(f.jobs.at("a"), f.now(),
                               scheduler_fixture::wall_start);
  REQUIRE(f.tested_scheduler().restore_progress({"a", 0, 0}, records, f.now()));
  for (auto& [id, worker] : f.workers) {
    worker.running.clear();
  }
  f.advance_time(20000ms);
  f.report_all();
  f.plan();
  f.plan();
  REQUIRE(f.running() == 0);
  REQUIRE(stored_state(f, "a") == job_state::completed);
}

TEST_CASE("an occurrence starts at its scheduled time and not before") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  auto spec = std::make_shared<job_spec>(
      *scheduler_fixture::make_job("a", {scheduler_fixture::step(1, 1000)}));
  spec->repeat_count = 2;
  spec->first_run_at = scheduler_fixture::wall_start + 1000;
  spec->interval = 1000ms;
  f.tested_scheduler().add_job(spec, f.now(), scheduler_fixture::wall_start);
  f.plan();
  REQUIRE(f.running() == 0);
  auto due =
      f.tested_scheduler().plan(f.now(), scheduler_fixture::wall_start + 1000);
  REQUIRE(due.orders.size() == 1);
}

// A worker on which every task fails frees its resources immediately and would
// attract all tasks, one after another.
// Guards against a job whose occurrences fill the memory: all are due at once.
TEST_CASE("occurrences that are due at once are opened a part at a time") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 9000, 0});
  auto job = std::make_shared<job_spec>(
      *scheduler_fixture::make_job("a", {scheduler_fixture::step(1, 1000)}));
  job->repeat_count = max_occurrences;
  job->first_run_at = 0;
  job->interval = 0ms;
  f.tested_scheduler().add_job(job, f.now(), scheduler_fixture::wall_start);
  f.plan();
  REQUIRE(f.tested_scheduler().waiting_tasks() <= 100);
  REQUIRE(f.running() == 4);
}

TEST_CASE("pattern: short tasks start before long-running ones") {
  scheduler_fixture f;
  auto serving = scheduler_fixture::step(4, 1000);
  serving.long_running = true;
  f.add_job("a", {serving});
  f.advance_time(10ms);
  f.add_job("b", {scheduler_fixture::step(2, 1000)});
  f.add_worker("w1", {2000, 90000, 0});
  f.plan();
  REQUIRE(f.workers_running("b.0.0.0").size() == 1);
  REQUIRE(f.workers_running("b.0.0.1").size() == 1);
}

// Short tasks that keep coming must not hold up long-running ones for ever.
TEST_CASE("pattern: long-running tasks start before short ones after a while") {
  scheduler_fixture f;
  auto serving = scheduler_fixture::step(1, 2000);
  serving.long_running = true;
  f.add_job("a", {serving});
  f.plan();
  f.advance_time(4000ms);
  f.add_job("b", {scheduler_fixture::step(2, 1000)});
  f.add_worker("w1", {2000, 90000, 0});
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0").size() == 1);
}

// A job that cannot be on time any more must not delay one that can.
TEST_CASE("pattern: a job whose later steps will be late waits") {
  scheduler_fixture f;
  auto second = scheduler_fixture::step(1, 1000);
  second.estimated_run_time = 4000ms;
  second.depends_on = {0};
  // Due after 2 * 5 s + 1 s.
  f.add_job("a", {scheduler_fixture::step(1, 1000), second});
  f.advance_time(7000ms);
  f.jobs["b"] = scheduler_fixture::make_job(
      "b", {scheduler_fixture::step(1, 1000), second});
  f.tested_scheduler().add_job(f.jobs["b"], f.now(),
                               scheduler_fixture::wall_start);
  f.add_worker("w1", {1000, 90000, 0});
  f.plan();
  REQUIRE(f.workers_running("b.0.0.0").size() == 1);
}

TEST_CASE("workers that left the list long ago are forgotten") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 9000, 0});
  f.tested_scheduler().remove_worker("w1", f.now());
  f.advance_time(2000ms);
  f.plan();
  REQUIRE(f.tested_scheduler().lease_of("w1") != nullptr);
  f.advance_time(60s);
  f.plan();
  REQUIRE(f.tested_scheduler().lease_of("w1") == nullptr);
}

TEST_CASE("pattern: a worker on which every task fails gets few tasks") {
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
    f.advance_time(100ms);
    f.report_all();
    f.plan();
  }
  REQUIRE(failed <= 8);
}

// The worker responds and reports, but its tasks make no progress.
TEST_CASE("pattern: stalled tasks are moved") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 9000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.add_worker("w2", {4000, 9000, 0});
  for (int n = 0; n < 6; ++n) {
    f.advance_time(500ms);
    f.report_all();
    f.plan();
  }
  f.advance_time(10ms);
  f.report_all();
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0") == std::vector<std::string>{"w2"});
  REQUIRE(f.logged("why=stands_still"));
}

// Guards against a stop of sound work after a pause of the leader or a slow
// network: the first report received afterwards was written before it.
TEST_CASE("a report that arrives late does not count as a stalled run") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 9000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.advance_time(500ms);
  f.workers.at("w1").running.at(0).progress = 10;
  f.report("w1");
  worker_report late;
  late.incarnation = f.workers.at("w1").entry.incarnation;
  late.clock = f.clock_of_worker() + 20ms;
  late.requested_at = f.now() + 10ms;
  late.running = {{f.workers.at("w1").running.at(0).task, 1, "", 10, 0}};
  f.advance_time(4000ms);
  late.received_at = f.now();
  f.tested_scheduler().on_report("w1", late);
  f.plan();
  REQUIRE_FALSE(f.logged("why=stands_still"));
  REQUIRE(f.workers.at("w1").running.size() == 1);
}

// A worker's entry lapses while the worker or the store is away for a moment;
// the worker runs on.
TEST_CASE("a worker that is not listed for a while keeps its runs") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 9000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  f.add_worker("w2", {4000, 9000, 0});
  f.tested_scheduler().remove_worker("w1", f.now());
  for (int n = 1; n <= 8; ++n) {
    f.advance_time(500ms);
    f.workers.at("w1").running.at(0).progress = n;
    f.report_all();
    f.plan();
  }
  REQUIRE(f.workers_running("a.0.0.0") == std::vector<std::string>{"w1"});
  REQUIRE(f.tested_scheduler().needs_contact("w1"));
  f.tested_scheduler().update_worker(f.workers.at("w1").entry, f.now());
  f.end("a.0.0.0", end_reason::done);
  f.report("w1");
  f.plan();
  REQUIRE(f.running() == 0);
}

TEST_CASE("a slow task that makes progress is not stopped") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 9000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  f.plan();
  for (int n = 1; n < 20; ++n) {
    f.advance_time(1000ms);
    f.workers.at("w1").running.at(0).progress = n;
    f.report("w1");
    f.plan();
  }
  REQUIRE(f.workers.at("w1").running.at(0).number == 1);
}

// Guards against a long task that is stopped again and again: a percent of its
// work takes longer than a healthy short task may stand still.
TEST_CASE("a long task makes no progress for seconds without being stopped") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  auto step = scheduler_fixture::step(1, 1000);
  step.estimated_run_time = 600s;
  f.add_job("a", {step});
  f.plan();
  auto advance = [&](std::chrono::seconds time) {
    for (int n = 0; n < time.count(); ++n) {
      f.advance_time(1s);
      f.report("w1");
      f.plan();
    }
  };
  advance(20s);
  REQUIRE(f.running() == 1);
  REQUIRE_FALSE(f.logged("stands_still"));
  advance(20s);
  REQUIRE(f.logged("stands_still"));
}

TEST_CASE("a task whose start was refused waits before the next attempt") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 9000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 1000)});
  auto result =
      f.tested_scheduler().plan(f.now(), scheduler_fixture::wall_start);
  f.tested_scheduler().on_progress_committed();
  REQUIRE(result.orders.size() == 1);
  f.tested_scheduler().on_start_result("w1", {{"a", 0, 0}, 0}, 1,
                                       start_outcome::no_room, f.now());
  f.plan();
  REQUIRE(f.running() == 0);
  f.advance_time(300ms);
  f.plan();
  REQUIRE(f.running() == 1);
}

// A worker on probation keeps its long-running tasks; counting them would keep
// it on probation for ever.
TEST_CASE("pattern: a worker with long-running tasks leaves probation") {
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
    f.advance_time(10ms);
    f.report("w1");
    f.plan();
  }
  f.add_job("next", {serving});
  f.plan();
  REQUIRE(f.workers_running("next.0.0.0").empty());
  f.advance_time(worker_trust::initial_pause);
  f.report("w1");
  f.plan();
  REQUIRE(f.workers_running("next.0.0.0").size() == 1);
}

// Guards against sending work to a faulty worker while a sound one has room:
// only a task that no other worker can run is an exception to the pause.
TEST_CASE("a worker that is not trusted is used only if no other fits") {
  scheduler_fixture f;
  f.add_worker("w1", {8000, 9000, 0});
  for (int n = 0; n < 2; ++n) {
    auto id = "f" + std::to_string(n);
    f.add_job(id, {scheduler_fixture::step(1, 1000)}, 1);
  }
  f.plan();
  f.add_worker("w2", {4000, 9000, 0});
  for (int n = 0; n < 2; ++n) {
    f.end("f" + std::to_string(n) + ".0.0.0", end_reason::failed);
  }
  f.report("w1");
  f.advance_time(worker_trust::initial_pause);
  f.add_job("trial", {scheduler_fixture::step(1, 6000)});
  f.plan();
  REQUIRE(f.workers_running("trial.0.0.0").size() == 1);
  f.advance_time(worker_trust::only_worker_pause);
  f.report_all();
  f.add_job("any", {scheduler_fixture::step(4, 1000)});
  f.plan();
  for (int n = 0; n < 4; ++n) {
    auto task = "any.0.0." + std::to_string(n);
    REQUIRE(f.workers_running(task) == std::vector<std::string>{"w2"});
  }
  f.add_job("full", {scheduler_fixture::step(2, 1000)});
  f.plan();
  REQUIRE(f.workers_running("full.0.0.0") == std::vector<std::string>{"w1"});
  REQUIRE(f.workers_running("full.0.0.1").empty());
}

// Under load most steps wait, and steps that need as much as one that found no
// worker are skipped. Steps that need less must not be skipped.
TEST_CASE("pattern: a small step is placed while larger ones wait") {
  scheduler_fixture f;
  f.add_worker("w1", {8000, 90000, 0});
  f.add_job("a", {scheduler_fixture::step(1, 6000)});
  f.add_job("b", {scheduler_fixture::step(1, 6000)});
  f.add_job("c", {scheduler_fixture::step(1, 7000)});
  f.add_job("d", {scheduler_fixture::step(1, 2000)});
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0").size() == 1);
  REQUIRE(f.workers_running("b.0.0.0").empty());
  REQUIRE(f.workers_running("c.0.0.0").empty());
  REQUIRE(f.workers_running("d.0.0.0").size() == 1);
  REQUIRE(f.logged("waits step=c/0/0 tasks=1 needs_as_much_as=b/0/0"));
}

// A missing label blocks only the steps that require it.
TEST_CASE("a step is not skipped because of one that requires a label") {
  scheduler_fixture f;
  f.add_worker("w1", {8000, 90000, 0});
  auto labelled = scheduler_fixture::step(1, 2000);
  labelled.required_label = "special";
  f.add_job("a", {labelled});
  f.add_job("b", {scheduler_fixture::step(1, 2000)});
  f.plan();
  REQUIRE(f.workers_running("a.0.0.0").empty());
  REQUIRE(f.workers_running("b.0.0.0").size() == 1);
}

// Guards against planning a large backlog in one turn. It would block the
// leader's event loop for longer than its lease, so that leadership changes
// repeatedly and no task starts.
TEST_CASE("a backlog after an outage is placed over several plans") {
  constexpr int site_workers = 490;
  // The required rate of 660 starts per second, over the 450 ms between two
  // renewals of the lease.
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

// A plan that continues an interrupted round must not examine again the steps
// that found no worker before.
TEST_CASE("steps without a worker do not use up the budget of every plan") {
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
  REQUIRE(f.workers_running("b.0.0.0").size() == 1);
}

TEST_CASE("an interrupted round continues in the next plan") {
  scheduler_fixture f;
  f.add_worker("w1", {4000, 4000, 0});
  f.add_job("a", {scheduler_fixture::step(3, 1000)});
  f.plan(1);
  REQUIRE(f.running() == 1);
  REQUIRE(f.tested_scheduler().is_budget_exhausted());
  REQUIRE(f.tested_scheduler().has_changes());
  f.plan();
  REQUIRE(f.running() == 3);
  REQUIRE_FALSE(f.tested_scheduler().is_budget_exhausted());
}

}  // namespace
}  // namespace vanillaladder::batch
