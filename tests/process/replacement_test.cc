#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

#include "harness/slow_caller.h"
#include "scene.h"

namespace vanillaladder::process {
namespace {

/// @return what the backend server received, if the whole response came.
std::string echo_in(const harness::outcome& answer) {
  auto body = answer.parsed();
  return answer.status == 200 && body.is_object() ? body.value("body", "")
                                                  : std::string();
}

/// Callers who send one request after another to the daemons that a load
/// balancer would choose from.
class steady_load {
 public:
  steady_load(scene& s, std::size_t callers) : http_(s.cluster.http()) {
    for (std::size_t n = 0; n < s.cluster.daemon_count(); ++n) {
      add(s.cluster.at(n).caller_port);
    }
    for (std::size_t n = 0; n < callers; ++n) {
      threads_.emplace_back([this, n] { run(n); });
    }
  }
  ~steady_load() { stop(); }
  steady_load(const steady_load&) = delete;
  steady_load& operator=(const steady_load&) = delete;

  void add(std::uint16_t port) {
    std::lock_guard lock(mutex_);
    ports_.push_back(port);
  }
  void remove(std::uint16_t port) {
    std::lock_guard lock(mutex_);
    std::erase(ports_, port);
  }
  void stop() {
    stopped_ = true;
    threads_.clear();
  }
  /// @return keys of the requests that were answered in full.
  std::set<std::string> answered() const {
    std::lock_guard lock(mutex_);
    return answered_;
  }
  /// @return requests that neither were answered nor are known not to have
  ///   run.
  std::vector<std::string> failures() const {
    std::lock_guard lock(mutex_);
    return failures_;
  }
  /// @return requests that were refused as "not run".
  std::size_t refusals() const {
    std::lock_guard lock(mutex_);
    return refusals_;
  }

 private:
  void run(std::size_t number) {
    for (int n = 0; !stopped_; ++n) {
      auto key = "load-" + std::to_string(number) + "-" + std::to_string(n);
      auto body = json{{"key", key}}.dump();
      auto answer = http_
                        .start(next_port(), {"POST",
                                             "/quote/item?ms=200",
                                             {{"x-deadline-ms", "25000"}},
                                             body})
                        .get();
      note(key, body, answer);
    }
  }

  std::uint16_t next_port() {
    std::lock_guard lock(mutex_);
    return ports_[turn_++ % ports_.size()];
  }

  void note(const std::string& key, const std::string& body,
            const harness::outcome& answer) {
    std::lock_guard lock(mutex_);
    if (echo_in(answer) == body) {
      answered_.insert(key);
    } else if (!answer.sent || answer.header("x-outcome") == "not-run") {
      ++refusals_;
    } else {
      failures_.push_back(key + ": " + std::to_string(answer.status) + " " +
                          answer.body);
    }
  }

  harness::caller& http_;
  mutable std::mutex mutex_;
  std::vector<std::uint16_t> ports_;
  std::size_t turn_ = 0;
  std::set<std::string> answered_;
  std::vector<std::string> failures_;
  std::size_t refusals_ = 0;
  std::atomic<bool> stopped_ = false;
  std::vector<std::jthread> threads_;
};

/// @return first kept and next offset of the control stream.
std::pair<std::int64_t, std::int64_t> control_range(scene& s) {
  auto stream = s.cluster.log().state().at("streams").at("control");
  return {stream.at("first").get<std::int64_t>(),
          stream.at("next").get<std::int64_t>()};
}

/// @return keys of the requests that the backend servers ran.
std::set<std::string> keys_run(scene& s) {
  std::set<std::string> keys;
  for (const auto& event : s.cluster.backends().events("request")) {
    keys.insert(event.at("key").get<std::string>());
  }
  return keys;
}

/// Stops a daemon while it has a request in progress, and starts a new one in
/// its place.
/// @return the index of the new daemon.
std::size_t replace(scene& s, steady_load& load, std::size_t old) {
  auto key = "long-" + std::to_string(old);
  auto body = json{{"key", key}}.dump();
  auto in_progress = s.cluster.request(old, body, 6000);
  REQUIRE(eventually([&] { return keys_run(s).contains(key); }));
  s.cluster.at(old).process->send_signal(SIGTERM);
  REQUIRE(eventually([&] { return !s.cluster.ready(old); }));
  load.remove(s.cluster.at(old).caller_port);
  auto answer = in_progress.get();
  CHECK(answer.status == 200);
  CHECK(echo_in(answer) == body);
  CHECK(s.cluster.at(old).process->wait_for_exit() == 0);
  auto added = s.cluster.add_daemon();
  REQUIRE(s.cluster.wait_until_ready({added}));
  load.add(s.cluster.at(added).caller_port);
  return added;
}

}  // namespace

// Guards against requests that a planned stop cuts, jobs that are lost or run
// twice on their way from owner to owner, and a patch that is forgotten, when
// neither the log nor any daemon that saw its record is left.
TEST_CASE("all daemons are replaced one after another under load") {
  constexpr std::size_t daemons = 3;
  cluster_options options;
  options.daemons = daemons;
  // Long enough that a caller that pauses after it has chosen a daemon still
  // reaches it.
  options.limits["drain_delay_ms"] = 3000;
  scene s(options);
  s.cluster.log().set({{"retention", 40}});
  s.apply(0, "lasting", {{"team.reports.weight", "61"}});
  auto after_patch = control_range(s).second;
  auto jobs = s.submit_many("long-job-", 12, 15000);
  REQUIRE(eventually([&] { return s.running_tasks() == 12; }));
  steady_load load(s, 6);
  std::size_t newest = 0;
  for (std::size_t old = 0; old < daemons; ++old) {
    auto before = load.answered().size();
    newest = replace(s, load, old);
    CHECK(load.answered().size() > before);
    for (int n = 0; n < 4; ++n) {
      auto key = "short-job-" + std::to_string(old) + "-" + std::to_string(n);
      jobs.push_back(s.submit(newest, key, 1, 300));
    }
    for (int n = 0; n < 16; ++n) {
      auto value = std::to_string(static_cast<int>(old) * 16 + n + 1);
      s.apply(newest, "filler-" + value, {{"team.other.weight", value}});
    }
  }
  CHECK(s.all_finish(newest, jobs));
  load.stop();
  auto failures = load.failures();
  CAPTURE(failures, load.refusals());
  CHECK(failures.empty());
  CHECK(s.cluster.backends().events("disconnect").empty());
  auto expected = load.answered();
  for (std::size_t old = 0; old < daemons; ++old) {
    expected.insert("long-" + std::to_string(old));
  }
  CHECK(keys_run(s) == expected);
  s.check_finished_once(jobs.size());
  REQUIRE(s.cluster.daemon_count() == 2 * daemons);
  for (std::size_t old = 0; old < daemons; ++old) {
    CHECK_FALSE(s.cluster.at(old).process->running());
  }
  REQUIRE(control_range(s).first >= after_patch);
  CHECK(s.in_force("team.reports.weight", "61"));
  // The new daemons go on from the old revision: a patch on it is accepted.
  s.apply(newest, "next", {{"team.other.weight", "99"}});
  CHECK(s.in_force("team.reports.weight", "61"));
  s.check_promises();
}

// Guards against a planned stop that ends the process when the front has
// handed over the last response, but the caller has not got all of it.
TEST_CASE("a graceful stop waits until a slow caller has the whole response") {
  // More than the kernel keeps for a connection.
  constexpr std::size_t bytes = 12U << 20;
  scene s;
  harness::slow_caller slow(s.cluster.at(0).caller_port,
                            {"POST",
                             "/quote/item?ms=10&bytes=" + std::to_string(bytes),
                             {{"x-deadline-ms", "25000"}},
                             "slow"});
  REQUIRE(slow.read_headers());
  CHECK(slow.status() == 200);
  auto& stopping = *s.cluster.at(0).process;
  stopping.send_signal(SIGTERM);
  // A refused request shows that the front has begun to drain; it had nothing
  // else in progress.
  REQUIRE(eventually([&] {
    auto late = s.cluster.request(0, "late", 1).get();
    return late.header("x-reason") == "draining" || !stopping.running();
  }));
  // The stopping daemon applies each patch before the next one is published,
  // so that its control plane has had many turns in which it could have ended
  // the process.
  for (int n = 0; n < 30; ++n) {
    s.apply(1, "during-stop-" + std::to_string(n),
            {{"team.reports.weight", std::to_string(n + 1)}});
  }
  CHECK(stopping.running());
  CHECK(slow.read_body());
  auto body = json::parse(slow.body(), nullptr, false);
  REQUIRE(body.is_object());
  CHECK(body.value("body", "") == "slow");
  CHECK(body.value("padding", "").size() == bytes);
  CHECK(stopping.wait_for_exit() == 0);
  CHECK(s.request(1, "next", 10).status == 200);
  s.check_promises();
}

}  // namespace vanillaladder::process
