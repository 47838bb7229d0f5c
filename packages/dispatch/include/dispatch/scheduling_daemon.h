#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "batch/job_directory.h"
#include "dispatch/fleet_config.h"
#include "dispatch/job_service.h"
#include "dispatch/leader.h"
#include "dispatch/leadership.h"
#include "dispatch/reporter.h"
#include "dispatch/settings.h"
#include "dispatch/start_gate.h"
#include "dispatch/topic_follower.h"
#include "external/keyed_store.h"
#include "external/worker_gateway.h"
#include "http/event_loop.h"

namespace vanillaladder::dispatch {

/// One daemon: copies of the topics, its part in the leader election, and the
/// leader while this daemon holds the leadership.
class scheduling_daemon {
 public:
  using gateway_factory =
      std::function<std::unique_ptr<external::worker_gateway>()>;

  scheduling_daemon(http::event_loop& loop, const daemon_settings& settings,
                    external::keyed_store& store, const record_decoder& decoder,
                    gateway_factory make_gateway, reporter report);
  ~scheduling_daemon();
  scheduling_daemon(const scheduling_daemon&) = delete;
  scheduling_daemon& operator=(const scheduling_daemon&) = delete;

  void start();
  /// Releases the leadership; requests are still served.
  /// @param done called once it is released, or after a short time.
  void leave(std::function<void()> done);
  job_service& service() { return service_; }
  /// @return whether the load balancer should send new connections.
  bool ready() const { return !leaving_ && service_.ready(); }

 private:
  void apply_job(std::string_view key, std::string_view value);
  void apply_operator(std::string_view key, std::string_view value);
  void apply_worker(std::string_view key, std::string_view value);
  void remove_worker(const model::worker_id& id);
  void note_unlisted(const batch::worker_entry& entry);
  void retain_jobs(const std::set<std::string>& keys);
  void retain_closed_domains(const std::set<std::string>& keys);
  void retain_workers(const std::set<std::string>& keys);
  bool can_lead() const;
  bool reads_fail() const;
  void start_leader(model::epoch epoch);
  void stop_leader();
  void set_read_wait(std::chrono::milliseconds wait);

  http::event_loop& loop_;
  daemon_settings settings_;
  external::keyed_store& store_;
  const record_decoder& decoder_;
  gateway_factory make_gateway_;
  reporter report_;
  batch::job_directory jobs_;
  config_view config_;
  std::map<model::worker_id, batch::worker_entry> workers_;
  struct unlisted_worker {
    batch::worker_entry last_entry;
    model::time_point at;
  };
  /// Workers that have left the list lately. A leader that takes over has to
  /// know which processes they had.
  std::map<model::worker_id, unlisted_worker> unlisted_workers_;
  /// How often the newest entries of an id were refused in a row.
  std::map<model::worker_id, std::uint64_t> refused_workers_;
  topic_follower jobs_follower_;
  topic_follower operator_follower_;
  topic_follower worker_follower_;
  start_gate starts_;
  job_service service_;
  leadership leadership_;
  std::unique_ptr<leader> leader_;
  bool leaving_ = false;
};

}  // namespace vanillaladder::dispatch
