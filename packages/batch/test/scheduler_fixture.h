#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "batch/lease_bound.h"
#include "batch/scheduler.h"

namespace vanillaladder::batch {

using namespace std::chrono_literals;

/// Drives a scheduler with fake workers in memory.
///
/// A worker carries out all orders. A test can end runs, drop responses or make
/// a worker unresponsive.
class scheduler_fixture {
 public:
  struct active_run {
    task_key task;
    int number = 0;
    std::string checkpoint;
    int progress = 0;
    std::int64_t measurement = 0;
  };

  struct fake_worker {
    worker_entry entry;
    std::vector<active_run> running;
    std::vector<reported_end> ended;
    std::int64_t ends = 0;
    /// When its clock was 0.
    time_point started_at;
    /// Its reports do not list all ends.
    bool omits_ends = false;
    bool unresponsive = false;
    bool drops_responses = false;
    /// Refuses each start as an unhealthy worker does.
    bool refuses_starts = false;
  };

  explicit scheduler_fixture(scheduler_options options = {})
      : options_(options) {
    options_.given_lease = 5000ms;
    options_.longest_lease = std::max(options_.longest_lease, 5000ms);
    options_.previous_leader_lease = 7000ms;
    take_over();
  }

  /// Replaces the scheduler with a new one, as after a change of leader, and
  /// restores the stored records of jobs that have not ended.
  /// @param lost what earlier leaders knew of workers without contact.
  void take_over(const std::vector<lost_worker>& lost) {
    scheduler_ = std::make_unique<scheduler>(
        options_, now_, [this](std::string line) { log.push_back(line); });
    scheduler_->inherit_lost_workers(lost);
    for (const auto& [id, spec] : jobs) {
      scheduler_->add_job(spec, now_, wall());
    }
    for (const auto& [key, value] : records) {
      if (auto parsed = parse_progress_key(key)) {
        auto progress = *decode_progress(value);
        scheduler_->restore_progress(parsed->step, progress.tasks, now_,
                                     parsed->part,
                                     milliseconds(wall() - progress.stored_at));
      } else if (auto completed = parse_completed_key(key)) {
        scheduler_->restore_completed(completed->job,
                                      *parse_occurrence_set(value));
      }
    }
    for (auto& [id, worker] : workers) {
      scheduler_->update_worker(worker.entry, now_);
    }
  }

  /// Replaces the scheduler with a new one that knows the workers only.
  void take_over() {
    scheduler_ = std::make_unique<scheduler>(
        options_, now_, [this](std::string line) { log.push_back(line); });
    for (auto& [id, worker] : workers) {
      scheduler_->update_worker(worker.entry, now_);
    }
  }

  void add_worker(const std::string& id, model::resources capacity,
                  const std::string& domain = "d1",
                  const std::string& rack = "r1") {
    auto& worker = workers[id];
    worker.entry.info.id = id;
    worker.entry.info.address = "10.0.0." + std::to_string(workers.size());
    worker.entry.info.port = 8000;
    worker.entry.info.domain = domain;
    worker.entry.info.rack = rack;
    worker.entry.info.capacity = capacity;
    worker.entry.service = "svc";
    worker.entry.incarnation = 1000;
    scheduler_->update_worker(worker.entry, now_);
    report(id);
  }

  static step_spec step(int count, std::int64_t cpu) {
    step_spec spec;
    spec.count = count;
    spec.required_resources = {cpu, 100, 0};
    spec.estimated_run_time = 1000ms;
    return spec;
  }

  static std::shared_ptr<const job_spec> make_job(const std::string& id,
                                                  std::vector<step_spec> steps,
                                                  int attempts = 2) {
    auto spec = std::make_shared<job_spec>();
    spec->id = id;
    spec->queue = "queue";
    spec->payload = "payload";
    spec->steps = std::move(steps);
    spec->accepted_at = wall_start;
    spec->policy = {"svc", 0, attempts, 2, 1000ms};
    return spec;
  }

  void add_job(const std::string& id, std::vector<step_spec> steps,
               int attempts = 2) {
    auto spec =
        std::make_shared<job_spec>(*make_job(id, std::move(steps), attempts));
    spec->accepted_at = wall();
    jobs[id] = spec;
    scheduler_->add_job(spec, now_, wall());
  }

  /// Makes a plan, stores its records and executes its orders.
  commit plan(int units = scheduler::default_plan_units) {
    auto result = scheduler_->plan(now_, wall(), units);
    store(result);
    scheduler_->on_progress_committed();
    scheduler_->on_jobs_committed(result.plan);
    execute(result.orders);
    execute(scheduler_->take_orders());
    return result;
  }

  void execute(const std::vector<order>& orders) {
    for (const auto& each : orders) {
      if (const auto* start = std::get_if<start_order>(&each)) {
        execute(*start);
      } else if (const auto* stop = std::get_if<stop_order>(&each)) {
        execute(*stop);
      } else {
        const auto& pace = std::get<pace_order>(each);
        pace_orders.push_back(pace);
        if (!drops_pace_orders) {
          scheduler_->on_pace_delivered(pace.task, pace.run, pace.percent);
        }
      }
    }
  }

  void report(const std::string& id) {
    auto& worker = workers.at(id);
    if (worker.unresponsive) {
      return;
    }
    worker_report message;
    message.incarnation = worker.entry.incarnation;
    message.clock = clock_of(worker);
    message.requested_at = now_;
    message.received_at = now_;
    message.received_wall = wall();
    for (const auto& run : worker.running) {
      message.running.push_back({run.task, run.number, run.checkpoint,
                                 run.progress, run.measurement});
    }
    auto stored_end = scheduler_->last_stored_end(id);
    std::erase_if(worker.ended, [stored_end](const auto& end) {
      return end.number <= stored_end;
    });
    message.ended = worker.ended;
    message.lists_all_ends = !worker.omits_ends;
    scheduler_->on_report(id, message);
    scheduler_->on_lease_ordered(id, clock_of(worker) + options_.given_lease,
                                 now_ + lease_call_limit);
  }

  void report_all() {
    for (const auto& [id, worker] : workers) {
      report(id);
    }
  }

  void advance_time(std::chrono::milliseconds time) { now_ += time; }

  /// Replaces a worker's process by a new one under the same id.
  void restart(const std::string& id) {
    auto& worker = workers.at(id);
    worker.running.clear();
    worker.ended.clear();
    worker.ends = 0;
    worker.entry.incarnation += 1000;
    worker.started_at = now_;
  }

  /// Ends a run on its worker, which reports it next time.
  void end(const std::string& task, end_reason reason,
           const std::string& checkpoint = "") {
    for (auto& [id, worker] : workers) {
      for (std::size_t n = 0; n < worker.running.size(); ++n) {
        auto run = worker.running[n];
        if (to_string(run.task) == task) {
          worker.running.erase(worker.running.begin() +
                               static_cast<std::ptrdiff_t>(n));
          worker.ended.push_back(
              {++worker.ends, run.task, run.number, reason, checkpoint});
          return;
        }
      }
    }
  }

  /// @return the workers that run a task, one entry per run.
  std::vector<std::string> workers_running(const std::string& task) const {
    std::vector<std::string> found;
    for (const auto& [id, worker] : workers) {
      for (const auto& run : worker.running) {
        if (to_string(run.task) == task) {
          found.push_back(id);
        }
      }
    }
    return found;
  }

  std::size_t running() const {
    std::size_t count = 0;
    for (const auto& [id, worker] : workers) {
      count += worker.running.size();
    }
    return count;
  }

  bool logged(const std::string& text) const {
    return std::ranges::any_of(log, [&](const auto& line) {
      return line.find(text) != std::string::npos;
    });
  }

  scheduler& tested_scheduler() { return *scheduler_; }
  time_point now() const { return now_; }
  unix_ms wall() const {
    return wall_start +
           std::chrono::duration_cast<milliseconds>(now_ - first_time).count();
  }
  milliseconds clock_of_worker() const { return clock_of({}); }
  milliseconds clock_of(const fake_worker& worker) const {
    return std::chrono::duration_cast<milliseconds>(now_ - worker.started_at);
  }

  /// Limit of the calls that carry a lease.
  static constexpr milliseconds lease_call_limit{1400};
  static constexpr unix_ms wall_start = 1'700'000'000'000;

  std::map<std::string, fake_worker> workers;
  std::map<std::string, std::shared_ptr<const job_spec>> jobs;
  /// Stored records of both topics.
  std::map<std::string, std::string> records;
  std::vector<std::string> log;
  std::vector<pace_order> pace_orders;
  /// Pace orders are not delivered, and the scheduler is not told.
  bool drops_pace_orders = false;
  /// Start orders without a response.
  std::vector<start_order> unanswered;
  /// Stop orders that did not reach an unresponsive worker.
  std::vector<order> undelivered_stops;

 private:
  void store(const commit& result) {
    for (const auto* part : {&result.progress, &result.jobs}) {
      for (const auto& record : *part) {
        if (record.value.empty()) {
          records.erase(record.key);
        } else {
          records[record.key] = record.value;
        }
      }
    }
  }

  void execute(const start_order& start) {
    auto& worker = workers.at(start.worker);
    if (worker.unresponsive || worker.drops_responses) {
      unanswered.push_back(start);
      scheduler_->on_start_result(start.worker, start.task, start.run,
                                  start_outcome::unknown, now_);
      return;
    }
    if (worker.refuses_starts) {
      scheduler_->on_start_result(start.worker, start.task, start.run,
                                  start_outcome::unhealthy, now_);
      return;
    }
    worker.running.push_back({start.task, start.run, start.checkpoint, 0, 0});
    scheduler_->on_start_result(start.worker, start.task, start.run,
                                start_outcome::confirmed, now_);
  }

  void execute(const stop_order& stop) {
    auto& worker = workers.at(stop.worker);
    if (worker.unresponsive) {
      undelivered_stops.push_back(stop);
      return;
    }
    end(to_string(stop.task), end_reason::stopped);
    scheduler_->on_stop_answered(stop.worker, stop.task, stop.run, now_);
  }

  scheduler_options options_;
  static constexpr time_point first_time{100s};
  time_point now_ = first_time;
  std::unique_ptr<scheduler> scheduler_;
};

}  // namespace vanillaladder::batch
