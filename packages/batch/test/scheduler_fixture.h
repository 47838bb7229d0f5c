#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "batch/scheduler.h"

namespace vanillaladder::batch {

using namespace std::chrono_literals;

/// Drives a scheduler with workers that live in memory.
///
/// A worker starts what it is told; a test ends runs, loses answers or keeps a
/// worker silent.
class scheduler_fixture {
 public:
  struct present_run {
    task_key task;
    int number = 0;
    std::string checkpoint;
    int progress = 0;
    std::int64_t measurement = 0;
  };

  struct fake_worker {
    worker_entry entry;
    std::vector<present_run> running;
    std::vector<reported_end> ended;
    std::int64_t ends = 0;
    bool silent = false;
    bool loses_answers = false;
  };

  explicit scheduler_fixture(scheduler_options options = {})
      : options_(options) {
    options_.longest_lease = 5000ms;
    options_.previous_leader_lease = 7000ms;
    take_over();
  }

  /// Replaces the scheduler, as another leader does.
  void take_over() {
    decisions_ = std::make_unique<scheduler>(
        options_, now_, [this](std::string line) { log.push_back(line); });
    for (auto& [id, worker] : workers) {
      decisions_->update_worker(worker.entry, now_);
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
    decisions_->update_worker(worker.entry, now_);
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
    jobs[id] = make_job(id, std::move(steps), attempts);
    decisions_->add_job(jobs[id], now_, wall_start);
  }

  /// Plans, stores and carries out the orders.
  commit plan(int units = scheduler::default_plan_units) {
    auto made = decisions_->plan(now_, wall_start, units);
    stored(made);
    decisions_->on_committed();
    carry_out(made.orders);
    carry_out(decisions_->take_orders());
    return made;
  }

  void carry_out(const std::vector<order>& orders) {
    for (const auto& each : orders) {
      if (const auto* start = std::get_if<start_order>(&each)) {
        carry_out(*start);
      } else if (const auto* stop = std::get_if<stop_order>(&each)) {
        carry_out(*stop);
      } else {
        paces.push_back(std::get<pace_order>(each));
      }
    }
  }

  void report(const std::string& id) {
    auto& worker = workers.at(id);
    if (worker.silent) {
      return;
    }
    worker_report made;
    made.incarnation = worker.entry.incarnation;
    made.clock = clock_of_worker();
    made.requested_at = now_;
    made.received_at = now_;
    for (const auto& run : worker.running) {
      made.running.push_back({run.task, run.number, run.checkpoint,
                              run.progress, run.measurement});
    }
    auto stored_end = decisions_->last_stored_end(id);
    std::erase_if(worker.ended, [stored_end](const auto& end) {
      return end.number <= stored_end;
    });
    made.ended = worker.ended;
    decisions_->on_report(id, made);
    decisions_->on_lease_ordered(id,
                                 clock_of_worker() + options_.longest_lease);
  }

  void report_all() {
    for (const auto& [id, worker] : workers) {
      report(id);
    }
  }

  void pass(std::chrono::milliseconds time) { now_ += time; }

  /// Ends a run on its worker; the next report tells.
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

  /// @return workers that run a task, one for each run.
  std::vector<std::string> where(const std::string& task) const {
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

  scheduler& decisions() { return *decisions_; }
  time_point now() const { return now_; }
  milliseconds clock_of_worker() const {
    return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
  }

  static constexpr unix_ms wall_start = 1'700'000'000'000;

  std::map<std::string, fake_worker> workers;
  std::map<std::string, std::shared_ptr<const job_spec>> jobs;
  /// The stored records of both topics.
  std::map<std::string, std::string> records;
  std::vector<std::string> log;
  std::vector<pace_order> paces;
  /// Start orders whose answer was lost.
  std::vector<start_order> unanswered;

 private:
  void stored(const commit& made) {
    for (const auto* part : {&made.progress, &made.jobs}) {
      for (const auto& record : *part) {
        if (record.value.empty()) {
          records.erase(record.key);
        } else {
          records[record.key] = record.value;
        }
      }
    }
  }

  void carry_out(const start_order& made) {
    auto& worker = workers.at(made.worker);
    if (worker.silent || worker.loses_answers) {
      unanswered.push_back(made);
      decisions_->on_start_result(made.worker, made.task, made.run,
                                  start_outcome::unknown, now_);
      return;
    }
    worker.running.push_back({made.task, made.run, made.checkpoint, 0, 0});
    decisions_->on_start_result(made.worker, made.task, made.run,
                                start_outcome::confirmed, now_);
  }

  void carry_out(const stop_order& made) {
    auto& worker = workers.at(made.worker);
    if (worker.silent) {
      return;
    }
    end(to_string(made.task), end_reason::stopped);
    decisions_->on_stop_answered(made.worker, made.task, made.run, now_);
  }

  scheduler_options options_;
  time_point now_{100s};
  std::unique_ptr<scheduler> decisions_;
};

}  // namespace vanillaladder::batch
