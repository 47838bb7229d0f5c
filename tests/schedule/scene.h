#pragma once

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "harness/eventually.h"
#include "harness/platform_cluster.h"

namespace vanillaladder::schedule {

using harness::eventually;
using harness::json;
using standins::platform::step;
using standins::platform::submission;
using standins::platform::task_plan;

/// Tasks that run until they are stopped.
inline constexpr task_plan lasting{-1, 0};

/// A cluster on the platform's stand-in, and what the tests ask of it.
struct scene {
  harness::platform_cluster cluster;

  explicit scene(harness::platform_options options = {});

  /// @return the next id of a job; ids rise.
  std::string next_id();
  /// Submits a job until it is accepted; an attempt may be refused while there
  /// is no leader or no store.
  /// @return its id.
  std::string submit(std::size_t daemon, const std::vector<step>& steps,
                     const task_plan& plan);
  std::string submit(std::size_t daemon, int tasks, const task_plan& plan) {
    return submit(daemon, {{tasks, 1000, ""}}, plan);
  }
  /// Cancels a job until this is confirmed.
  void cancel(std::size_t daemon, const std::string& job);
  /// @return whether a daemon shows the job in this state in time.
  bool reaches(std::size_t daemon, const std::string& job,
               const std::string& state);
  /// @return whether so many tasks of the job run in time.
  bool runs(const std::string& job, std::size_t tasks);
  /// Lets time pass that a promise grants.
  static void pass(std::chrono::milliseconds time);
  /// Takes all room with tasks that last.
  /// @return the id of their job.
  std::string fill_all_room(std::size_t daemon);
  /// @return failure domains or workers of the starts of a job.
  std::set<std::string> places(const std::string& job, const char* field);
  /// Completes one more job, which shows that starts go on.
  void complete_one();
  /// Checks what must hold in every test: no task ran twice at once, no done
  /// task was started again, no process ended by itself or reported a fault.
  void check_promises();

  /// Tasks of 1000 thousandths of a core that all workers hold.
  int all_tasks = 0;

 private:
  int last_id_ = 0;
};

}  // namespace vanillaladder::schedule
