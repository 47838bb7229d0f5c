#pragma once

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "harness/cluster.h"
#include "harness/eventually.h"

namespace vanillaladder::process {

using harness::cluster_options;
using harness::eventually;
using harness::json;

/// A running cluster and the questions that the tests ask of its records.
struct scene {
  harness::cluster cluster;

  explicit scene(cluster_options options = {});

  /// Sends a request, and again while it proved not to have run: a daemon that
  /// was paused by the machine refuses until its view is fresh again.
  /// @return the first other answer, or the last refusal.
  harness::outcome request(std::size_t daemon, const std::string& body,
                           std::int64_t ms,
                           const std::vector<http::header>& headers = {});
  /// Submits a job until it is accepted.
  /// @return its id.
  std::string submit(std::size_t daemon, const std::string& key, int tasks,
                     std::int64_t run_ms, const json& more = json::object());
  /// Submits jobs of one task each, which spread over shards and workers.
  std::vector<std::string> submit_many(const std::string& prefix, int jobs,
                                       std::int64_t run_ms);
  /// @return whether a daemon reports all these jobs as finished in time.
  bool all_finish(std::size_t daemon, const std::vector<std::string>& jobs);
  /// @return whether a daemon reports the job in this state in time.
  bool reaches(std::size_t daemon, const std::string& job,
               const std::string& state);
  /// @return tasks that the workers run now.
  std::int64_t running_tasks();
  /// @return the index of the daemon that holds the lease of a start event.
  std::size_t owner_of(const json& start);
  /// @return ends by state and task.
  std::map<std::string, int> ends(const std::string& state);
  /// @return whether every daemon shows this configuration key and value.
  bool in_force(const std::string& key, const std::string& value);
  /// Waits until keyed requests of many keys are answered by every daemon.
  void wait_for_key_owners();
  /// Publishes a patch until it is accepted and in force everywhere.
  void apply(std::size_t daemon, const std::string& id, const json& set);

  /// Checks what must hold in every test: no task ran twice at once, nothing
  /// was over-committed, no slot or connection limit was exceeded, no key ran
  /// twice, and no process reported a fault.
  void check_promises();
  /// Checks that each of the tasks has finished exactly once.
  void check_finished_once(std::size_t tasks);
};

}  // namespace vanillaladder::process
