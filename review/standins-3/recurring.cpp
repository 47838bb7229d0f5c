// Fault: one small submission that recurs takes each leader over the memory of its
// machine; the platform kills it, and the next one follows.
#include <atomic>
#include <mutex>

#include "trial.hpp"

namespace {

using trial::json;

constexpr int daemons = 3;
constexpr long memory_mb = 260;
constexpr int tasks = 25000;

/// @return the resident memory of a process in MB.
long resident_mb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::atol(line.c_str() + 6) / 1024;
    }
  }
  return 0;
}

std::string check(const std::string& record) {
  trial::world_options options;
  options.daemons = daemons;
  options.workers = 8;
  options.worker_cpu = 32000;
  trial::world world(options, record);
  auto wall = std::chrono::duration_cast<trial::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
  auto step = [](int count, int run_ms) {
    return json::array({{{"count", count},
                         {"cpu", 100},
                         {"memMb", 16},
                         {"estRuntimeMs", run_ms}}});
  };
  auto spec = [](int run_ms) {
    return json{{"run_ms", run_ms}, {"gang", 0}}.dump();
  };
  json recurring = {{"taskSpec", spec(2000)}, {"steps", step(tasks, 2000)}};
  if (trial::has_trouble()) {
    recurring["repeatCount"] = 1000;
    recurring["firstRunMs"] = wall;
    recurring["intervalMs"] = 200;
  }
  world.request(0, "POST", "00000000000000c1", recurring.dump());
  // The platform kills a process that exceeds its memory, and starts it again
  // after a short delay.
  int kills[daemons] = {};
  long most = 0;
  std::int64_t restart_at[daemons] = {};
  auto watch = [&](int limit_ms) {
    auto until = trial::now_us() + limit_ms * 1000LL;
    while (trial::now_us() < until) {
      for (int n = 0; n < daemons; ++n) {
        if (restart_at[n] != 0) {
          if (trial::now_us() >= restart_at[n]) {
            restart_at[n] = 0;
            world.start_daemon(n);
          }
          continue;
        }
        auto mb = resident_mb(world.daemon(n).pid());
        most = std::max(most, mb);
        if (mb > memory_mb) {
          ++kills[n];
          world.note("platform: front-" + std::to_string(n + 1) + " has " +
                     std::to_string(mb) + " MB and is killed");
          world.daemon(n).send_signal(SIGKILL);
          restart_at[n] = trial::now_us() + 500000;
        }
      }
      trial::pass(20);
    }
  };
  watch(35000);
  // An ordinary submission, at any daemon that accepts it.
  json ordinary = {{"taskSpec", spec(100)}, {"steps", step(2, 100)}};
  bool accepted = false;
  for (int attempt = 0; attempt < 20 && !accepted; ++attempt) {
    int n = attempt % daemons;
    if (restart_at[n] == 0) {
      accepted = world.request(n, "POST", "00000000000000c2", ordinary.dump(),
                               2000)
                     .status == 200;
    }
    watch(300);
  }
  watch(20000);
  auto starts = world.events_of("start", "00000000000000c2").size();
  world.note("most memory of a daemon: " + std::to_string(most) +
             " MB; the ordinary submission was " +
             (accepted ? "accepted" : "not accepted") + " and has " +
             std::to_string(starts) + " starts of 2 after 20 s");
  int machines = 0;
  for (int n = 0; n < daemons; ++n) {
    world.note("front-" + std::to_string(n + 1) + " ended " +
               std::to_string(kills[n]) + " times");
    machines += kills[n] >= 3 ? 1 : 0;
  }
  if (machines < 2) {
    return "";
  }
  return "Fault: processes ended three times or more on " +
         std::to_string(machines) +
         " machines for their memory; an ordinary submission " +
         (accepted ? "that was accepted" : "that nobody accepted") + " had " +
         std::to_string(starts) + " of 2 tasks started after 20 s";
}

}  // namespace

int main(int argc, char** argv) { return trial::run(argc, argv, check); }
