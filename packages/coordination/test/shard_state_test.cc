#include "coordination/shard_state.h"

#include <array>
#include <catch2/catch.hpp>
#include <random>

#include "support.h"

namespace vanillaladder::coordination {
namespace {

/// A shard stream and the state built from it.
struct shard_log {
  shard_state state;
  model::offset next = 0;
  std::map<model::instance_id, std::uint64_t> sequences;

  shard_result add(shard_body body, const model::instance_id& writer = "a",
                   model::epoch epoch = 1) {
    return state.apply(
        next++, {{writer, 1, ++sequences[writer]}, epoch, std::move(body)});
  }
  shard_result start(std::uint32_t attempt, std::uint32_t task = 0) {
    return add(tasks_started{{{0, task, 0, attempt}}});
  }
  shard_result end(std::uint32_t attempt, task_outcome outcome,
                   const std::string& checkpoint = {}) {
    return add(tasks_ended{{{0, 0, attempt, outcome, checkpoint}}});
  }
  task_state task() const { return state.find_task(0, 0)->state; }
};

job_submitted job(const std::string& id, std::uint32_t tasks = 2) {
  job_submitted out;
  out.id = id;
  out.tasks = tasks;
  return out;
}

/// @return a shard with one owner, one worker and one job of two tasks.
shard_log shard_with_job() {
  shard_log log;
  log.add(owner_claimed{"a", 1});
  log.add(worker_registered{"w-1"});
  log.add(job("j-1"));
  return log;
}

}  // namespace

// Guards against two owners of a shard: the log order decides between claims.
TEST_CASE(
    "only the first claim of an epoch and its owner's records are valid") {
  shard_log log;
  CHECK(log.add(owner_claimed{"a", 1}).valid());
  CHECK(log.add(owner_claimed{"b", 1}, "b").verdict ==
        shard_verdict::stale_epoch);
  CHECK(log.add(job("x"), "b").verdict == shard_verdict::stale_epoch);
  CHECK(log.add(job("x"), "a", 0).verdict == shard_verdict::stale_epoch);
  CHECK(log.add(owner_claimed{"b", 1}, "b", 2).valid());
  CHECK(log.add(job("x"), "a").verdict == shard_verdict::stale_epoch);
  CHECK(log.add(job("x"), "b", 2).valid());
  CHECK(log.add(owner_released{}, "b", 2).valid());
  CHECK_FALSE(log.state.owner());
  CHECK_FALSE(log.add(job("y"), "b", 2).valid());
  CHECK(log.add(owner_claimed{"b", 1}, "b", 3).valid());
}

// Guards against a second run of a task while the first may still be running.
TEST_CASE("a task starts only when its previous attempt has ended") {
  auto log = shard_with_job();
  CHECK(log.start(2).verdict == shard_verdict::wrong_state);
  CHECK(log.start(1).valid());
  CHECK(log.start(1).verdict == shard_verdict::wrong_state);
  CHECK(log.start(2).verdict == shard_verdict::wrong_state);
  CHECK(log.state.running_attempts() == std::vector<task_start>{{0, 0, 0, 1}});
  CHECK(log.end(2, task_outcome::evicted).verdict ==
        shard_verdict::wrong_state);
  CHECK(log.end(1, task_outcome::evicted, "cp").valid());
  CHECK(log.end(1, task_outcome::evicted).verdict ==
        shard_verdict::wrong_state);
  CHECK(log.start(2).valid());
  CHECK(log.state.find_task(0, 0)->checkpoint == "cp");
  CHECK(log.end(2, task_outcome::finished).valid());
  CHECK(log.start(3).verdict == shard_verdict::wrong_state);
}

// Guards against a rejected start that is not reported because the rest of its
// batch is accepted.
TEST_CASE("a batch reports its rejected entries") {
  auto log = shard_with_job();
  auto result = log.add(
      tasks_started{{{0, 0, 0, 1}, {0, 0, 0, 1}, {0, 1, 9, 1}, {7, 0, 0, 1}}});
  CHECK(result.verdict == shard_verdict::partially_accepted);
  CHECK(result.rejected == std::vector<std::size_t>{1, 2, 3});
}

// Guards against cancelled tasks that start, and running tasks that are lost.
TEST_CASE("a cancelled job starts no task and ends with its running tasks") {
  auto log = shard_with_job();
  log.start(1);
  CHECK(log.add(job_cancelled{0}).valid());
  CHECK(log.add(job_cancelled{0}).verdict == shard_verdict::wrong_state);
  CHECK(log.start(1, 1).verdict == shard_verdict::wrong_state);
  CHECK_FALSE(log.state.find_job(0)->ended);
  CHECK(log.end(1, task_outcome::evicted).valid());
  CHECK(log.state.find_job(0)->ended);
  CHECK(log.start(2).verdict == shard_verdict::wrong_state);
}

// Guards against a submission that is repeated or delegated twice.
TEST_CASE("a job is submitted once and delegated while no task runs") {
  auto log = shard_with_job();
  auto repeat = log.add(job("j-1"));
  CHECK(repeat.verdict == shard_verdict::already_exists);
  CHECK(repeat.job == 0U);
  log.add(job("j-2"));
  CHECK(log.add(job_delegated{1, 3}).valid());
  CHECK(log.add(job_delegated{1, 4}).verdict == shard_verdict::wrong_state);
  CHECK_FALSE(log.add(tasks_started{{{1, 0, 0, 1}}}).valid());
  CHECK(log.state.find_job(1)->delegated_to == model::shard_id{3});
  CHECK(log.add(job_cancelled{1}).valid());
  log.start(1);
  CHECK(log.add(job_delegated{0, 3}).verdict == shard_verdict::wrong_state);
  CHECK(log.add(job("big", shard_state::max_tasks + 1)).verdict ==
        shard_verdict::wrong_state);
}

// Guards against a moved job that runs finished tasks again or reuses the
// attempt numbers of an earlier shard.
TEST_CASE("a moved job continues with its recorded progress") {
  auto log = shard_with_job();
  auto moved = job("j-2", 3);
  moved.moves = 1;
  moved.progress = {{0, task_state::finished, 1, {}},
                    {2, task_state::pending, 2, "cp"}};
  CHECK(log.add(moved).valid());
  const auto* entry = log.state.find_job(1);
  CHECK(entry->finished == 1);
  CHECK(entry->job.progress.empty());
  CHECK_FALSE(log.add(tasks_started{{{1, 0, 0, 2}}}).valid());
  CHECK_FALSE(log.add(tasks_started{{{1, 2, 0, 1}}}).valid());
  CHECK(log.state.find_task(1, 2)->checkpoint == "cp");
  CHECK(log.add(tasks_started{{{1, 1, 0, 1}, {1, 2, 0, 3}}}).verdict ==
        shard_verdict::accepted);
  moved.id = "j-3";
  moved.progress = {{3, task_state::finished, 1, {}}};
  CHECK(log.add(moved).verdict == shard_verdict::wrong_state);
  moved.progress = {{0, task_state::started, 1, {}}};
  CHECK(log.add(moved).verdict == shard_verdict::wrong_state);
  moved.progress = {{1, task_state::pending, 1, {}},
                    {1, task_state::pending, 2, {}}};
  CHECK(log.add(moved).verdict == shard_verdict::wrong_state);
}

// Guards against a delegated job that is dropped before the other shard has
// recorded it, and one whose tasks start in this shard.
TEST_CASE("a delegated job keeps its tasks until the delegation is confirmed") {
  auto log = shard_with_job();
  CHECK(log.add(job_delegated{0, 3, true}).verdict ==
        shard_verdict::wrong_state);
  log.start(1);
  log.end(1, task_outcome::lost);
  CHECK(log.add(job_delegated{0, 3}).valid());
  CHECK(log.state.find_task(0, 0)->attempt == 1);
  CHECK_FALSE(log.start(2).valid());
  CHECK(log.add(job_delegated{0, 4, true}).verdict ==
        shard_verdict::wrong_state);
  CHECK(log.add(job_delegated{0, 3, true}).valid());
  CHECK(log.add(job_delegated{0, 3, true}).verdict ==
        shard_verdict::wrong_state);
  CHECK(log.state.find_task(0, 0) == nullptr);
  CHECK_FALSE(log.state.find_job(0)->ended);
}

// Guards against a cancellation that is lost when the job moves back.
TEST_CASE("a job that was cancelled while delegated starts no task") {
  auto log = shard_with_job();
  log.add(job_delegated{0, 3});
  log.add(job_cancelled{0});
  auto returned = job("j-1");
  returned.moves = 2;
  returned.progress = {{0, task_state::pending, 1, {}}};
  CHECK(log.add(returned).valid());
  CHECK(log.state.find_job(0)->ended);
  CHECK_FALSE(log.start(2).valid());
}

namespace {

/// Three shards between which one job moves; messages are repeated and delayed.
struct moving_job {
  std::array<shard_log, 3> shards;
  std::vector<std::pair<std::size_t, job_submitted>> sent;

  bool live(std::size_t shard) const {
    const auto number = shards.at(shard).state.find_job("j-1");
    return number && !shards.at(shard).state.find_job(*number)->delegated_to;
  }
  void move(std::size_t from, std::size_t to) {
    auto& log = shards.at(from);
    const auto number = log.state.find_job("j-1");
    if (!number || from == to ||
        !log.add(job_delegated{*number, static_cast<model::shard_id>(to)})
             .valid()) {
      return;
    }
    auto next = log.state.find_job(*number)->job;
    ++next.moves;
    sent.emplace_back(to, next);
  }
};

}  // namespace

// Guards against a delayed or repeated submission that makes a job live in two
// shards.
TEST_CASE("a moving job is live in at most one shard") {
  std::mt19937_64 random(7);
  for (int round = 0; round < 200; ++round) {
    moving_job world;
    for (auto& log : world.shards) {
      log.add(owner_claimed{"a", 1});
    }
    world.shards[0].add(job("j-1"));
    for (int step = 0; step < 60; ++step) {
      auto pick = random();
      if (pick % 2 == 0) {
        world.move(pick / 2 % 3, pick / 8 % 3);
      } else if (!world.sent.empty()) {
        const auto& [to, body] = world.sent[pick / 2 % world.sent.size()];
        world.shards.at(to).add(body);
      }
      REQUIRE(world.live(0) + world.live(1) + world.live(2) <= 1);
    }
    const auto last =
        world.sent.empty() ? std::size_t{0} : world.sent.back().first;
    if (!world.sent.empty()) {
      world.shards.at(last).add(world.sent.back().second);
    }
    REQUIRE(world.live(last));
  }
}

// Guards against two requests sent for one idempotency key: only the first
// claim of a key may send.
TEST_CASE("an idempotency key is claimed once until it expires") {
  auto log = shard_with_job();
  CHECK(log.add(key_claimed{5, "e-1", 1, 10}).valid());
  auto second = log.add(key_claimed{5, "e-2", 1, 11});
  REQUIRE(second.first_claim);
  CHECK(second.first_claim->claim.nonce == 10);
  CHECK_FALSE(log.add(key_finished{5, 11, key_outcome::not_run, 0}).valid());
  CHECK(log.add(key_finished{5, 10, key_outcome::answered, 200}).valid());
  CHECK_FALSE(log.add(key_finished{5, 10, key_outcome::not_run, 0}).valid());
  CHECK(log.add(key_claimed{6, "e-1", 1, 12}).valid());
  CHECK(log.add(key_finished{6, 12, key_outcome::not_run, 0}).valid());
  CHECK(log.add(key_claimed{6, "e-2", 1, 13}).valid());
  CHECK(log.add(keys_expired{3}).valid());
  CHECK(log.state.find_key(5) == nullptr);
  CHECK(log.state.find_key(6) != nullptr);
}

// Guards against a state that grows without limit, and ended jobs that are
// dropped too early.
TEST_CASE("the oldest ended jobs are dropped") {
  auto log = shard_with_job();
  for (std::size_t i = 0; i <= shard_state::max_ended_jobs; ++i) {
    auto added = log.add(job("n" + std::to_string(i), 1));
    log.add(job_cancelled{added.job.value()});
  }
  CHECK_FALSE(log.state.find_job(model::job_id("n0")));
  CHECK(log.state.find_job(model::job_id("n1")));
  CHECK(log.state.jobs().size() == shard_state::max_ended_jobs + 1);
  auto copy = shard_state::from_snapshot(log.state.to_snapshot());
  CHECK(copy.value() == log.state);
}

// Guards against a snapshot that makes the state read out of bounds.
TEST_CASE("an inconsistent snapshot is rejected") {
  auto log = shard_with_job();
  log.start(1);
  auto snapshot = log.state.to_snapshot();
  snapshot.workers.clear();
  CHECK_FALSE(shard_state::from_snapshot(snapshot).ok());
  snapshot = log.state.to_snapshot();
  snapshot.ended_jobs.push_back(9);
  CHECK_FALSE(shard_state::from_snapshot(snapshot).ok());
  snapshot = log.state.to_snapshot();
  snapshot.jobs.at(0).tasks.clear();
  CHECK_FALSE(shard_state::from_snapshot(snapshot).ok());
}

// Guards the format of job ids, from which any daemon derives the home shard.
TEST_CASE("a job id contains its home shard") {
  auto id = make_job_id("weekly-report");
  CHECK(id.substr(3) == "-weekly-report");
  CHECK(std::stoi(id.substr(1, 2)) == home_shard("weekly-report"));
}

}  // namespace vanillaladder::coordination
