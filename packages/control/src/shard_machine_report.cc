#include <algorithm>
#include <charconv>
#include <utility>

#include "control/detail/shard_core.h"

namespace vanillaladder::control {

using namespace detail;
namespace records = coordination;
using external::task_state;

std::optional<task_key> shard_machine::impl::known_task(
    const std::string& name) const {
  const auto colon = name.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  std::uint32_t index = 0;
  const char* const end = name.data() + name.size();
  const auto parsed = std::from_chars(name.data() + colon + 1, end, index);
  if (parsed.ec != std::errc{} || parsed.ptr != end)
    return std::nullopt;
  const auto job = fold().find_job(name.substr(0, colon));
  if (!job)
    return std::nullopt;
  return task_key{*job, index};
}

void shard_machine::impl::take_report(worker_entry& worker,
                                      const external::worker_report& report) {
  worker.last_heard = now;
  worker.orphans = 0;
  for (const auto& task : report.tasks)
    take_task(worker, task);
  take_absent(worker, report);
  learn(worker, report);
  control_pressure(worker, report);
  sync_throttles(worker);
  reconcile(worker, report);
  const bool busy = std::ranges::any_of(worker.attempts, [&](const auto& key) {
    const attempt& entry = attempts.at(key);
    return entry.stage < attempt_stage::running ||
           entry.evict != evict_reason::none;
  });
  if (busy && worker.waiting.empty())
    worker.next_list = std::min(worker.next_list, now + busy_list_interval);
}

void shard_machine::impl::take_task(worker_entry& worker,
                                    const external::task_report& report) {
  const auto key = known_task(report.id.task);
  attempt* const entry = key ? find_attempt(*key) : nullptr;
  const bool current = entry != nullptr && entry->worker == worker.info.id &&
                       entry->number == report.id.attempt;
  const bool running = report.state == task_state::running;
  if (current && entry->stage != attempt_stage::ended) {
    if (running)
      take_running(worker, *key, report);
    else
      take_end(worker, *key, report);
    return;
  }
  if (current && !running) {
    entry->listed_end = true;
    return;
  }
  if (!running) {
    const auto call = new_call({call_kind::acknowledge,
                                worker.info.id,
                                {},
                                key.value_or(task_key{}),
                                report.id.attempt});
    out.emplace_back(actions::acknowledge_end{call, worker.info.id, report.id});
    return;
  }
  // Deleting a former owner's lease stops what still runs under it; only a
  // task under the own lease must be stopped here.
  ++worker.orphans;
  if (!worker.leases.contains(report.lease) || !log_current())
    return;
  count("orphans_stopped", "not-recorded-as-running");
  const auto call = new_call({call_kind::stop,
                              worker.info.id,
                              {},
                              key.value_or(task_key{}),
                              report.id.attempt});
  out.emplace_back(actions::stop_task{call, worker.info.id, report.id});
}

void shard_machine::impl::take_running(worker_entry& worker,
                                       const task_key& key,
                                       const external::task_report& report) {
  attempt& entry = attempts.at(key);
  if (entry.stage == attempt_stage::sent) {
    entry.stage = attempt_stage::running;
    entry.running_since = now;
    entry.unthrottled_since = now;
  }
  if (report.lease == worker.current) {
    entry.leases = {report.lease};
    entry.foreign = false;
  } else if (worker.leases.contains(report.lease)) {
    entry.leases.insert(report.lease);
  } else {
    entry.foreign = true;
  }
  if (!report.checkpoint.empty())
    entry.checkpoint = report.checkpoint;
  set_reserved(entry,
               scheduling::elementwise_max(entry.reserved, report.usage.used));
  probation.record_running(worker.info.id, {report.id.task, entry.number}, now);
}

void shard_machine::impl::take_end(worker_entry& worker, const task_key& key,
                                   const external::task_report& report) {
  attempt& entry = attempts.at(key);
  entry.listed_end = true;
  const scheduling::start_probation::attempt id{report.id.task, entry.number};
  std::string checkpoint =
      report.checkpoint.empty() ? entry.checkpoint : report.checkpoint;
  if (report.state != task_state::failed) {
    probation.record_success(worker.info.id, id);
    const bool finished = report.state == task_state::finished;
    if (const auto* const job = fold().find_job(key.first); finished && job)
      usage.record_completion(job->job.id, entry.job_class);
    if (finished && entry.running_since) {
      const auto run =
          std::chrono::duration_cast<milliseconds>(now - *entry.running_since);
      auto& mean = run_times.try_emplace(entry.job_class, run).first->second;
      mean += (run - mean) / 8;
    }
    prove_end(key,
              finished ? records::task_outcome::finished
                       : records::task_outcome::evicted,
              finished ? std::string{} : std::move(checkpoint));
    return;
  }
  const auto* const job = fold().find_job(key.first);
  probation.record_failure(worker.info.id, id,
                           job == nullptr ? "" : job->job.id, now);
  failure_entry& failed = failures[key];
  ++failed.count;
  failed.workers.insert(worker.info.id);
  count("attempts_failed", entry.job_class);
  prove_end(key,
            failed.count >= max_failures ? records::task_outcome::failed
                                         : records::task_outcome::lost,
            std::move(checkpoint));
}

void shard_machine::impl::take_absent(worker_entry& worker,
                                      const external::worker_report& report) {
  std::set<std::pair<std::string, std::uint32_t>> listed;
  for (const auto& task : report.tasks)
    listed.insert({task.id.task, task.id.attempt});
  const auto held = worker.attempts;
  for (const auto& key : held) {
    const attempt& entry = attempts.at(key);
    if (entry.stage != attempt_stage::sent &&
        entry.stage != attempt_stage::running)
      continue;
    if (listed.contains({task_name(key), entry.number}))
      continue;
    const bool may_run =
        std::ranges::any_of(report.leases, [&](const auto& lease) {
          return entry.leases.contains(lease.lease) ||
                 (entry.foreign && !worker.leases.contains(lease.lease));
        });
    if (!may_run) {
      count("attempts_ended", "absent-without-lease");
      prove_end(key, records::task_outcome::lost, entry.checkpoint);
      continue;
    }
    // The start may be lost or delayed; only the end of the lease proves that
    // it can take no effect any more.
    const bool seen_late =
        entry.stage == attempt_stage::running ||
        (entry.sent_at && now - *entry.sent_at >= start_seen_after);
    if (seen_late && !worker.current.empty() &&
        entry.leases.contains(worker.current)) {
      count("leases_retired", "start-not-listed");
      retire_lease(worker, worker.current);
    }
  }
}

void shard_machine::impl::learn(worker_entry& worker,
                                const external::worker_report& report) {
  model::resources used_by_tasks;
  scheduling::class_counts running;
  for (const auto& task : report.tasks) {
    if (task.state != task_state::running)
      continue;
    used_by_tasks += task.usage.used;
    const auto key = known_task(task.id.task);
    const attempt* const entry = key ? find_attempt(*key) : nullptr;
    if (entry != nullptr)
      ++running[entry->job_class];
  }
  if (report.usage.used != model::resources{})
    worker.services =
        scheduling::elementwise_max(report.usage.used - used_by_tasks, {});
  learn_slowdowns(worker, report, running);
}

void shard_machine::impl::learn_usage(const task_key& key, const attempt& entry,
                                      const external::usage_report& measured) {
  const auto* const job = fold().find_job(key.first);
  if (job == nullptr)
    return;
  milliseconds ran_for{0};
  if (entry.unthrottled_since)
    ran_for = std::chrono::duration_cast<milliseconds>(
        now - measured.age - *entry.unthrottled_since);
  usage.observe({job->job.id, entry.job_class, entry.declared, measured.used,
                 measured.age, ran_for},
                now);
}

void shard_machine::impl::learn_slowdowns(
    worker_entry& worker, const external::worker_report& report,
    const scheduling::class_counts& running) {
  // A throttled task is slow because of the throttle.
  const bool throttled = worker.throttle.cpu_limit_percent() < 100;
  const auto comparable = [&](const external::usage_report& measured) {
    return !throttled && measured.slowdown_percent > 0 &&
           now - measured.age >= worker.neighbours_changed;
  };
  for (const auto& task : report.tasks) {
    const auto key = known_task(task.id.task);
    const attempt* const entry = key ? find_attempt(*key) : nullptr;
    if (task.state != task_state::running || entry == nullptr)
      continue;
    learn_usage(*key, *entry, task.usage);
    if (!comparable(task.usage))
      continue;
    auto others = running;
    if (--others[entry->job_class] == 0)
      others.erase(entry->job_class);
    interference.observe(entry->job_class, others, task.usage.slowdown_percent);
  }
  if (comparable(report.usage))
    interference.observe(scheduling::services_class, running,
                         report.usage.slowdown_percent);
}

/// @return the running batch task with the highest score, nothing while
///   another one is being evicted.
template <class Score>
std::optional<task_key> shard_machine::impl::victim(const worker_entry& worker,
                                                    Score score) const {
  std::optional<task_key> best;
  double best_score = 0;
  for (const auto& key : worker.attempts) {
    const attempt& entry = attempts.at(key);
    if (entry.evict != evict_reason::none)
      return std::nullopt;
    if (entry.stage != attempt_stage::running || entry.urgent)
      continue;
    const double value = score(entry);
    if (!best || value > best_score) {
      best = key;
      best_score = value;
    }
  }
  return best;
}

void shard_machine::impl::relieve_overcommitment(worker_entry& worker) {
  const auto room = worker.info.capacity - worker.reserved - worker.services;
  if (room.memory_mib >= 0 && room.accelerators >= 0)
    return;
  const auto key = victim(worker, [](const attempt& entry) {
    return static_cast<double>(entry.reserved.memory_mib -
                               entry.declared.memory_mib);
  });
  if (key)
    evict(*key, evict_reason::overcommitted);
}

void shard_machine::impl::control_pressure(
    worker_entry& worker, const external::worker_report& report) {
  relieve_overcommitment(worker);
  const auto measured = now - report.usage.age;
  if (report.usage.slowdown_percent <= 0 ||
      measured < worker.last_measured + busy_list_interval ||
      measured < worker.neighbours_changed)
    return;
  worker.last_measured = measured;
  const auto next = worker.throttle.observe(report.usage.slowdown_percent,
                                            policy.max_class_slowdown_percent);
  if (next == scheduling::throttle_decision::throttle ||
      next == scheduling::throttle_decision::unthrottle) {
    count("throttles",
          next == scheduling::throttle_decision::throttle ? "tighten" : "lift");
    // Only measurements made after the change count for the next step.
    worker.last_measured = now;
  }
  if (next != scheduling::throttle_decision::evict)
    return;
  const auto key = victim(worker, [this](const attempt& entry) {
    return interference
        .pair_estimate(scheduling::services_class, entry.job_class)
        .excess_percent;
  });
  if (key)
    evict(*key, evict_reason::interference);
}

void shard_machine::impl::sync_throttles(worker_entry& worker) {
  for (const auto& key : worker.attempts) {
    attempt& entry = attempts.at(key);
    const int percent = worker.throttle.cpu_limit_percent();
    if (entry.stage != attempt_stage::running || entry.urgent ||
        entry.throttle == percent)
      continue;
    entry.throttle = percent;
    entry.unthrottled_since =
        percent == 100 ? std::optional(now) : std::nullopt;
    const auto call =
        new_call({call_kind::throttle, worker.info.id, {}, key, entry.number});
    out.emplace_back(actions::throttle_task{call, worker.info.id,
                                            id_of(key, entry), percent});
  }
}

}  // namespace vanillaladder::control
