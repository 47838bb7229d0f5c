#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "batch/job_directory.h"
#include "batch/scheduler.h"
#include "dispatch/fleet_config.h"
#include "dispatch/record_writer.h"
#include "dispatch/reporter.h"
#include "dispatch/start_gate.h"
#include "dispatch/topic_follower.h"
#include "dispatch/worker_links.h"
#include "external/keyed_store.h"
#include "external/worker_gateway.h"
#include "http/event_loop.h"
#include "model/types.h"

namespace vanillaladder::dispatch {

struct leader_options {
  batch::scheduler_options scheduling;
  link_options links;
  external::store_limits store_limits;
  /// Maximum time between two plans when nothing changes.
  std::chrono::milliseconds max_plan_interval{100};
  /// Minimum time between two plans; changes that arrive in between share one
  /// append.
  std::chrono::milliseconds min_plan_interval{15};
};

/// Parts of the daemon that a leader uses.
struct leader_context {
  http::event_loop& loop;
  external::keyed_store& store;
  const batch::job_directory& jobs;
  const config_view& config;
  topic_follower& jobs_follower;
  reporter report;
  /// Returns whether orders and appends may be sent now.
  std::function<bool()> may_act;
  /// Decides whether tasks may start.
  start_gate& starts;
  /// Called when a leader with a higher epoch exists; the callee must destroy
  /// this leader.
  std::function<void(std::string_view noticed_by)> on_superseded;
  /// Returns whether a lease on the worker may be ordered; always if empty.
  std::function<bool(std::string_view worker)> may_extend_lease = {};
  /// Workers that earlier leaders had no contact with.
  std::vector<batch::lost_worker> lost_workers = {};
  /// Last entries of workers that have left the list.
  std::vector<batch::worker_entry> unlisted_workers = {};
};

/// Schedules jobs during one leadership, from the takeover to its end.
class leader {
 public:
  leader(leader_context context, const leader_options& options,
         std::unique_ptr<external::worker_gateway> gateway, model::epoch epoch);
  ~leader();
  leader(const leader&) = delete;
  leader& operator=(const leader&) = delete;

  /// Fences earlier leaders, then reads the state that they stored.
  void start();

  // Changes in the topics that the daemon follows.
  void on_job(const model::job_id& id, batch::job_directory::change change);
  void on_config();
  void on_worker(const batch::worker_entry& entry);
  void on_worker_removed(const model::worker_id& id);

  /// @return the workers without contact, or nothing before the takeover is
  ///   complete.
  std::optional<std::vector<batch::lost_worker>> lost_workers() const;
  /// @return whether the takeover is complete and orders are sent.
  bool active() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::dispatch
