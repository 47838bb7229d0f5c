#include "control/shard_machine.h"

#include <catch2/catch.hpp>

#include "shard_fixture.h"

namespace vanillaladder::control {

using model::milliseconds;
using std::chrono::seconds;
using testing::ended;
using testing::shard_fixture;
using testing::simulation;
using testing::small;

TEST_CASE("all tasks of a job run once", "[shard_machine]") {
  shard_fixture sim;
  const auto token = sim.submit("a", 5, 3'000, small);
  REQUIRE(sim.run_until(seconds(30), [&] { return ended(sim, "a"); }));
  CHECK(sim.job("a")->finished == 5);
  CHECK(sim.starts() == 5);
  CHECK(sim.daemon_at(0).submits.at(token).result == submit_result::created);
  const auto repeat = sim.submit("a", 5, 3'000, small);
  sim.run_for(seconds(1));
  CHECK(sim.daemon_at(0).submits.at(repeat).result ==
        submit_result::already_exists);
  CHECK(sim.starts() == 5);
}

TEST_CASE(
    "a job that fits on no worker is rejected immediately with the reason",
    "[shard_machine]") {
  shard_fixture sim;
  const auto token = sim.submit("a", 1, 1'000, {9'000, 500, 0});
  const auto& reply = sim.daemon_at(0).submits.at(token);
  CHECK(reply.result == submit_result::unschedulable);
  CHECK(reply.reason.find("cpu_millis") != std::string::npos);
}

TEST_CASE("a start is sent only after its record has been read back",
          "[shard_machine]") {
  shard_fixture sim;
  sim.submit("a", 3, 1'000, small);
  REQUIRE(sim.run_until(seconds(5), [&] { return sim.job("a") != nullptr; }));
  sim.log_unavailable_until = sim.now + seconds(10);
  sim.run_for(seconds(9));
  CHECK(sim.starts() == 0);
  CHECK(sim.run_until(seconds(20), [&] { return ended(sim, "a"); }));
}

TEST_CASE("nothing starts while the view is stale", "[shard_machine]") {
  shard_fixture sim;
  sim.submit("a", 3, 1'000, small);
  REQUIRE(sim.run_until(seconds(5), [&] { return sim.job("a") != nullptr; }));
  sim.fresh = false;
  sim.run_for(seconds(5));
  const auto before = sim.starts();
  sim.run_for(seconds(10));
  CHECK(sim.starts() == before);
  const auto token = sim.submit("b", 1, 1'000, small);
  CHECK(sim.daemon_at(0).submits.at(token).result == submit_result::not_run);
}

TEST_CASE("running tasks survive a pause of the owner and its return",
          "[shard_machine]") {
  shard_fixture sim(2);
  sim.submit("a", 6, 40'000, small);
  sim.run_for(seconds(3));
  REQUIRE(sim.starts() == 6);
  sim.first_owner->paused_until = sim.now + seconds(20);
  REQUIRE(sim.run_until(seconds(10),
                        [&] { return sim.next_owner->machine->is_owner(); }));
  sim.submit("b", 6, 5'000, small);
  CHECK(sim.run_until(seconds(60),
                      [&] { return ended(sim, "a") && ended(sim, "b"); }));
  CHECK(sim.starts() == 12);
  CHECK(sim.violations.empty());
}

TEST_CASE(
    "a drained owner releases the shard and the next owner adopts the tasks",
    "[shard_machine]") {
  shard_fixture sim(2);
  sim.submit("a", 4, 30'000, small);
  sim.run_for(seconds(3));
  sim.deliver(*sim.first_owner, events::drain_requested{});
  REQUIRE(sim.run_until(seconds(5),
                        [&] { return sim.first_owner->machine->idle(); }));
  CHECK(sim.run_until(seconds(60), [&] { return ended(sim, "a"); }));
  CHECK(sim.starts() == 4);
}

TEST_CASE("without lease deletion a new owner waits for leases to expire",
          "[shard_machine]") {
  shard_fixture sim(2, 1);
  sim.workers["w0"].supports_lease_deletion = false;
  sim.submit("a", 1, 60'000, small);
  sim.run_for(seconds(3));
  sim.first_owner->stopped = true;
  const auto expires = sim.workers["w0"].leases.begin()->second.expires;
  sim.first_owner->paused_until = sim.now + seconds(1'000);
  REQUIRE(sim.run_until(seconds(10),
                        [&] { return sim.next_owner->machine->is_owner(); }));
  sim.submit("b", 1, 1'000, small);
  CHECK(sim.run_until(seconds(30), [&] { return ended(sim, "b"); }));
  const auto& starts = sim.workers["w0"].starts;
  REQUIRE(starts.size() == 2);
  CHECK(starts[1].first >= expires);
}

TEST_CASE(
    "tasks of an unreachable worker restart only once their lease expired",
    "[shard_machine]") {
  shard_fixture sim(1, 2);
  sim.submit("a", 4, 90'000, small);
  sim.run_for(seconds(3));
  const auto unreachable_since = sim.now;
  sim.daemon_at(0).unreachable_until["w0"] = sim.now + seconds(300);
  REQUIRE(sim.running("w0") > 0);
  const auto before = sim.starts();
  // The last renewal may have been answered up to a quarter of the lease
  // duration before the worker became unreachable.
  sim.run_for(milliseconds(30'300 - 2'600));
  CHECK(sim.starts() == before);
  CHECK(sim.run_until(seconds(5), [&] { return sim.starts() > before; }));
  CHECK(sim.now >= unreachable_since + milliseconds(27'700));
  CHECK(sim.run_until(seconds(200), [&] { return ended(sim, "a"); }));
  CHECK(sim.violations.empty());
}

TEST_CASE("tasks of an unreachable worker and owner wait until they have ended",
          "[shard_machine]") {
  shard_fixture sim(2, 2);
  sim.submit("a", 4, 200'000, small);
  sim.run_for(seconds(3));
  const auto before = sim.starts();
  REQUIRE(sim.running("w0") > 0);
  sim.next_owner->unreachable_until["w0"] = sim.now + seconds(1'000);
  sim.first_owner->stopped = true;
  sim.first_owner->paused_until = sim.now + seconds(1'000);
  REQUIRE(sim.run_until(seconds(10),
                        [&] { return sim.next_owner->machine->is_owner(); }));
  SECTION(
      "until the blind renewal limit and three lease durations have passed") {
    sim.run_for(seconds(88));
    CHECK(sim.starts() == before);
    CHECK(sim.run_until(seconds(6), [&] { return sim.starts() > before; }));
  }
  SECTION("until the former owner has returned and its leases have expired") {
    sim.restart(*sim.first_owner);
    sim.run_for(seconds(29));
    CHECK(sim.starts() == before);
    CHECK(sim.run_until(seconds(5), [&] { return sim.starts() > before; }));
  }
  SECTION("until an operator confirms that the worker is dead") {
    auto policy = sim.policy;
    policy.dead.insert("w0");
    sim.set_policy(policy);
    CHECK(sim.run_until(seconds(3), [&] { return sim.starts() > before; }));
  }
}

TEST_CASE("a lost start is repeated only after its lease has ended",
          "[shard_machine]") {
  shard_fixture sim(1, 1);
  sim.submit("a", 1, 2'000, small);
  REQUIRE(sim.run_until(seconds(5), [&] { return sim.job("a") != nullptr; }));
  const auto first_lease = sim.workers["w0"].leases.begin()->first;
  sim.daemon_at(0).unreachable_until["w0"] = sim.now + milliseconds(1'500);
  CHECK(sim.run_until(seconds(40), [&] { return ended(sim, "a"); }));
  CHECK(sim.starts() == 1);
  CHECK_FALSE(sim.workers["w0"].leases.contains(first_lease));
}

TEST_CASE("tasks of a domain that is taken out resume once on other workers",
          "[shard_machine]") {
  shard_fixture sim(1, 6);
  sim.submit("a", 12, 30'000, small);
  sim.run_for(seconds(3));
  const auto moved = sim.running("w0") + sim.running("w3");
  REQUIRE(moved > 0);
  sim.policy.domains_out.insert("d0");
  sim.set_policy(sim.policy);
  const auto out_at = sim.now;
  REQUIRE(sim.run_until(
      seconds(30), [&] { return sim.running("w0") + sim.running("w3") == 0; }));
  // The limit of 20 checkpoints a second is divided among the shards.
  CHECK(sim.now - out_at >=
        milliseconds(50) * model::placement_shard_count * (moved - 1));
  CHECK(sim.run_until(seconds(60), [&] { return ended(sim, "a"); }));
  CHECK(sim.starts() == 12 + moved);
  CHECK(sim.daemon_at(0).counts["evictions/domain-out"] == moved);
  for (const auto* const name : {"w0", "w3"})
    for (const auto& [at, id] : sim.workers[name].starts)
      CHECK(at <= out_at);
  sim.policy.domains_out.clear();
  sim.set_policy(sim.policy);
  sim.submit("b", 40, 20'000, small);
  sim.run_for(seconds(3));
  // The capacity of a returning worker ramps up over 20 s.
  CHECK(sim.running("w0") <= 2);
  CHECK(sim.run_until(seconds(120), [&] { return ended(sim, "b"); }));
}

TEST_CASE("a cancelled pending task never starts", "[shard_machine]") {
  shard_fixture sim(1, 1);
  sim.submit("a", 7, 20'000, small);
  sim.run_for(seconds(8));
  for (int i = 0; i < 20; ++i)
    sim.submit("p" + std::to_string(i), 1, 1'000, small);
  sim.run_for(seconds(1));
  const auto before = sim.starts();
  const auto appended = sim.log.size();
  for (int i = 0; i < 20; ++i)
    sim.cancel("p" + std::to_string(i));
  sim.cancel("a");
  REQUIRE(sim.run_until(seconds(10), [&] { return ended(sim, "a"); }));
  for (int i = 0; i < 20; ++i)
    CHECK(ended(sim, "p" + std::to_string(i)));
  sim.run_for(seconds(10));
  CHECK(sim.starts() == before);
  CHECK(sim.running("w0") == 0);
  // 21 cancellations and a few records for the ends of the running tasks.
  CHECK(sim.log.size() - appended <= 30);
}

TEST_CASE("a worker that fails every task gets at most five starts a minute",
          "[shard_machine]") {
  shard_fixture sim;
  sim.workers["w0"].fails_all_tasks = true;
  for (int i = 0; i < 10; ++i)
    sim.submit("a" + std::to_string(i), 8, 4'000, small);
  const auto begin = sim.now;
  REQUIRE(sim.run_until(seconds(90), [&] {
    for (int i = 0; i < 10; ++i)
      if (!ended(sim, "a" + std::to_string(i)))
        return false;
    return true;
  }));
  for (int i = 0; i < 10; ++i)
    CHECK(sim.job("a" + std::to_string(i))->finished == 8);
  const auto& starts = sim.workers["w0"].starts;
  CHECK(std::ranges::count_if(starts, [&](const auto& start) {
          return start.first - begin <= seconds(60);
        }) <= 5);
}

TEST_CASE("reservations follow observed peaks, not declared sizes",
          "[shard_machine]") {
  shard_fixture sim(1, 1);
  sim.workers["w0"].usage_percent = 150;
  // Four tasks fit by their declared size, but each uses 3,000 MiB of 8,000.
  sim.submit("a", 6, 10'000, {500, 2'000, 0});
  sim.run_for(seconds(5));
  for (int i = 0; i < 100; ++i) {
    sim.run_for(milliseconds(500));
    CHECK(sim.running("w0") <= 2);
  }
  CHECK(sim.daemon_at(0).counts["evictions/overcommitted"] >= 1);
  CHECK(sim.run_until(seconds(60), [&] { return ended(sim, "a"); }));
}

namespace {

/// A shard with one worker, which has run a job that used three times its
/// declared memory.
struct underdeclared_job_fixture : shard_fixture {
  underdeclared_job_fixture() : shard_fixture(1, 1) {
    workers["w0"].job_usage_percent["s03-low"] = 300;
    submit("low", 1, 15'000, {500, 500, 0});
    REQUIRE(run_until(seconds(30), [this] { return ended(*this, "low"); }));
  }
};

}  // namespace

// Guards against tasks that reserve what another job of their class used
// because they start before their own job has been measured.
TEST_CASE(
    "an unmeasured job starts one task, then the rest at its measured size",
    "[shard_machine]") {
  underdeclared_job_fixture sim;
  sim.submit("a", 12, 60'000, {500, 1'000, 0});
  for (int i = 0; i < 9; ++i) {
    sim.run_for(seconds(1));
    CHECK(sim.running("w0") <= 1);
  }
  CHECK(sim.run_until(seconds(10), [&] { return sim.running("w0") >= 5; }));
  CHECK(sim.daemon_at(0).counts["evictions/overcommitted"] == 0);
  CHECK(sim.run_until(seconds(300), [&] { return ended(sim, "a"); }));
  CHECK(sim.violations.empty());
}

// Guards against overcommitting a worker with the tasks of a measured job.
TEST_CASE("a job that uses more than its class reserves what it uses itself",
          "[shard_machine]") {
  underdeclared_job_fixture sim;
  sim.workers["w0"].job_usage_percent["s03-a"] = 250;
  sim.submit("a", 8, 20'000, {500, 1'000, 0});
  const bool done = sim.run_until(seconds(300), [&] {
    std::int64_t used = 0;
    for (const auto& [id, task] : sim.workers["w0"].runs)
      if (task.state == external::task_state::running)
        used += sim.workers["w0"].usage_of(task).memory_mib;
    CHECK(used <= 8'000);
    return ended(sim, "a");
  });
  CHECK(done);
  CHECK(sim.daemon_at(0).counts["evictions/overcommitted"] == 0);
}

// Guards against a job that runs only one task at a time because its worker
// reports no usage.
TEST_CASE("a job waits at most 30 s for its first measurement",
          "[shard_machine]") {
  underdeclared_job_fixture sim;
  sim.workers["w0"].reports_usage = false;
  sim.submit("a", 2, 90'000, {500, 1'000, 0});
  sim.run_for(seconds(25));
  CHECK(sim.running("w0") == 1);
  CHECK(sim.run_until(seconds(10), [&] { return sim.running("w0") == 2; }));
}

// Guards against tasks that run one at a time because each ends before it is
// measured.
TEST_CASE("the remaining tasks of a job start once its first task has finished",
          "[shard_machine]") {
  underdeclared_job_fixture sim;
  sim.workers["w0"].reports_usage = GENERATE(true, false);
  sim.submit("a", 5, 4'000, {500, 1'000, 0});
  CHECK(sim.run_until(seconds(8), [&] { return sim.running("w0") >= 2; }));
  CHECK(sim.run_until(seconds(20), [&] { return ended(sim, "a"); }));
}

// Guards against urgent tasks that wait longer than 1.9 s for a measurement.
TEST_CASE("urgent tasks do not wait for a measurement", "[shard_machine]") {
  underdeclared_job_fixture sim;
  sim.policy.class_kinds["sync"] = class_kind::urgent;
  sim.set_policy(sim.policy);
  const auto before = sim.starts();
  sim.submit("u", 2, 60'000, {500, 1'000, 0});
  CHECK(sim.run_until(milliseconds(1'900),
                      [&] { return sim.starts() == before + 2; }));
}

// Guards against a benchmark baseline that is not first fit.
TEST_CASE("first fit fills the first worker before the others",
          "[shard_machine]") {
  shard_fixture sim;
  sim.limits.first_fit = true;
  sim.restart(sim.daemon_at(0));
  REQUIRE(sim.run_until(seconds(20), [&] { return sim.owner() != nullptr; }));
  sim.run_for(seconds(2));
  // Below the number of starts that probation allows before one is confirmed.
  sim.submit("a", 4, 20'000, small);
  sim.run_for(seconds(3));
  CHECK(sim.running("w0") == 4);
}

TEST_CASE("interference leads to a throttle before an eviction",
          "[shard_machine]") {
  shard_fixture sim(1, 1);
  sim.submit("a", 2, 60'000, small);
  sim.run_for(seconds(3));
  sim.workers["w0"].slowdown_percent = 150;
  REQUIRE(sim.run_until(seconds(20), [&] {
    return sim.daemon_at(0).counts["throttles/tighten"] == 1;
  }));
  CHECK(sim.daemon_at(0).counts["evictions/interference"] == 0);
  SECTION("the throttle is lifted when the slowdown is well below the limit") {
    sim.workers["w0"].slowdown_percent = 105;
    CHECK(sim.run_until(seconds(30), [&] {
      return sim.daemon_at(0).counts["throttles/lift"] == 1;
    }));
  }
  SECTION("a task is evicted when the lowest throttle does not help") {
    CHECK(sim.run_until(seconds(60), [&] {
      return sim.daemon_at(0).counts["evictions/interference"] >= 1;
    }));
    CHECK(sim.daemon_at(0).counts["throttles/tighten"] == 2);
  }
}

TEST_CASE("a straggler is counted and moved once from a checkpoint",
          "[shard_machine]") {
  shard_fixture sim(1, 2);
  // Runs for 20 s, but declares 1 s.
  sim.deliver(sim.daemon_at(0),
              events::submit_job{
                  99,
                  {"s03-a", "team", "sync", 1, small, "20000", 1'000, 0, {}},
                  false});
  CHECK(sim.run_until(seconds(60), [&] { return ended(sim, "a"); }));
  CHECK(sim.daemon_at(0).counts["stragglers/sync"] == 2);
  CHECK(sim.daemon_at(0).counts["evictions/straggler"] == 1);
  CHECK(sim.starts() == 2);
  CHECK(sim.violations.empty());
}

TEST_CASE("a large job is not starved by small tasks", "[shard_machine]") {
  shard_fixture sim(1, 1);
  sim.submit("s", 200, 5'000, small);
  sim.run_for(seconds(3));
  sim.submit("large", 1, 1'000, {7'500, 500, 0});
  CHECK(sim.run_until(seconds(60), [&] { return ended(sim, "large"); }));
  CHECK_FALSE(ended(sim, "s"));
}

TEST_CASE("urgent tasks start on workers that are full of batch tasks",
          "[shard_machine]") {
  shard_fixture sim;
  sim.policy.reserve_percent = 15;
  sim.policy.class_kinds["quote"] = class_kind::urgent;
  sim.set_policy(sim.policy);
  sim.submit("batch", 60, 60'000, small);
  sim.run_for(seconds(30));
  const auto before = sim.starts();
  sim.submit("u", 3, 1'000, small, "quote");
  CHECK(sim.run_until(milliseconds(1'900),
                      [&] { return sim.starts() == before + 3; }));
}

TEST_CASE("a team's quota limits the resources of its running tasks",
          "[shard_machine]") {
  shard_fixture sim;
  // The quota is divided among the shards, which leaves 2,000 for this one.
  sim.policy.teams["team"] = {
      10, {std::int64_t{2'000} * model::placement_shard_count, -1, -1}};
  sim.set_policy(sim.policy);
  sim.submit("a", 8, 5'000, small);
  for (int i = 0; i < 20; ++i) {
    sim.run_for(milliseconds(500));
    CHECK(sim.running("w0") + sim.running("w1") + sim.running("w2") <= 2);
  }
  CHECK(sim.run_until(seconds(60), [&] { return ended(sim, "a"); }));
}

}  // namespace vanillaladder::control
