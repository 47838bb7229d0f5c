#include <csignal>

#include "scene.h"

namespace vanillaladder::schedule {
namespace {

using namespace std::chrono_literals;

/// Longer than the leader's lease and the time in which another daemon claims
/// it.
constexpr auto lease_time = 3s;
/// Longer than the lease of a worker.
constexpr auto worker_lease_time = 8s;

/// Jobs of several kinds that are under way when a failure happens.
struct busy_scene : scene {
  std::size_t leader = 0;
  std::string lasting_job;
  std::string cancelled_job;
  std::vector<std::string> jobs;

  explicit busy_scene(harness::platform_options options = {})
      : scene(options), leader(cluster.wait_for_leader()) {
    lasting_job = submit(leader, 4, lasting);
    cancelled_job = submit(leader, 2, lasting);
    for (std::size_t n = 0; n < 2 * cluster.daemon_count(); ++n) {
      auto daemon = n % cluster.daemon_count();
      jobs.push_back(submit(daemon, {{4, 1000, ""}}, {1500, 0}));
    }
    REQUIRE(runs(lasting_job, 4));
    REQUIRE(runs(cancelled_job, 2));
    cancel(cluster.follower(), cancelled_job);
  }

  /// Checks that all accepted work completes, that what was cancelled stays
  /// away, and that lasting tasks run.
  void check_work() {
    std::size_t daemon = 0;
    while (!cluster.process(daemon).running()) {
      ++daemon;
    }
    for (const auto& job : jobs) {
      CHECK(reaches(daemon, job, "completed"));
    }
    CHECK(runs(lasting_job, 4));
    CHECK(runs(cancelled_job, 0));
    CHECK(reaches(daemon, cancelled_job, "cancelled"));
    complete_one();
    CHECK(cluster.running(cancelled_job) == 0);
  }
};

}  // namespace

TEST_CASE("work completes after the leader is killed") {
  busy_scene s;
  s.cluster.process(s.leader).send_signal(SIGKILL);
  REQUIRE(s.cluster.process(s.leader).wait_for_exit());
  s.check_work();
  s.cluster.restart(s.leader);
  s.check_work();
  s.check_promises();
}

// Guards against a leader that goes on with orders of its lost leadership.
TEST_CASE("work completes after the leader is paused past its lease") {
  busy_scene s;
  s.cluster.process(s.leader).send_signal(SIGSTOP);
  scene::pass(lease_time);
  REQUIRE(eventually([&] {
    auto leader = s.cluster.leader();
    return leader && *leader != s.leader;
  }));
  s.cluster.process(s.leader).send_signal(SIGCONT);
  s.check_work();
  s.check_promises();
}

TEST_CASE("work completes after the store was silent") {
  busy_scene s;
  s.cluster.set_store({{"outage", "silent"}});
  scene::pass(4s);
  s.cluster.set_store({{"outage", "none"}});
  s.check_work();
  s.check_promises();
}

// Guards against a job that is accepted, cancelled or lost by an append that
// takes effect long after its caller was answered.
TEST_CASE("a cancel holds for a job whose append takes effect later") {
  scene s;
  auto daemon = s.cluster.follower();
  s.cluster.set_store(
      {{"late_append_topic", "jobs"}, {"late_append_ms", 3000}});
  auto job = s.next_id();
  auto answer =
      s.cluster.submit(daemon, job, submission({{4, 1000, ""}}, lasting));
  CHECK(answer.status == 504);
  s.cancel(daemon, job);
  REQUIRE(eventually([&] { return !s.cluster.events("late_append").empty(); }));
  s.complete_one();
  CHECK(s.cluster.starts_of(job).empty());
  s.check_promises();
}

TEST_CASE("work completes while answers of the store are lost") {
  busy_scene s;
  s.cluster.set_store({{"lose_answers", 12}});
  s.check_work();
  s.check_promises();
}

// Guards against runs that are placed again while the worker that is cut off
// may still run them.
TEST_CASE("work completes after a worker was cut off and is back") {
  busy_scene s;
  s.cluster.set_workers({{"silent", true}}, "worker-1");
  scene::pass(worker_lease_time);
  s.cluster.set_workers({{"silent", false}}, "worker-1");
  s.check_work();
  s.check_promises();
}

// Guards against leases and numbers of ends by the clock of the process before.
TEST_CASE("work completes after a worker is back under its id") {
  busy_scene s;
  for (int n = 0; n < 2; ++n) {
    s.cluster.set_workers({{"dead", true}}, "worker-1,worker-2");
    scene::pass(500ms);
    s.cluster.set_workers({{"dead", false}}, "worker-1,worker-2");
    scene::pass(500ms);
  }
  s.check_work();
  s.check_promises();
}

TEST_CASE("a gang completes after one of its members is lost") {
  scene s;
  auto leader = s.cluster.wait_for_leader();
  auto gang = s.submit(leader, {{4, 3000, ""}}, {3000, 4});
  REQUIRE(s.runs(gang, 4));
  auto lost = s.cluster.starts_of(gang).front().at("worker");
  s.cluster.set_workers({{"dead", true}}, lost);
  CHECK(s.reaches(leader, gang, "completed"));
  s.check_promises();
}

// Guards against a daemon that ends, stops following a topic or uses a worker
// because of a record that it can't read.
TEST_CASE("work completes beside odd entries in every topic of others") {
  busy_scene s;
  const std::vector<std::string> odd = {
      "x",
      "{}",
      "[]",
      std::string(70000, '['),
      R"({"service":"service-1","address":"127.0.0.1:0","state":"ready"})",
      R"({"service":7,"address":[],"zone":{},"state":"ready"})",
      R"({"service":"service-1","address":"127.0.0.1:9","state":"unheard"})"};
  for (std::size_t n = 0; n < odd.size(); ++n) {
    auto key = "odd-" + std::to_string(n);
    s.cluster.put("workers", key, odd[n]);
    s.cluster.put("operator", key, odd[n]);
    s.cluster.put("jobs", key, odd[n]);
    s.cluster.put("jobs", "j/" + key, odd[n]);
    s.cluster.put("jobs", "s/" + key, odd[n]);
    s.cluster.put("progress", key, odd[n]);
    s.cluster.put("progress", "0000000000000001/0/0", odd[n]);
    s.cluster.put("lease", key, odd[n]);
  }
  // The next leader reads all topics from their beginning.
  s.cluster.process(s.leader).send_signal(SIGKILL);
  REQUIRE(s.cluster.process(s.leader).wait_for_exit());
  s.cluster.restart(s.leader);
  s.check_work();
  s.check_promises();
}

}  // namespace vanillaladder::schedule
