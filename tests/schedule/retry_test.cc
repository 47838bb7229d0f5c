#include <csignal>

#include "scene.h"

namespace vanillaladder::schedule {
namespace {

using namespace std::chrono_literals;

/// Longer than the time in which a daemon notices that the store doesn't
/// answer.
constexpr auto notice_time = 3s;
/// Longer than the tests take until the store is back.
constexpr std::int64_t late_ms = 12000;

/// A job whose first attempt got no answer and is stored seconds later.
struct late_scene : scene {
  std::size_t first = cluster.follower();
  std::string job = next_id();
  json body = submission({{4, 1000, ""}}, {50, 0});

  explicit late_scene(harness::platform_options options = {}) : scene(options) {
    cluster.set_store(
        {{"late_append_topic", "jobs"}, {"late_append_ms", late_ms}});
    CHECK(cluster.submit(first, job, body).status == 504);
  }

  /// Sends the next attempt. The answer must not mean that the job never runs.
  void retry(std::size_t daemon) {
    auto answer = cluster.submit(daemon, job, body);
    INFO("daemon " << daemon);
    CHECK(answer.status != 429);
    CHECK(answer.status != 503);
  }

  /// Brings the store back and lets the first attempt take effect.
  void complete() {
    cluster.set_store({{"outage", "none"}, {"rejected_appends", ""}});
    CHECK(eventually([&] { return !cluster.events("late_append").empty(); }));
    CHECK(reaches(first, job, "completed"));
    check_promises();
  }
};

}  // namespace

// Guards against a refusal, which means that the job never runs, by a daemon
// that knows nothing of the earlier attempt and can't read the store.
TEST_CASE("a retry at a daemon without the store is not refused") {
  auto outage = GENERATE("error", "close", "silent");
  INFO(outage);
  late_scene s;
  auto other = (s.first + 1) % s.cluster.daemon_count();
  s.cluster.set_store(
      {{"outage_doors", std::to_string(other)}, {"outage", outage}});
  scene::pass(notice_time);
  s.retry(other);
  s.complete();
}

// The same while no daemon reaches the store, at each of them.
TEST_CASE("a retry is not refused while the store is away") {
  late_scene s;
  s.cluster.set_store({{"outage", "error"}});
  for (std::size_t n = 0; n < s.cluster.daemon_count(); ++n) {
    s.retry(n);
  }
  s.complete();
}

// The same at the daemon of the first attempt, after it has started again.
TEST_CASE("a retry at a restarted daemon is not refused") {
  late_scene s;
  s.cluster.process(s.first).send_signal(SIGKILL);
  REQUIRE(s.cluster.process(s.first).wait_for_exit());
  s.cluster.restart(s.first);
  REQUIRE(s.cluster.wait_until_ready());
  s.cluster.set_store({{"outage", "close"}});
  scene::pass(notice_time);
  s.retry(s.first);
  s.complete();
}

// The same where the store reads, but rejects the append of the retry.
TEST_CASE("a retry whose append the store rejects is not refused") {
  late_scene s;
  s.cluster.set_store({{"rejected_appends", "jobs"}});
  for (std::size_t n = 0; n < s.cluster.daemon_count(); ++n) {
    s.retry(n);
  }
  s.complete();
}

// The same while many large requests use up the memory for them.
TEST_CASE("a retry is not refused for want of memory") {
  constexpr std::size_t attempts = 64;
  constexpr std::size_t body_bytes = 200'000;
  harness::platform_options options;
  options.extra_limits = "memory_mb = 64\n";
  late_scene s(options);
  auto other = (s.first + 1) % s.cluster.daemon_count();
  s.cluster.set_store(
      {{"outage_doors", std::to_string(other)}, {"outage", "silent"}});
  http::request message{"POST", standins::platform::queue_prefix + s.job, {}};
  message.host = standins::platform::queue_host;
  message.headers = {{"content-type", "application/json"}};
  message.body = s.body.dump();
  message.body.insert(1, body_bytes - message.body.size(), ' ');
  harness::caller crowd;
  std::vector<std::future<harness::outcome>> answers;
  answers.reserve(attempts);
  for (std::size_t n = 0; n < attempts; ++n) {
    answers.push_back(crowd.start(s.cluster.caller_port(other), message));
  }
  std::size_t refused = 0;
  for (auto& each : answers) {
    auto status = each.get().status;
    refused += status == 429 || status == 503 ? 1 : 0;
  }
  CHECK(refused == 0);
  s.complete();
}

}  // namespace vanillaladder::schedule
