#include "scene.h"

namespace vanillaladder::schedule {
namespace {

using namespace std::chrono_literals;

// What the promises grant after the confirmation.
constexpr auto cancel_time = 3s;
constexpr auto closing_time = 5s;
constexpr auto drain_time = 2s;
/// Long enough for a plan that takes room which has become free.
constexpr auto several_plans = 2s;

/// All room is taken by tasks that last; a job waits for it.
struct full_scene : scene {
  std::size_t leader = cluster.wait_for_leader();
  std::size_t other = cluster.follower();
  std::string lasting_job = fill_all_room(leader);
  std::string waiting_job = submit(leader, all_tasks, {200, 0});

  full_scene() { REQUIRE(reaches(other, waiting_job, "queued")); }

  /// Frees the room. The leader stores this cancellation itself and therefore
  /// needs no read to know of it.
  void free_room() {
    cancel(leader, lasting_job);
    REQUIRE(runs(lasting_job, 0));
    pass(several_plans);
  }
  void recover() {
    cluster.set_store({{"silent_reads", ""}, {"silent_pages", ""}});
    complete_one();
  }
};

}  // namespace

// Guards against starts of cancelled work by a leader that can store, but not
// read: its lease rests on appends, and its copy of the jobs grows old.
TEST_CASE("a job is not started after its cancel while jobs can't be read") {
  full_scene s;
  s.cluster.set_store({{"silent_reads", "jobs"}});
  s.cancel(s.other, s.waiting_job);
  scene::pass(cancel_time);
  s.free_room();
  CHECK(s.cluster.starts_of(s.waiting_job).empty());
  s.recover();
  CHECK(s.cluster.starts_of(s.waiting_job).empty());
  CHECK(s.reaches(s.leader, s.waiting_job, "cancelled"));
  s.check_promises();
}

// The same while the history of the jobs is gone and the load that follows
// can't be completed: the cancellation is on a page that has no answer.
TEST_CASE("a job is not started after its cancel while a load is incomplete") {
  full_scene s;
  // The cancellations of earlier jobs fill the first page.
  for (int n = 0; n < 3; ++n) {
    auto earlier = s.submit(s.leader, 1, {200, 0});
    s.cancel(s.leader, earlier);
  }
  auto waiting = s.submit(s.leader, s.all_tasks, {200, 0});
  REQUIRE(s.reaches(s.other, waiting, "queued"));
  s.cluster.set_store({{"silent_reads", "jobs"}, {"page_keys", 2}});
  s.cancel(s.other, waiting);
  s.cluster.forget("jobs");
  s.cluster.set_store({{"silent_reads", ""}, {"silent_pages", "jobs"}});
  scene::pass(cancel_time);
  s.free_room();
  CHECK(s.cluster.starts_of(waiting).empty());
  s.recover();
  CHECK(s.cluster.starts_of(waiting).empty());
  s.check_promises();
}

// The same for a failure domain that operators close.
TEST_CASE("nothing starts in a closed domain while its closing can't be read") {
  full_scene s;
  s.cluster.set_store({{"silent_reads", "operator"}});
  s.cluster.put("operator", standins::platform::closing_key("domain-1"), "{}");
  scene::pass(closing_time);
  s.free_room();
  CHECK_FALSE(s.places(s.waiting_job, "domain").contains("domain-1"));
  s.recover();
  CHECK(s.reaches(s.leader, s.waiting_job, "completed"));
  CHECK_FALSE(s.places(s.waiting_job, "domain").contains("domain-1"));
  s.check_promises();
}

// The same for a worker that leaves.
TEST_CASE("nothing starts on a leaving worker while the list can't be read") {
  full_scene s;
  s.cluster.set_store({{"silent_reads", "workers"}});
  s.cluster.set_workers({{"draining", true}}, "worker-1");
  scene::pass(drain_time + 1s);
  s.free_room();
  CHECK_FALSE(s.places(s.waiting_job, "worker").contains("worker-1"));
  s.recover();
  CHECK(s.reaches(s.leader, s.waiting_job, "completed"));
  CHECK_FALSE(s.places(s.waiting_job, "worker").contains("worker-1"));
  s.check_promises();
}

// Guards against a leader that stops or loses running work while it can't read.
TEST_CASE("what runs goes on while no topic can be read") {
  full_scene s;
  s.cluster.set_store({{"silent_reads", "jobs,operator,workers"}});
  scene::pass(8s);
  CHECK(s.cluster.running(s.lasting_job) ==
        static_cast<std::size_t>(s.all_tasks));
  CHECK(s.cluster.starts_of(s.lasting_job).size() ==
        static_cast<std::size_t>(s.all_tasks));
  s.cluster.set_store({{"silent_reads", ""}});
  s.cancel(s.leader, s.lasting_job);
  CHECK(s.reaches(s.leader, s.waiting_job, "completed"));
  s.check_promises();
}

// Guards against orders that leave as they were planned, after the append that
// they waited for, although their job was cancelled meanwhile.
TEST_CASE(
    "a start that waits for an append is dropped if its job is cancelled") {
  scene s;
  auto leader = s.cluster.wait_for_leader();
  s.cluster.set_store({{"held_appends", "progress"}});
  auto job = s.submit(leader, s.all_tasks, {200, 0});
  REQUIRE(eventually(
      [&] { return s.cluster.newest("progress").contains(job + "/0/0"); }));
  s.cancel(leader, job);
  s.cluster.set_store({{"held_appends", ""}});
  s.complete_one();
  CHECK(s.cluster.starts_of(job).empty());
  CHECK(s.reaches(leader, job, "cancelled"));
  s.check_promises();
}

// The same for a failure domain that operators close meanwhile.
TEST_CASE("a start that waits for an append is dropped if its domain closes") {
  scene s;
  auto leader = s.cluster.wait_for_leader();
  s.cluster.set_store({{"held_appends", "progress"}});
  auto job = s.submit(leader, s.all_tasks, {200, 0});
  REQUIRE(eventually(
      [&] { return s.cluster.newest("progress").contains(job + "/0/0"); }));
  s.cluster.put("operator", standins::platform::closing_key("domain-1"), "{}");
  scene::pass(closing_time);
  s.cluster.set_store({{"held_appends", ""}});
  CHECK(s.reaches(leader, job, "completed"));
  CHECK_FALSE(s.places(job, "domain").contains("domain-1"));
  s.check_promises();
}

// Guards against stops that wait behind an append of progress without an
// answer.
TEST_CASE("a cancelled job is stopped while an append has no answer") {
  scene s;
  auto leader = s.cluster.wait_for_leader();
  auto running = s.submit(leader, 4, lasting);
  REQUIRE(s.runs(running, 4));
  s.cluster.set_store({{"held_appends", "progress"}});
  auto next = s.submit(leader, 1, {200, 0});
  REQUIRE(eventually(
      [&] { return s.cluster.newest("progress").contains(next + "/0/0"); }));
  s.cancel(leader, running);
  CHECK(s.runs(running, 0));
  s.cluster.set_store({{"held_appends", ""}});
  CHECK(s.reaches(leader, next, "completed"));
  s.check_promises();
}

// Guards against a state from an old copy that passes for the present one.
TEST_CASE("a state that can't be read says how old it is") {
  scene s;
  auto job = s.submit(s.cluster.follower(), 1, lasting);
  REQUIRE(s.runs(job, 1));
  auto show = [&](std::size_t daemon) {
    http::request message{"GET", standins::platform::queue_prefix + job, {}};
    message.host = standins::platform::queue_host;
    return harness::caller().call(s.cluster.caller_port(daemon), message);
  };
  for (std::size_t n = 0; n < s.cluster.daemon_count(); ++n) {
    REQUIRE(s.reaches(n, job, "running"));
    CHECK(show(n).header("age").empty());
  }
  s.cluster.set_store({{"outage", "silent"}});
  scene::pass(6s);
  for (std::size_t n = 0; n < s.cluster.daemon_count(); ++n) {
    auto answer = show(n);
    INFO(n << " " << answer.body);
    CHECK(answer.status == 200);
    CHECK(answer.header("age") >= "3");
    CHECK(answer.header("age").size() == 1);
  }
  s.cluster.set_store({{"outage", "none"}});
  s.complete_one();
  s.check_promises();
}

}  // namespace vanillaladder::schedule
