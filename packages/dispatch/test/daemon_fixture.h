#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <functional>
#include <optional>

#include "batch/job_directory.h"
#include "dispatch/fleet_config.h"
#include "dispatch/reporter.h"
#include "dispatch/topic_follower.h"
#include "fake_store.h"

namespace vanillaladder::dispatch {

/// Environment of a daemon component, with a store in memory.
struct daemon_fixture {
  http::event_loop loop;
  fake_store store{loop};
  int sink = open("/dev/null", O_WRONLY | O_CLOEXEC);
  runtime::event_log log{sink, "a"};
  runtime::metrics metrics;
  reporter report{log, metrics};
  batch::job_directory jobs;
  config_view config;
  /// Last value passed to `on_reachability`; empty before the first call.
  std::optional<bool> store_reachable;
  topic_follower follower{
      loop,
      store,
      {"jobs", std::chrono::milliseconds(1), std::chrono::milliseconds(1)},
      {[this](auto key, auto value) { jobs.apply(key, value); },
       {},
       [this](bool reachable) { store_reachable = reachable; }},
      report};

  daemon_fixture() {
    follower.start();
    run_until([this] { return follower.loaded(); });
  }
  ~daemon_fixture() { close(sink); }
  daemon_fixture(const daemon_fixture&) = delete;
  daemon_fixture& operator=(const daemon_fixture&) = delete;

  void run_until(const std::function<bool()>& reached) {
    while (!reached()) {
      loop.call_after(std::chrono::milliseconds(1), [this] { loop.stop(); });
      loop.run();
    }
  }
};

}  // namespace vanillaladder::dispatch
