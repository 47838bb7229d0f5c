#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "harness/caller.h"
#include "harness/child.h"
#include "harness/fault_proxy.h"

namespace vanillaladder::harness {

struct cluster_options {
  std::size_t daemons = 3;
  std::size_t backends = 3;
  std::size_t workers = 6;
  std::size_t domains = 3;
  std::size_t racks_per_domain = 1;
  /// Service of every backend server.
  std::string service = "quote";
  std::int64_t worker_cpu_millis = 32000;
  std::int64_t worker_memory_mib = 128000;
  std::int64_t worker_accelerators = 0;
  /// Section `[limits]` of every daemon.
  std::map<std::string, std::int64_t> limits = {{"drain_delay_ms", 200}};
};

/// @return a new temporary folder.
std::filesystem::path make_folder();
/// @return sanitizer reports and failed assertions in the files of a folder.
std::string find_faults(const std::filesystem::path& folder);

/// A running stand-in program.
class standin {
 public:
  /// @param listeners number of `listening` lines it prints.
  standin(caller& http, const std::string& program,
          const std::vector<std::string>& arguments,
          const std::filesystem::path& folder, std::size_t listeners);

  /// Ports of the stand-in's services.
  const std::vector<std::uint16_t>& ports() const { return ports_; }
  /// Changes settings of the members with these ids, separated by commas and
  /// all in one instant; of all members if it is empty.
  void set(const json& values, const std::string& id = "");
  /// Sends another request to the control port.
  outcome control(http::request message);
  /// @return the state on the control port.
  json state();
  /// @return all events of this name so far; of all names if it is empty.
  std::vector<json> events(const std::string& name = "");
  child& process() { return process_; }

 private:
  caller& http_;
  child process_;
  std::vector<std::uint16_t> ports_;
  std::uint16_t control_port_ = 0;
};

/// A daemon and its own settings file.
struct daemon {
  std::string id;
  std::string domain;
  std::uint16_t caller_port = 0;
  std::uint16_t operator_port = 0;
  std::uint16_t peer_port = 0;
  /// Between this daemon and the log.
  std::unique_ptr<fault_proxy> log_proxy;
  std::unique_ptr<child> process;
};

/// Stand-ins and daemons of one test, in a temporary folder. Domains are
/// called `domain-1` and so on; workers, backend servers and daemons are spread
/// over them in turn.
class cluster {
 public:
  explicit cluster(cluster_options options = {});
  ~cluster();
  cluster(const cluster&) = delete;
  cluster& operator=(const cluster&) = delete;

  caller& http() { return http_; }
  standin& log() { return *log_; }
  standin& instances() { return *instances_; }
  standin& workers() { return *workers_; }
  standin& backends() { return *backends_; }
  daemon& at(std::size_t index) { return *daemons_.at(index); }
  std::size_t daemon_count() const { return daemons_.size(); }

  /// Starts a daemon again after its process has ended.
  void restart(std::size_t index);
  /// Starts a daemon again that its peers find at the port they know.
  void restart_at_same_peer_port(std::size_t index);
  /// Starts one more daemon, with an id that no daemon has had.
  /// @return its index.
  std::size_t add_daemon();
  /// Lets all workers of a rack die in one instant.
  /// @return their ids.
  std::set<std::string> kill_rack(const std::string& rack);
  /// @return whether `GET /readyz` answers 200.
  bool ready(std::size_t index);
  /// Waits until these daemons are ready; all if empty.
  bool wait_until_ready(std::vector<std::size_t> indices = {});
  /// @return the domain of the n-th instance, counted from 0.
  std::string domain_of(std::size_t index) const;
  /// @return the rack of the n-th instance, counted from 0.
  std::string rack_of(std::size_t index) const;
  /// @return the id of the n-th worker or backend server, counted from 0.
  static std::string worker_id(std::size_t index);
  static std::string backend_id(std::size_t index);

  /// Submits a job whose tasks take `run_ms`, through one daemon.
  outcome submit(std::size_t index, const std::string& key, int tasks,
                 std::int64_t run_ms, const json& more = json::object());
  /// @return the job's state as a daemon tells it; null if it cannot.
  json job(std::size_t index, const std::string& id);
  /// Publishes a patch through one daemon on the version and revision that it
  /// shows.
  outcome patch(std::size_t index, const std::string& id, const json& set);
  /// Sends a request of the service through one daemon, with a generous
  /// deadline unless the headers name one.
  std::future<outcome> request(std::size_t index, const std::string& body,
                               std::int64_t ms,
                               std::vector<http::header> headers = {});
  /// @return sanitizer reports and failed assertions of all processes.
  std::string faults() const { return find_faults(folder_); }

 private:
  void publish_instances();
  std::filesystem::path write_settings(const daemon& target,
                                       std::uint16_t peer_port);
  /// @param peer_port 0 picks a free one.
  void launch(daemon& target, std::uint16_t peer_port = 0);

  cluster_options options_;
  std::filesystem::path folder_;
  caller http_;
  std::unique_ptr<standin> log_;
  std::unique_ptr<standin> instances_;
  std::unique_ptr<standin> workers_;
  std::unique_ptr<standin> backends_;
  std::vector<std::unique_ptr<daemon>> daemons_;
};

}  // namespace vanillaladder::harness
