#include <algorithm>
#include <charconv>
#include <utility>

#include "control/detail/shard_core.h"

namespace vanillaladder::control {

using namespace detail;
namespace records = coordination;
using external::task_state;

std::optional<task_key> shard_machine::impl::parse_task_name(
    const std::string& name) const {
  const auto colon = name.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  std::uint32_t index = 0;
  const char* const end = name.data() + name.size();
  const auto parsed = std::from_chars(name.data() + colon + 1, end, index);
  if (parsed.ec != std::errc{} || parsed.ptr != end)
    return std::nullopt;
  const auto job = state().find_job(name.substr(0, colon));
  if (!job)
    return std::nullopt;
  return task_key{*job, index};
}

void shard_machine::impl::handle_report(worker_entry& worker,
                                        const external::worker_report& report) {
  worker.last_report_at = now;
  worker.orphans = 0;
  for (const auto& task : report.tasks)
    handle_task_report(worker, task);
  handle_absent_attempts(worker, report);
  update_models(worker, report);
  control_interference(worker, report);
  sync_throttles(worker);
  reconcile_leases(worker, report);
  const bool busy = std::ranges::any_of(worker.attempts, [&](const auto& key) {
    const attempt& entry = attempts.at(key);
    return entry.stage < attempt_stage::running ||
           entry.evict_reason != eviction_reason::none;
  });
  if (busy && worker.pending_calls.empty())
    worker.next_list = std::min(worker.next_list, now + busy_list_interval);
}

void shard_machine::impl::handle_task_report(
    worker_entry& worker, const external::task_report& report) {
  const auto key = parse_task_name(report.id.task);
  attempt* const entry = key ? find_attempt(*key) : nullptr;
  const bool current = entry != nullptr && entry->worker == worker.info.id &&
                       entry->number == report.id.attempt;
  const bool running = report.state == task_state::running;
  if (current && entry->stage != attempt_stage::ended) {
    if (running)
      handle_running_task(worker, *key, report);
    else
      handle_ended_task(worker, *key, report);
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
    output_actions.emplace_back(
        actions::acknowledge_end{call, worker.info.id, report.id});
    return;
  }
  // Tasks under a lease of a former owner are stopped by deleting that lease;
  // only those under a lease of this process must be stopped explicitly.
  ++worker.orphans;
  if (!worker.leases.contains(report.lease) || !is_log_current())
    return;
  count("orphans_stopped", "not-recorded-as-running");
  const auto call = new_call({call_kind::stop,
                              worker.info.id,
                              {},
                              key.value_or(task_key{}),
                              report.id.attempt});
  output_actions.emplace_back(
      actions::stop_task{call, worker.info.id, report.id});
}

void shard_machine::impl::handle_running_task(
    worker_entry& worker, const task_key& key,
    const external::task_report& report) {
  attempt& entry = attempts.at(key);
  if (entry.stage == attempt_stage::sent) {
    entry.stage = attempt_stage::running;
    entry.running_since = now;
    entry.unthrottled_since = now;
  }
  if (report.lease == worker.current_lease) {
    entry.leases = {report.lease};
    entry.under_former_owner_lease = false;
  } else if (worker.leases.contains(report.lease)) {
    entry.leases.insert(report.lease);
  } else {
    entry.under_former_owner_lease = true;
  }
  if (!report.checkpoint.empty())
    entry.checkpoint = report.checkpoint;
  set_reserved(entry,
               scheduling::elementwise_max(entry.reserved, report.usage.used));
  probation.record_running(worker.info.id, {report.id.task, entry.number}, now);
}

void shard_machine::impl::handle_ended_task(
    worker_entry& worker, const task_key& key,
    const external::task_report& report) {
  attempt& entry = attempts.at(key);
  entry.listed_end = true;
  const scheduling::start_probation::attempt id{report.id.task, entry.number};
  std::string checkpoint =
      report.checkpoint.empty() ? entry.checkpoint : report.checkpoint;
  if (report.state != task_state::failed) {
    probation.record_success(worker.info.id, id);
    const bool finished = report.state == task_state::finished;
    if (const auto* const job = state().find_job(key.first); finished && job)
      usage.record_completion(job->job.id, entry.job_class);
    if (finished && entry.running_since) {
      const auto run =
          std::chrono::duration_cast<milliseconds>(now - *entry.running_since);
      auto& mean =
          mean_run_times.try_emplace(entry.job_class, run).first->second;
      mean += (run - mean) / 8;
    }
    end_attempt(key,
                finished ? records::task_outcome::finished
                         : records::task_outcome::evicted,
                finished ? std::string{} : std::move(checkpoint));
    return;
  }
  const auto* const job = state().find_job(key.first);
  probation.record_failure(worker.info.id, id,
                           job == nullptr ? "" : job->job.id, now);
  task_failures& task_failure = failures[key];
  ++task_failure.count;
  task_failure.workers.insert(worker.info.id);
  count("attempts_failed", entry.job_class);
  end_attempt(key,
              task_failure.count >= max_failures ? records::task_outcome::failed
                                                 : records::task_outcome::lost,
              std::move(checkpoint));
}

void shard_machine::impl::handle_absent_attempts(
    worker_entry& worker, const external::worker_report& report) {
  std::set<std::pair<std::string, std::uint32_t>> listed;
  for (const auto& task : report.tasks)
    listed.insert({task.id.task, task.id.attempt});
  const auto keys = worker.attempts;
  for (const auto& key : keys) {
    const attempt& entry = attempts.at(key);
    if (entry.stage != attempt_stage::sent &&
        entry.stage != attempt_stage::running)
      continue;
    if (listed.contains({task_name(key), entry.number}))
      continue;
    const bool could_run =
        std::ranges::any_of(report.leases, [&](const auto& lease) {
          return entry.leases.contains(lease.lease) ||
                 (entry.under_former_owner_lease &&
                  !worker.leases.contains(lease.lease));
        });
    if (!could_run) {
      count("attempts_ended", "absent-without-lease");
      end_attempt(key, records::task_outcome::lost, entry.checkpoint);
      continue;
    }
    // The start may be lost or delayed; it can still take effect until the
    // lease has ended.
    const bool is_overdue =
        entry.stage == attempt_stage::running ||
        (entry.sent_at && now - *entry.sent_at >= start_listing_timeout);
    if (is_overdue && !worker.current_lease.empty() &&
        entry.leases.contains(worker.current_lease)) {
      count("leases_retired", "start-not-listed");
      retire_lease(worker, worker.current_lease);
    }
  }
}

void shard_machine::impl::update_models(worker_entry& worker,
                                        const external::worker_report& report) {
  model::resources used_by_tasks;
  scheduling::class_counts running;
  for (const auto& task : report.tasks) {
    if (task.state != task_state::running)
      continue;
    used_by_tasks += task.usage.used;
    const auto key = parse_task_name(task.id.task);
    const attempt* const entry = key ? find_attempt(*key) : nullptr;
    if (entry != nullptr)
      ++running[entry->job_class];
  }
  if (report.usage.used != model::resources{})
    worker.services =
        scheduling::elementwise_max(report.usage.used - used_by_tasks, {});
  record_slowdowns(worker, report, running);
}

void shard_machine::impl::record_usage(const task_key& key,
                                       const attempt& entry,
                                       const external::usage_report& measured) {
  const auto* const job = state().find_job(key.first);
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

void shard_machine::impl::record_slowdowns(
    worker_entry& worker, const external::worker_report& report,
    const scheduling::class_counts& running) {
  // The throttle itself slows tasks down, so such measurements are not used.
  const bool throttled = worker.throttle.cpu_limit_percent() < 100;
  const auto comparable = [&](const external::usage_report& measured) {
    return !throttled && measured.slowdown_percent > 0 &&
           now - measured.age >= worker.neighbours_changed;
  };
  for (const auto& task : report.tasks) {
    const auto key = parse_task_name(task.id.task);
    const attempt* const entry = key ? find_attempt(*key) : nullptr;
    if (task.state != task_state::running || entry == nullptr)
      continue;
    record_usage(*key, *entry, task.usage);
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

/// @return the running batch task with the highest score; nothing while another
///   task of the worker is being evicted.
template <class Score>
std::optional<task_key> shard_machine::impl::select_eviction_candidate(
    const worker_entry& worker, Score score) const {
  std::optional<task_key> best;
  double best_score = 0;
  for (const auto& key : worker.attempts) {
    const attempt& entry = attempts.at(key);
    if (entry.evict_reason != eviction_reason::none)
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
  const auto available =
      worker.info.capacity - worker.reserved - worker.services;
  if (available.memory_mib >= 0 && available.accelerators >= 0)
    return;
  const auto key = select_eviction_candidate(worker, [](const attempt& entry) {
    return static_cast<double>(entry.reserved.memory_mib -
                               entry.declared.memory_mib);
  });
  if (key)
    evict(*key, eviction_reason::overcommitted);
}

void shard_machine::impl::control_interference(
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
    // The next step uses only measurements made after this change.
    worker.last_measured = now;
  }
  if (next != scheduling::throttle_decision::evict)
    return;
  const auto key =
      select_eviction_candidate(worker, [this](const attempt& entry) {
        return interference
            .pair_estimate(scheduling::services_class, entry.job_class)
            .excess_percent;
      });
  if (key)
    evict(*key, eviction_reason::interference);
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
    output_actions.emplace_back(actions::throttle_task{
        call, worker.info.id, attempt_id_of(key, entry), percent});
  }
}

}  // namespace vanillaladder::control
