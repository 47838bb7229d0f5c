#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "control/detail/shard_types.h"
#include "control/shard_machine.h"

/// Simulation of shard machines with a fake log and fake workers in virtual
/// time.
namespace vanillaladder::control::testing {

using model::milliseconds;
using model::time_point;

/// Simulates a worker. The command of a task is its run time in ms, its
/// checkpoint the completed run time. Like a real worker it checks the lease of
/// a start, but not the available resources.
class fake_worker {
 public:
  struct lease {
    std::string holder;
    milliseconds duration;
    time_point expires;
  };
  struct run {
    external::task_start start;
    external::task_state state = external::task_state::running;
    time_point since;
    int throttle = 100;
  };

  struct attempt_id_less {
    bool operator()(const attempt_id& a, const attempt_id& b) const {
      return std::tie(a.task, a.attempt) < std::tie(b.task, b.attempt);
    }
  };

  model::worker_info info;
  bool fails_all_tasks = false;
  bool supports_lease_deletion = true;
  /// Memory that a task uses, in percent of what it declared.
  std::int64_t usage_percent = 100;
  /// Overrides `usage_percent` for the tasks of a job, by job id.
  std::map<std::string, std::int64_t> job_usage_percent;
  bool reports_usage = true;
  std::int64_t slowdown_percent = 0;
  std::map<lease_id, lease> leases;
  std::map<attempt_id, run, attempt_id_less> runs;
  std::vector<std::pair<time_point, attempt_id>> starts;

  void advance(time_point now) {
    for (auto& [id, task] : runs) {
      if (task.state != external::task_state::running)
        continue;
      const auto lease_entry = leases.find(task.start.lease);
      const auto until = lease_entry == leases.end()
                             ? now
                             : std::min(now, lease_entry->second.expires);
      if (until - task.since >= remaining_time(task)) {
        task.state = external::task_state::finished;
      } else if (lease_entry == leases.end() ||
                 lease_entry->second.expires <= now) {
        stop(task, until);
      }
    }
    std::erase_if(leases, [now](const auto& entry) {
      return entry.second.expires <= now;
    });
  }

  void stop(run& task, time_point now) {
    checkpoint(task, now);
    task.state = external::task_state::stopped;
  }

  void checkpoint(run& task, time_point now) {
    const auto done = std::chrono::duration_cast<milliseconds>(
        now - task.since + total_time(task) - remaining_time(task));
    task.start.checkpoint = std::to_string(done.count());
    task.since = now;
  }

  bool start(const external::task_start& task, time_point now) {
    if (!leases.contains(task.lease))
      return false;
    starts.emplace_back(now, task.id);
    runs[task.id] = {task,
                     fails_all_tasks ? external::task_state::failed
                                     : external::task_state::running,
                     now, 100};
    return true;
  }

  run* running(const attempt_id& id) {
    const auto found = runs.find(id);
    return found != runs.end() &&
                   found->second.state == external::task_state::running
               ? &found->second
               : nullptr;
  }

  model::resources load() const {
    model::resources sum;
    for (const auto& [id, task] : runs)
      if (task.state == external::task_state::running)
        sum += task.start.size;
    return sum;
  }

  model::resources usage_of(const run& task) const {
    const auto& name = task.start.id.task;
    const auto own = job_usage_percent.find(name.substr(0, name.rfind(':')));
    auto used = task.start.size;
    used.memory_mib =
        used.memory_mib *
        (own == job_usage_percent.end() ? usage_percent : own->second) / 100;
    return used;
  }

  external::worker_report report() const {
    external::worker_report out;
    out.usage.slowdown_percent = runs.empty() ? 0 : slowdown_percent;
    for (const auto& [id, lease_entry] : leases)
      out.leases.push_back({id, lease_entry.holder, milliseconds(0)});
    for (const auto& [id, task] : runs) {
      external::usage_report used;
      if (reports_usage)
        used.used = usage_of(task);
      out.tasks.push_back(
          {id, task.state, task.start.lease, task.start.checkpoint, used});
    }
    return out;
  }

 private:
  static milliseconds total_time(const run& task) {
    return milliseconds(std::stol(task.start.command));
  }
  static milliseconds remaining_time(const run& task) {
    const auto& done = task.start.checkpoint;
    return total_time(task) - milliseconds(done.empty() ? 0 : std::stol(done));
  }
};

class simulation {
 public:
  struct daemon {
    model::instance_id id;
    model::incarnation incarnation = 1;
    std::unique_ptr<shard_machine> machine;
    time_point paused_until;
    bool stopped = false;
    /// Workers that the daemon cannot reach, with the end of the partition.
    std::map<model::worker_id, time_point> unreachable_until;
    time_point next_tick;
    std::map<request_token, actions::reply_submit> submits;
    std::map<request_token, actions::reply_cancel> cancels;
    std::map<std::string, std::uint64_t> counts;
    std::vector<actions::delegate_job> delegations;
  };

  explicit simulation(std::uint64_t seed = 1, std::size_t daemons = 1,
                      std::size_t worker_count = 3)
      : random_(seed) {
    limits.blind_renewal_limit_ms = 60'000;
    for (std::size_t i = 0; i < worker_count; ++i) {
      fake_worker& worker = workers["w" + std::to_string(i)];
      worker.info = {"w" + std::to_string(i),
                     "127.0.0.1",
                     1,
                     "d" + std::to_string(i % 3),
                     "r" + std::to_string(i),
                     {8000, 8000, 1},
                     model::instance_state::live};
    }
    for (std::size_t i = 0; i < daemons; ++i) {
      daemons_.emplace_back(std::make_unique<daemon>());
      daemons_.back()->id = "i" + std::to_string(i);
      start_daemon(*daemons_.back());
    }
  }

  simulation(const simulation&) = delete;
  simulation& operator=(const simulation&) = delete;

  daemon& daemon_at(std::size_t i) { return *daemons_[i % daemons_.size()]; }

  void start_daemon(daemon& member) {
    member.machine = std::make_unique<shard_machine>(
        model::shard_id{3}, member.id, member.incarnation, limits);
    member.paused_until = now;
    member.stopped = false;
    deliver(member, events::workers_changed{worker_infos()});
    deliver(member, events::policy_changed{policy});
    deliver(member, events::view_freshness_changed{true, true, false});
    poll(member, member.incarnation);
    std::map<model::instance_id, model::incarnation> all;
    for (const auto& other : daemons_)
      all[other->id] = other->incarnation;
    for (const auto& other : daemons_)
      deliver(*other, events::members_changed{all});
  }

  void restart(daemon& member) {
    ++member.incarnation;
    start_daemon(member);
  }

  void set_policy(const batch_policy& changed) {
    policy = changed;
    for (const auto& member : daemons_)
      deliver(*member, events::policy_changed{policy});
  }

  std::vector<model::worker_info> worker_infos() const {
    std::vector<model::worker_info> all;
    for (const auto& [id, worker] : workers)
      all.push_back(worker.info);
    return all;
  }

  /// Submits a job to the current owner; each of its `tasks` runs for `run_ms`.
  request_token submit(const std::string& key, std::uint32_t tasks,
                       std::int64_t run_ms, const model::resources& size,
                       const std::string& job_class = "sync") {
    daemon* const target = owner();
    const auto token = ++last_token_;
    if (target != nullptr)
      deliver(*target, events::submit_job{token,
                                          {"s03-" + key,
                                           "team",
                                           job_class,
                                           tasks,
                                           size,
                                           std::to_string(run_ms),
                                           run_ms,
                                           0,
                                           {}},
                                          false});
    return token;
  }

  void cancel(const std::string& key) {
    if (daemon* const target = owner())
      deliver(*target, events::cancel_job{++last_token_, "s03-" + key});
  }

  daemon* owner() {
    for (const auto& member : daemons_)
      if (member->machine->is_owner() && now >= member->paused_until)
        return member.get();
    return nullptr;
  }

  void run_for(milliseconds duration) {
    const auto end = now + duration;
    while (!queue_.empty() && queue_.top().at <= end) {
      auto next = queue_.top();
      queue_.pop();
      now = std::max(now, next.at);
      next.task();
    }
    now = end;
  }

  /// @return whether `condition` became true within `limit`.
  bool run_until(milliseconds limit, const std::function<bool()>& condition) {
    for (milliseconds passed{0}; passed < limit; passed += milliseconds(100)) {
      if (condition())
        return true;
      run_for(milliseconds(100));
    }
    return condition();
  }

  void deliver(daemon& member, const event& input) {
    if (member.stopped)
      return;
    if (now < member.paused_until) {
      const auto incarnation = member.incarnation;
      schedule(member.paused_until - now, [this, &member, input, incarnation] {
        if (member.incarnation == incarnation)
          deliver(member, input);
      });
      return;
    }
    for (const auto& request : member.machine->step(input, now))
      std::visit([&](const auto& typed) { execute(member, typed); }, request);
  }

  void schedule(time_point::duration delay, std::function<void()> task) {
    queue_.push({now + delay, ++last_task_number_, std::move(task)});
  }

  /// @return the job in the replicated state; null if it is unknown.
  const coordination::job_entry* job(const std::string& key) {
    for (const auto& member : daemons_) {
      const auto& state = member->machine->state();
      const auto number = state.find_job(model::job_id("s03-" + key));
      if (number && now >= member->paused_until)
        return state.find_job(*number);
    }
    return nullptr;
  }

  std::size_t running(const model::worker_id& name) {
    fake_worker& worker = workers[name];
    worker.advance(now);
    return static_cast<std::size_t>(
        std::ranges::count_if(worker.runs, [](const auto& entry) {
          return entry.second.state == external::task_state::running;
        }));
  }

  std::size_t starts() const {
    std::size_t sum = 0;
    for (const auto& [id, worker] : workers)
      sum += worker.starts.size();
    return sum;
  }

  time_point now{std::chrono::hours(1)};
  shard_limits limits;
  batch_policy policy;
  std::map<model::worker_id, fake_worker> workers;
  std::vector<std::string> log;
  time_point log_unavailable_until;
  bool fresh = true;
  /// Percentage of messages that are lost, and of those that are delayed.
  int message_fault_percent = 0;
  /// Concurrent attempts of a task and overcommitted workers.
  std::vector<std::string> violations;

 private:
  struct timed_task {
    time_point at;
    std::uint64_t number = 0;
    std::function<void()> task;
    bool operator<(const timed_task& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  std::uint64_t random_below(std::uint64_t below) { return random_() % below; }
  bool is_lost() {
    return random_below(100) < static_cast<unsigned>(message_fault_percent);
  }
  milliseconds delay() {
    return milliseconds(is_lost() ? 1 + random_below(12'000)
                                  : 1 + random_below(4));
  }

  void poll(daemon& member, model::incarnation incarnation) {
    if (member.incarnation != incarnation)
      return;
    schedule(milliseconds(100),
             [this, &member, incarnation] { poll(member, incarnation); });
    if (now < member.paused_until || member.stopped)
      return;
    const bool up = now >= log_unavailable_until;
    deliver(member, events::view_freshness_changed{fresh, up, false});
    if (up)
      deliver(member, events::log_read{read(member)});
    const auto& holder = member.machine->state().owner();
    const bool should_claim =
        std::ranges::none_of(daemons_, [&](const auto& other) {
          return holder && other->id == holder->owner &&
                 other->incarnation == holder->incarnation && !other->stopped &&
                 now + milliseconds(3'000) >= other->paused_until;
        });
    if (should_claim)
      deliver(member, events::claim_shard{});
  }

  coordination::read_result read(const daemon& member) {
    coordination::read_result out;
    out.next = static_cast<model::offset>(log.size());
    for (auto at = member.machine->next_offset(); at < out.next; ++at)
      out.records.push_back({at, log[static_cast<std::size_t>(at)]});
    return out;
  }

  void execute(daemon& member, const actions::append& request) {
    schedule(delay(), [this, &member, request, arrives = !is_lost(),
                       answered = !is_lost(),
                       incarnation = member.incarnation] {
      const bool up = now >= log_unavailable_until && arrives;
      const auto at = static_cast<model::offset>(log.size());
      if (up)
        log.insert(log.end(), request.batch.records.begin(),
                   request.batch.records.end());
      schedule(delay(), [this, &member, request, at, ok = up && answered,
                         incarnation] {
        if (member.incarnation != incarnation)
          return;
        if (ok)
          deliver(member, events::append_answered{request.batch.number, at});
        else
          deliver(member, events::append_failed{request.batch.number});
      });
    });
  }

  /// Calls a worker; without a response within 2 s the outcome is unknown.
  void call(daemon& member, call_id number, const model::worker_id& name,
            std::function<event(fake_worker&)> work) {
    const auto incarnation = member.incarnation;
    const auto unanswered = std::make_shared<bool>(true);
    const auto answer = [this, &member, unanswered, incarnation](event result) {
      if (std::exchange(*unanswered, false) &&
          member.incarnation == incarnation)
        deliver(member, result);
    };
    schedule(milliseconds(2'000), [answer, number] {
      answer(events::worker_call_done{number, call_outcome::unknown, {}, {}});
    });
    if (is_lost() || now < member.unreachable_until[name])
      return;
    schedule(delay(), [this, &member, name, work = std::move(work), answer] {
      fake_worker& worker = workers[name];
      for (auto& [id, other] : workers)
        other.advance(now);
      const auto result = work(worker);
      if (!is_lost() && now >= member.unreachable_until[name])
        schedule(delay(), [answer, result] { answer(result); });
    });
  }

  static event done(call_id number, bool ok, std::string lease = {},
                    std::string checkpoint = {}) {
    return events::worker_call_done{
        number, ok ? call_outcome::ok : call_outcome::refused, std::move(lease),
        std::move(checkpoint)};
  }

  void execute(daemon& member, const actions::acquire_lease& request) {
    call(member, request.call, request.worker, [=, this](fake_worker& worker) {
      const lease_id lease = "l" + std::to_string(++last_lease_);
      const milliseconds duration(request.duration_ms);
      worker.leases[lease] = {request.holder, duration, now + duration};
      return done(request.call, true, lease);
    });
  }
  void execute(daemon& member, const actions::renew_lease& request) {
    call(member, request.call, request.worker, [=, this](fake_worker& worker) {
      const auto found = worker.leases.find(request.lease);
      if (found != worker.leases.end())
        found->second.expires = now + found->second.duration;
      return done(request.call, found != worker.leases.end());
    });
  }
  void execute(daemon& member, const actions::delete_lease& request) {
    call(member, request.call, request.worker, [=, this](fake_worker& worker) {
      if (worker.supports_lease_deletion)
        worker.leases.erase(request.lease);
      worker.advance(now);
      return done(request.call, worker.supports_lease_deletion);
    });
  }
  void execute(daemon& member, const actions::list_worker& request) {
    call(member, request.call, request.worker, [=](fake_worker& worker) {
      return events::worker_listed{request.call, worker.report()};
    });
  }
  void execute(daemon& member, const actions::start_task& request) {
    call(member, request.call, request.worker, [=, this](fake_worker& worker) {
      const bool ok = worker.start(request.start, now);
      check_started_task(worker, request.start, ok);
      return done(request.call, ok);
    });
  }
  void execute(daemon& member, const actions::adopt_task& request) {
    call(member, request.call, request.worker, [=](fake_worker& worker) {
      auto* const task = worker.running(request.id);
      const bool ok = task != nullptr && worker.leases.contains(request.lease);
      if (ok)
        task->start.lease = request.lease;
      return done(request.call, ok);
    });
  }
  void execute(daemon& member, const actions::checkpoint_task& request) {
    call(member, request.call, request.worker, [=, this](fake_worker& worker) {
      auto* const task = worker.running(request.id);
      if (task == nullptr)
        return done(request.call, false);
      worker.checkpoint(*task, now);
      return done(request.call, true, {}, task->start.checkpoint);
    });
  }
  void execute(daemon& member, const actions::throttle_task& request) {
    call(member, request.call, request.worker, [=](fake_worker& worker) {
      if (auto* const task = worker.running(request.id))
        task->throttle = request.percent;
      return done(request.call, true);
    });
  }
  void execute(daemon& member, const actions::stop_task& request) {
    call(member, request.call, request.worker, [=, this](fake_worker& worker) {
      auto* const task = worker.running(request.id);
      if (task != nullptr)
        worker.stop(*task, now);
      return done(request.call, task != nullptr);
    });
  }
  void execute(daemon& member, const actions::acknowledge_end& request) {
    call(member, request.call, request.worker, [=](fake_worker& worker) {
      if (worker.running(request.id) == nullptr)
        worker.runs.erase(request.id);
      return done(request.call, true);
    });
  }
  void execute(daemon& member, const actions::reply_submit& reply) {
    member.submits[reply.token] = reply;
  }
  void execute(daemon& member, const actions::reply_cancel& reply) {
    member.cancels[reply.token] = reply;
  }
  void execute(daemon& member, const actions::count& counted) {
    member.counts[counted.name + "/" + counted.reason] += counted.amount;
  }
  void execute(daemon& member, const actions::set_next_tick& request) {
    if (member.next_tick > now && member.next_tick <= request.at)
      return;
    member.next_tick = request.at;
    schedule(request.at - now,
             [this, &member, incarnation = member.incarnation] {
               if (member.incarnation == incarnation)
                 deliver(member, events::tick{});
             });
  }
  void execute(daemon& /*member*/, const actions::reply_query& /*reply*/) {}
  void execute(daemon& /*member*/, const actions::body_resolved& /*r*/) {}
  void execute(daemon& member, const actions::delegate_job& request) {
    member.delegations.push_back(request);
  }
  void execute(daemon& /*member*/, const actions::cancel_delegated& /*c*/) {}

  void check_started_task(const fake_worker& worker,
                          const external::task_start& start, bool ok) {
    if (!ok)
      return;
    std::size_t running_attempts = 0;
    for (const auto& [id, other] : workers)
      for (const auto& [name, task] : other.runs)
        if (name.task == start.id.task &&
            task.state == external::task_state::running)
          ++running_attempts;
    if (running_attempts > 1)
      violations.push_back("concurrent attempts of " + start.id.task);
    if (!fits_in(worker.load(), worker.info.capacity))
      violations.push_back("over capacity on " + worker.info.id);
  }

  std::mt19937_64 random_;
  std::priority_queue<timed_task> queue_;
  std::uint64_t last_task_number_ = 0;
  std::uint64_t last_lease_ = 0;
  request_token last_token_ = 0;
  std::vector<std::unique_ptr<daemon>> daemons_;
};

}  // namespace vanillaladder::control::testing
