#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>

#include "http/event_loop.h"
#include "model/types.h"
#include "standins/event_record.h"
#include "standins/exchange.h"
#include "standins/knobs.h"
#include "standins/run_counter.h"
#include "standins/task_run.h"

namespace vanillaladder::standins {

/// A worker whose tasks are timers.
///
/// It starts every task under a valid lease, whether or not it fits or is
/// already running. Settings: `silent` (requests have no effect and no
/// answer), `dead` (its tasks end without a report, its leases are forgotten,
/// connections are closed), `fail_starts` (what it starts fails at once),
/// `run_factor_percent` (run time of the tasks started from now on),
/// `ignore_renewals` (no effect, no answer), `lose_renewal_answers` (effect,
/// no answer), `lose_answers` (the next n requests take effect without an
/// answer), `refuse_lease_deletion` (501), `delay_ms` (before a request takes
/// effect), `stop_ms` (from a stop request to the end of the task),
/// `usage_lag_ms`.
class worker_standin {
 public:
  struct options {
    std::string id;
    model::resources capacity;
  };
  /// What the workers of one process share.
  struct shared {
    event_record events;
    run_counter runs;
  };

  /// @param loop, common must outlive the stand-in.
  worker_standin(http::event_loop& loop, options settings, shared& common);

  /// Answers a request to the worker.
  void handle(const http::request& message, const responder_ptr& answer);
  /// Applies the settings in the body of a control request.
  void set(const http::request& message, const responder_ptr& answer);
  /// @return settings, capacity, use and the highest use so far.
  json state() const;
  /// @return the worker's id.
  const std::string& id() const;

 private:
  struct granted_lease {
    std::string holder;
    std::chrono::milliseconds duration{0};
    clock::time_point expires_at;
    http::event_loop::timer_id timer = 0;
  };

  void dispatch(const http::request& message, const responder_ptr& answer);
  void route(const http::request& message, const responder_ptr& answer);
  void route_task(const http::request& message, const responder_ptr& answer);
  void grant_lease(const json& body, const responder_ptr& answer);
  void renew_lease(const std::string& name, const responder_ptr& answer);
  void delete_lease(const std::string& name, const responder_ptr& answer);
  void set_expiry(const std::string& name, granted_lease& granted);
  void end_lease(const std::string& name, std::string_view reason);
  void start(const json& body, const responder_ptr& answer);
  void adopt(task_run& run, const json& body, const responder_ptr& answer);
  void throttle(task_run& run, const json& body, const responder_ptr& answer);
  void stop(task_run& run, const responder_ptr& answer);
  void acknowledge(const std::string& task, std::int64_t attempt,
                   const responder_ptr& answer);
  void schedule_end(task_run& run);
  void end_run(task_run& run, const std::string& state,
               std::string_view reason);
  void die();
  void record(std::string_view event, const task_run& run, int runs,
              json more = json::object());
  task_run* find_run(const std::string& task, std::int64_t attempt);
  model::resources used() const;
  json report() const;
  void forget_old_runs();

  http::event_loop* loop_;
  options options_;
  shared* shared_;
  knobs knobs_;
  std::map<std::string, granted_lease> leases_;
  std::list<task_run> runs_;
  std::int64_t last_lease_ = 0;
  std::int64_t starts_ = 0;
  std::int64_t over_capacity_ = 0;
  model::resources most_;
  bool silent_ = false;
  bool dead_ = false;
  bool fail_starts_ = false;
  bool ignore_renewals_ = false;
  bool lose_renewal_answers_ = false;
  bool refuse_lease_deletion_ = false;
  std::int64_t run_factor_percent_ = 100;
  std::int64_t lose_answers_ = 0;
  std::int64_t delay_ms_ = 0;
  std::int64_t stop_ms_ = 0;
  std::int64_t usage_lag_ms_ = 0;
};

}  // namespace vanillaladder::standins
