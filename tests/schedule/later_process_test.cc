#include <algorithm>
#include <csignal>

#include "scene.h"

namespace vanillaladder::schedule {
namespace {

/// Longest lease that workers grant; longer than the one that leaders order and
/// the time in which another daemon takes over.
constexpr std::int64_t longest_lease_ms = 12000;
/// Shorter than a lease that a later process grants, and longer than what
/// passes until a lease that a leader ordered has ended.
constexpr task_plan long_task{10000, 0};
/// Leaves time to end the process before it executes what it has got.
constexpr std::int64_t late_order_ms = 3000;
/// Below the clocks that are drawn, so that an order by the clock of the
/// earlier process is not too late.
constexpr std::int64_t low_clock_ms = 1'000'000;

/// A job whose starts on one worker are late when its process ends.
struct returning_scene : scene {
  static constexpr const char* worker = "worker-1";
  /// Workers have room for 16 of them, so that some are on each, and there is
  /// room to start some again.
  static constexpr int tasks = 12;
  static constexpr std::size_t least_late_starts = 4;

  std::size_t leader = cluster.wait_for_leader();
  std::string job;

  returning_scene()
      : scene({.workers = 2,
               .domains = 2,
               .worker_cpu_millis = 8000,
               .longest_lease_ms = longest_lease_ms}) {
    // A leader counts on the longest lease of a process that was young at its
    // first report; that would hide what is checked here.
    pass(std::chrono::milliseconds(longest_lease_ms) + std::chrono::seconds(1));
    cluster.set_workers({{"late_orders", 1000},
                         {"late_order_ms", late_order_ms},
                         {"late_orders_outlast", true}},
                        worker);
    job = submit(leader, tasks, long_task);
    REQUIRE(eventually([&] { return late_starts() >= least_late_starts; }));
    cluster.set_workers({{"dead", true}, {"late_orders", 0}}, worker);
    REQUIRE(starts().empty());
    REQUIRE(eventually([&] { return held_orders() == late_orders().size(); }));
  }

  /// Starts the worker's next process, which executes the late starts.
  void come_back(bool is_silent) {
    cluster.set_workers({{"dead", false},
                         {"silent", is_silent},
                         {"next_clock_ms", low_clock_ms}},
                        worker);
    REQUIRE(starts().size() >= least_late_starts);
  }
  void kill_leader() {
    cluster.process(leader).send_signal(SIGKILL);
    REQUIRE(cluster.process(leader).wait_for_exit());
  }
  /// Lets the worker be heard again once its runs have ended.
  void check_work() {
    auto started = starts().size();
    REQUIRE(eventually([&] { return on_worker("end").size() >= started; }));
    cluster.set_workers({{"silent", false}}, worker);
    CHECK(reaches(cluster.wait_for_leader(), job, "completed"));
    complete_one();
  }

 private:
  std::vector<json> on_worker(const std::string& event) {
    auto found = cluster.events(event);
    std::erase_if(found, [&](const json& each) {
      return each.at("worker") != worker ||
             !each.at("task").get<std::string>().starts_with(job + ".");
    });
    return found;
  }
  std::vector<json> late_orders() { return on_worker("late_order"); }
  std::vector<json> starts() { return on_worker("start"); }
  std::size_t late_starts() {
    std::set<std::string> found;
    for (const auto& each : late_orders()) {
      found.insert(each.at("task").get<std::string>());
    }
    return found.size();
  }
  std::size_t held_orders() {
    auto state = cluster.workers();
    for (const auto& each : state.at("workers")) {
      if (each.at("id") == worker) {
        return each.at("held_orders");
      }
    }
    return 0;
  }
};

}  // namespace

// Guards against runs that are given up when the lease of the process that
// their starts were meant for has ended.
TEST_CASE("late starts run once on a later process that is silent") {
  returning_scene s;
  s.come_back(true);
  s.check_work();
  s.check_promises();
}

// The same in a leader that has taken over meanwhile.
TEST_CASE(
    "late starts run once on a silent later process after a leader is killed") {
  returning_scene s;
  // The leader has no contact with the later process.
  s.cluster.process(s.leader).send_signal(SIGSTOP);
  s.come_back(false);
  s.kill_leader();
  s.cluster.set_workers({{"silent", true}}, returning_scene::worker);
  s.check_work();
  s.cluster.restart(s.leader);
  s.check_promises();
}

// The same for a process that starts after the takeover.
TEST_CASE("late starts run once on a process that is silent to a new leader") {
  returning_scene s;
  s.kill_leader();
  s.cluster.wait_for_leader();
  s.come_back(true);
  s.check_work();
  s.cluster.restart(s.leader);
  s.check_promises();
}

}  // namespace vanillaladder::schedule
