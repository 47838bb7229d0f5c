#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/event_loop.h"
#include "standins/event_record.h"
#include "standins/exchange.h"
#include "standins/knobs.h"
#include "standins/platform_messages.h"
#include "standins/platform_store.h"
#include "standins/run_counter.h"

namespace vanillaladder::standins {

class platform_workers;

/// A worker of the platform whose tasks are timers.
///
/// It starts whatever it is told to, under a lease on its own clock. Settings:
/// `silent` (calls have no effect and no answer, its entry lapses, its tasks go
/// on), `dead` (it runs nothing; once set back, it starts again under its id,
/// with a new clock; set back together with `silent`, its entry is written
/// before it is cut off), `next_clock_ms` (where the clock of the next process
/// begins; drawn if negative), `draining`, `failing` (what it starts fails at
/// once), `late_orders` and `late_order_ms` (the next n starts, stops and paces
/// get no answer and are executed after this time, unless the process has
/// ended), `late_orders_outlast` (these are executed by the worker's process of
/// that time, or by the next one as soon as it starts).
class platform_worker {
 public:
  struct options {
    std::string id;
    std::string domain;
    std::string label;
    std::int64_t cpu_millis = 0;
    /// Longest lease that it grants.
    std::int64_t longest_lease_ms = 0;
  };

  platform_worker(platform_workers& fleet, options settings);

  /// Answers a call of the system.
  void handle(const http::request& message, const responder_ptr& answer);
  /// Applies the settings in the body of a control request.
  void set(const http::request& message, const responder_ptr& answer);
  void tick();
  json state() const;
  const std::string& id() const { return options_.id; }
  void set_port(std::uint16_t port) { port_ = port; }

 private:
  friend class platform_workers;

  struct run {
    std::string task;
    std::int64_t number = 0;
    platform::task_plan plan;
    clock::time_point started_at;
    /// When it began to work; a member of a gang waits for the others.
    std::optional<clock::time_point> works_since;
    std::optional<clock::time_point> stops_at;
  };
  struct end {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };
  struct waiting_report {
    responder_ptr answer;
    clock::time_point until;
  };

  bool defer_order(const http::request& message);
  void execute(const http::request& message, const responder_ptr& answer);
  void execute_late(const http::request& message);
  void begin_life();
  void execute_held_orders();
  std::int64_t draw_clock_start() const;
  void lose_all(std::string_view why);
  std::int64_t clock_ms() const;
  json clock_fields() const;
  void reject(const responder_ptr& answer, const char* reason) const;
  void extend_lease(const json& body);
  void start(const json& body, const responder_ptr& answer);
  void stop(const json& body, const responder_ptr& answer);
  void report(const json& body, const responder_ptr& answer);
  void answer_reports(bool all);
  json lists() const;
  void note_ends(std::int64_t last);
  void finish(std::list<run>::iterator ended, const std::string& how);
  void end_due_runs(clock::time_point now);
  void announce(clock::time_point now);
  void write_entry(clock::time_point now);

  platform_workers* fleet_;
  options options_;
  knobs knobs_;
  std::uint16_t port_ = 0;
  bool silent_ = false;
  bool dead_ = false;
  bool draining_ = false;
  bool failing_ = false;
  std::int64_t late_orders_ = 0;
  std::int64_t late_order_ms_ = 0;
  bool late_orders_outlast_ = false;
  std::int64_t next_clock_ms_ = -1;
  bool was_dead_ = false;
  clock::time_point born_;
  std::int64_t born_unix_ms_ = 0;
  /// Where the clock of the process began.
  std::int64_t clock_start_ms_ = 0;
  std::int64_t token_ = 0;
  std::int64_t deadline_ = 0;
  std::int64_t last_end_ = 0;
  std::int64_t beats_ = 0;
  clock::time_point announced_at_;
  bool listed_ = false;
  std::list<run> running_;
  std::list<end> ended_;
  /// Highest number of a run of each task that was stopped or ended here.
  std::map<std::string, std::int64_t> passed_;
  std::vector<waiting_report> waiting_;
  /// Late orders that were due while there was no process.
  std::vector<http::request> held_orders_;
};

/// All workers of the platform's stand-in.
class platform_workers {
 public:
  /// @param loop, store, events must outlive the stand-in.
  platform_workers(http::event_loop& loop, platform_store& store,
                   event_record& events);

  platform_worker& add(platform_worker::options settings);
  const std::vector<std::unique_ptr<platform_worker>>& all() const {
    return workers_;
  }
  const run_counter& runs() const { return runs_; }
  /// @return tasks that were started again after an end `done` of which the
  ///   system had taken note, or took note later.
  json tasks_run_again() const;

 private:
  friend class platform_worker;

  /// An end `done` of a task.
  struct done_end {
    std::string worker;
    std::int64_t run = 0;
    /// The system has taken note of it.
    bool is_noted = false;
    /// The worker's lease lapsed before; the end may be taken for lost.
    bool is_lapsed = false;
    bool is_started_after = false;
  };

  void tick();
  void start_gangs();
  void break_gang(const platform_worker::run& lost);
  void on_start(const std::string& task);
  void on_noted(const std::string& worker, const platform_worker::end& noted);
  void on_lapsed(const std::string& worker);

  http::event_loop* loop_;
  platform_store* store_;
  event_record* events_;
  run_counter runs_;
  std::map<std::string, std::vector<done_end>> done_ends_;
  std::vector<std::unique_ptr<platform_worker>> workers_;
};

}  // namespace vanillaladder::standins
