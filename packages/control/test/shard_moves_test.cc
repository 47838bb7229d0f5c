#include <catch2/catch.hpp>

#include "control/shard_machine.h"
#include "shard_fixture.h"

namespace vanillaladder::control {

using model::milliseconds;
using std::chrono::seconds;
using testing::ended;
using testing::shard_fixture;
using testing::simulation;
using testing::small;

// Guards against a job that stays forever in a shard whose workers are all out
// of service because the available resources of other shards became known only
// after its submission.
TEST_CASE("a job without attempts is delegated once another shard can run it",
          "[shard_machine]") {
  shard_fixture sim;
  batch_policy all_out;
  all_out.domains_out = {"d0", "d1", "d2"};
  sim.set_policy(all_out);
  sim.submit("a", 2, 1'000, small);
  sim.run_for(seconds(3));
  REQUIRE(sim.job("a") != nullptr);
  REQUIRE_FALSE(sim.job("a")->delegated_to);
  events::shards_changed capacities;
  capacities.shards[1] = {{32'000, 32'000, 0}, {32'000, 32'000, 0}};
  sim.deliver(*sim.owner(), capacities);
  sim.run_for(seconds(2));
  CHECK(sim.job("a")->delegated_to == model::shard_id{1});
  CHECK(sim.starts() == 0);
}

// Guards against delegating a job to a shard whose workers have just gone out
// of service, based on an earlier capacity report.
TEST_CASE("capacity reports from before a domain was taken out are not used",
          "[shard_machine]") {
  shard_fixture sim;
  const events::shards_changed::room room{{32'000, 32'000, 0},
                                          {32'000, 32'000, 0}};
  events::shards_changed capacities;
  capacities.shards[1] = room;
  sim.deliver(*sim.owner(), capacities);
  batch_policy all_out;
  all_out.domains_out = {"d0", "d1", "d2"};
  sim.set_policy(all_out);
  sim.submit("a", 2, 1'000, small);
  sim.run_for(seconds(1));
  sim.deliver(*sim.owner(), capacities);
  sim.run_for(seconds(2));
  REQUIRE(sim.job("a") != nullptr);
  CHECK_FALSE(sim.job("a")->delegated_to);
  capacities.shards[1] = {};
  capacities.shards[2] = room;
  sim.deliver(*sim.owner(), capacities);
  sim.run_for(seconds(1));
  CHECK(sim.job("a")->delegated_to == model::shard_id{2});
}

namespace {

/// Reports available resources in shard 1, as heartbeats do, until the job is
/// delegated.
bool wait_for_delegation(shard_fixture& sim, const std::string& key) {
  events::shards_changed capacities;
  capacities.shards[1] = {{32'000, 32'000, 0}, {32'000, 32'000, 0}};
  return sim.run_until(seconds(120), [&] {
    sim.deliver(*sim.owner(), capacities);
    return sim.job(key)->delegated_to.has_value();
  });
}

/// Starts a job of two tasks, then makes all workers unreachable.
void start_job_and_lose_workers(shard_fixture& sim, const std::string& key) {
  sim.submit(key, 2, 60'000, small);
  REQUIRE(sim.run_until(seconds(5), [&] { return sim.starts() == 2; }));
  for (const auto& [id, worker] : sim.workers)
    sim.owner()->unreachable_until[id] = sim.now + seconds(200);
  REQUIRE(wait_for_delegation(sim, key));
  sim.run_for(seconds(1));
  REQUIRE_FALSE(sim.owner()->delegations.empty());
}

}  // namespace

// Guards against a job that stays forever in a shard whose workers failed while
// its tasks ran.
TEST_CASE(
    "a job is delegated with its progress when its workers are unreachable",
    "[shard_machine]") {
  shard_fixture sim;
  start_job_and_lose_workers(sim, "a");
  const auto sent = sim.owner()->delegations.back();
  CHECK(sent.shard == 1);
  CHECK(sent.job.moves == 1);
  REQUIRE(sent.job.progress.size() == 2);
  for (const auto& task : sent.job.progress) {
    CHECK(task.state == coordination::task_state::pending);
    CHECK(task.attempt == 1);
  }
  for (const auto& [id, worker] : sim.workers)
    CHECK(sim.running(id) == 0);
}

// Guards against a job that neither shard keeps, and against submitting a job
// again after the other shard has run it and removed its record.
TEST_CASE("a delegation is repeated until it is confirmed", "[shard_machine]") {
  shard_fixture sim;
  start_job_and_lose_workers(sim, "a");
  auto& member = *sim.owner();
  const auto before = member.delegations.size();
  sim.deliver(member,
              events::delegation_done{"s03-a", 1, call_outcome::unknown});
  sim.deliver(member, events::delegation_done{"s03-a", 7, call_outcome::ok});
  sim.run_for(seconds(5));
  CHECK(member.delegations.size() > before);
  CHECK(member.delegations.back().job.progress.size() == 2);
  sim.deliver(member, events::delegation_done{"s03-a", 1, call_outcome::ok});
  sim.run_for(seconds(1));
  CHECK(sim.job("a")->tasks.empty());
  const auto sends = member.delegations.size();
  sim.restart(member);
  sim.run_for(seconds(20));
  REQUIRE(sim.owner() == &member);
  CHECK(member.delegations.size() == sends);
}

// Guards against a job that cannot return to a shard it was delegated from, and
// against a delayed repeat of an earlier delegation that would run it twice.
TEST_CASE("a job returns only by a later delegation", "[shard_machine]") {
  shard_fixture sim;
  start_job_and_lose_workers(sim, "a");
  auto& member = *sim.owner();
  auto moved = member.delegations.back().job;
  member.unreachable_until.clear();
  const auto submit = [&](std::uint32_t moves) {
    moved.moves = moves;
    sim.deliver(member, events::submit_job{100 + moves, moved, true});
    sim.run_for(seconds(2));
    return member.submits.at(100 + moves).result;
  };
  CHECK(submit(0) == submit_result::already_exists);
  CHECK(sim.job("a")->delegated_to);
  moved.progress = {{0, coordination::task_state::finished, 4, {}},
                    {1, coordination::task_state::pending, 2, {}}};
  CHECK(submit(2) == submit_result::created);
  CHECK(submit(2) == submit_result::already_exists);
  CHECK_FALSE(sim.job("a")->delegated_to);
  CHECK(sim.run_until(seconds(200), [&] { return ended(sim, "a"); }));
  CHECK(sim.starts() == 3);
  CHECK(sim.job("a")->finished == 2);
  CHECK(submit(1) == submit_result::already_exists);
  CHECK(sim.starts() == 3);
  CHECK(sim.violations.empty());
}

// Guards against placing a task again while its worker and the former owner are
// both unreachable: that owner may still be renewing the lease.
TEST_CASE(
    "a task of an unreachable worker and owner waits for the renewal limit",
    "[shard_machine]") {
  shard_fixture sim(2);
  sim.submit("a", 1, 600'000, small);
  REQUIRE(sim.run_until(seconds(5), [&] { return sim.starts() == 1; }));
  auto& next = *sim.next_owner;
  sim.first_owner->paused_until = sim.now + seconds(600);
  for (const auto& [id, worker] : sim.workers)
    if (!worker.starts.empty())
      next.unreachable_until[id] = sim.now + seconds(600);
  REQUIRE(sim.run_until(seconds(60), [&] { return next.machine->is_owner(); }));
  const auto owned_since = sim.now;
  REQUIRE(sim.run_until(seconds(300), [&] { return sim.starts() == 2; }));
  // The blind renewal limit of the simulation and three leases of 10 s with 1%
  // clock tolerance.
  const milliseconds least(60'000 + 30'300);
  CHECK(sim.now - owned_since >= least);
  CHECK(sim.now - owned_since < least + seconds(5));
  CHECK(sim.violations.empty());
}

}  // namespace vanillaladder::control
