#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "harness/caller.h"
#include "harness/child.h"
#include "harness/cluster.h"
#include "standins/platform_messages.h"

namespace vanillaladder::harness {

struct platform_options {
  std::size_t daemons = 3;
  std::size_t workers = 6;
  std::size_t domains = 3;
  std::size_t labels = 1;
  std::int64_t worker_cpu_millis = 4000;
  /// Longest lease that workers grant, as the daemons' settings name it.
  std::int64_t longest_lease_ms = 6000;
  /// Processor shares of the first daemons; the others have half a core.
  std::vector<double> processor_shares = {};
  /// Further lines of the section `[limits]` of the daemons' settings.
  std::string extra_limits = {};
};

/// Daemons that run `vanillaladderd schedule` on a stand-in of the platform.
class platform_cluster {
 public:
  explicit platform_cluster(platform_options options = {});
  ~platform_cluster();
  platform_cluster(const platform_cluster&) = delete;
  platform_cluster& operator=(const platform_cluster&) = delete;

  std::size_t daemon_count() const { return daemons_.size(); }
  child& process(std::size_t daemon) { return *daemons_.at(daemon)->process; }
  std::uint16_t caller_port(std::size_t daemon) const {
    return daemons_.at(daemon)->caller_port;
  }
  /// Starts a daemon again after its process has ended.
  void restart(std::size_t daemon);
  bool ready(std::size_t daemon);
  bool wait_until_ready();
  /// @return the daemon that holds the leader's lease, if one of these does.
  std::optional<std::size_t> leader();
  /// Waits for a leader.
  std::size_t wait_for_leader();
  /// @return a daemon that does not lead.
  std::size_t follower();
  /// @return the text that a daemon has logged.
  std::string log_of(std::size_t daemon) const;

  outcome submit(std::size_t daemon, const std::string& id,
                 const json& submission);
  outcome cancel(std::size_t daemon, const std::string& id);
  /// @return the state that a daemon shows; the status if it is not 200.
  std::string state(std::size_t daemon, const std::string& id);

  /// Changes settings of the store.
  void set_store(const json& values);
  /// Changes settings of the workers with these ids, separated by commas.
  void set_workers(const json& values, const std::string& ids);
  /// Writes a record to a topic, as operators and other writers do.
  void put(const std::string& topic, const std::string& key,
           const std::string& value);
  /// Deletes the history of a topic.
  void forget(const std::string& topic);
  /// @return the newest value of each key of a topic.
  json newest(const std::string& topic);
  /// @return what the workers saw; see `standin::events`.
  std::vector<json> events(const std::string& name = "");
  /// @return starts of the tasks of a job.
  std::vector<json> starts_of(const std::string& job);
  /// @return runs of a job's tasks that are in progress.
  std::size_t running(const std::string& job);
  json workers() { return platform_->state(); }
  /// @return sanitizer reports and failed assertions of all processes.
  std::string faults() const { return find_faults(folder_); }

 private:
  struct running_daemon {
    std::string id;
    /// The store's door of this daemon.
    std::uint16_t store_port = 0;
    std::uint16_t caller_port = 0;
    std::uint16_t ready_port = 0;
    double processor_share = 0.5;
    std::unique_ptr<child> process;
  };

  void launch(running_daemon& target);
  void control(const std::string& path, const json& body);

  platform_options options_;
  std::filesystem::path folder_;
  caller http_;
  std::unique_ptr<standin> platform_;
  std::vector<std::unique_ptr<running_daemon>> daemons_;
};

}  // namespace vanillaladder::harness
