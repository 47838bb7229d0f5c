#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/shard_machine.h"
#include "worker.h"

/// Virtual-time measurements of the batch decisions: one `shard_machine` for
/// each placement shard, a log in memory and simple workers.
namespace vanillaladder::bench {

struct deployment {
  std::string name;
  unsigned workers = 0;
  unsigned domains = 0;
  unsigned workers_per_rack = 0;
};

struct scenario {
  unsigned seed = 1;
  /// Whether all jobs of a class are off by the same factors. Otherwise each
  /// job has its own.
  bool error_per_class = false;
  /// Worker that fails every start, if any.
  bool one_fails = false;
  /// Baseline: the first worker with room.
  bool first_fit = false;
  /// Whether memory is scarcer than processors, and tasks reach their size only
  /// at their end.
  bool growing_memory = false;
};

class cluster {
 public:
  cluster(const deployment& where, const scenario& what);

  /// Lets the time pass; while `refill` is set, jobs wait in every shard.
  void run_for(milliseconds duration);
  /// @return whether all jobs ended within `limit`.
  bool drain(milliseconds limit);
  void set_domain_out(const model::domain_id& domain, bool out);

  [[nodiscard]] time_point now() const { return now_; }
  std::vector<worker>& workers() { return workers_; }
  [[nodiscard]] const std::map<std::string, std::uint64_t>& counts() const {
    return counts_;
  }
  /// Brings all workers up to the current time.
  void settle();
  /// @return tasks that did not finish exactly once.
  [[nodiscard]] std::size_t finished_other_than_once() const;

  bool refill = true;
  /// Of finished tasks: core ms used, core ms of work, and core ms reserved at
  /// the larger of declared and used size.
  double finished_cpu_ms = 0;
  double finished_work_ms = 0;
  double finished_size_ms = 0;
  std::uint64_t finished = 0;

 private:
  struct shard {
    model::shard_id number = 0;
    std::unique_ptr<control::shard_machine> machine;
    std::vector<std::string> log;
    time_point next_tick;
    std::uint64_t submitted = 0;
    std::uint64_t finished = 0;
    std::uint64_t jobs = 0;
  };
  struct timed_task {
    time_point at;
    std::uint64_t number = 0;
    std::function<void()> task;
    bool operator<(const timed_task& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  void add_workers(const deployment& where);
  void boot(shard& owner);
  void poll(shard& owner);
  void submit_jobs(shard& owner);
  void submit_job(shard& owner);
  double draw(double low, double high);
  double draw_error(const model::class_id& job_class, unsigned dimension);

  void after(milliseconds delay, std::function<void()> task);
  void deliver(shard& owner, const control::event& input);
  void read_log(shard& owner);
  void advance(worker& target);
  void schedule_end(worker& target);
  void finish(const worker::run& ended);
  void call(shard& owner, const model::worker_id& name,
            std::function<control::event(worker&)> work);

  void perform(shard& owner, const control::actions::append& wanted);
  void perform(shard& owner, const control::actions::acquire_lease& wanted);
  void perform(shard& owner, const control::actions::renew_lease& wanted);
  void perform(shard& owner, const control::actions::delete_lease& wanted);
  void perform(shard& owner, const control::actions::list_worker& wanted);
  void perform(shard& owner, const control::actions::start_task& wanted);
  void perform(shard& owner, const control::actions::adopt_task& wanted);
  void perform(shard& owner, const control::actions::checkpoint_task& wanted);
  void perform(shard& owner, const control::actions::throttle_task& wanted);
  void perform(shard& owner, const control::actions::stop_task& wanted);
  void perform(shard& owner, const control::actions::acknowledge_end& wanted);
  void perform(shard& owner, const control::actions::set_next_tick& wanted);
  void perform(shard& owner, const control::actions::count& counted);
  void perform(shard& owner, const control::actions::reply_submit& reply);
  template <class Other>
  void perform(shard& /*owner*/, const Other& /*unused*/) {}

  scenario scenario_;
  std::mt19937_64 random_;
  time_point now_{std::chrono::hours(1)};
  std::priority_queue<timed_task> queue_;
  std::uint64_t last_event_ = 0;
  std::uint64_t last_lease_ = 0;
  control::request_token last_token_ = 0;
  std::vector<worker> workers_;
  std::map<model::worker_id, std::size_t> worker_index_;
  std::map<std::pair<model::class_id, unsigned>, double> class_errors_;
  slowdown_table slowdowns_;
  control::batch_policy policy_;
  std::vector<shard> shards_;
  std::map<std::string, std::uint64_t> counts_;
  /// By job id.
  std::map<model::job_id, task_need> needs_;
  /// Number of times that each task finished.
  std::map<std::string, unsigned> ends_;
};

}  // namespace vanillaladder::bench
