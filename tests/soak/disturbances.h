#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "harness/platform_cluster.h"
#include "soak_callers.h"

namespace vanillaladder::soak {

/// Disturbs daemons, store and workers in random series that overlap.
class disturbances {
 public:
  /// @param daemons gets the daemons that are in rotation.
  disturbances(harness::platform_cluster& cluster, rotation& daemons,
               std::uint64_t seed);

  /// Begins disturbances for this time; some still hold afterwards.
  void run(std::chrono::milliseconds time);
  /// Ends all of them and waits until all daemons are ready.
  /// @return whether they became ready.
  bool end_all();
  /// @return what was done, for the report of a failure.
  const std::string& log() const { return log_; }
  /// @return faults seen meanwhile, such as processes that ended by themselves.
  const std::vector<std::string>& faults() const { return faults_; }

  /// A failure domain that operators took out for a while.
  struct closure {
    std::string domain;
    std::int64_t closed_us = 0;
    std::int64_t opened_us = 0;
  };
  const std::vector<closure>& closures() const { return closures_; }

 private:
  using clock = std::chrono::steady_clock;
  using action = std::function<void()>;

  /// What a daemon is subject to; at most one disturbance at a time.
  enum class daemon_state { ready, starting, stopping, paused };

  void begin_one();
  void disturb_daemon();
  void disturb_store();
  void disturb_worker();
  void close_domain();
  void at(clock::time_point when, action step) {
    pending_.emplace(when, std::move(step));
  }
  clock::time_point after(std::int64_t low_ms, std::int64_t high_ms);
  void run_due();
  void watch_daemons();
  void restart(std::size_t daemon);
  std::string some_doors();
  std::string one_of(const std::vector<std::string>& values);
  void note(const std::string& line);

  harness::platform_cluster* cluster_;
  rotation* daemons_;
  random_engine random_;
  clock::time_point began_ = clock::now();
  std::multimap<clock::time_point, action> pending_;
  std::vector<daemon_state> states_;
  std::string log_;
  std::vector<std::string> faults_;
  std::vector<closure> closures_;
  bool is_domain_closed_ = false;
};

}  // namespace vanillaladder::soak
