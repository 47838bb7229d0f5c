#include <algorithm>
#include <utility>

#include "control/detail/shard_core.h"

namespace vanillaladder::control {

using namespace detail;
namespace records = coordination;

bool shard_machine::impl::may_start() const {
  return owner && !releasing && is_log_current();
}

bool shard_machine::impl::is_schedulable(const worker_entry& worker) const {
  return worker.in_instance_list &&
         worker.info.state == model::instance_state::live &&
         !policy.domains_out.contains(worker.info.domain) &&
         !policy.draining.contains(worker.info.id) &&
         !policy.dead.contains(worker.info.id);
}

void shard_machine::impl::on(const events::workers_changed& input) {
  for (auto& [id, worker] : workers)
    worker.in_instance_list = false;
  for (const auto& info : input.workers) {
    worker_entry& worker = workers[info.id];
    worker.info = info;
    worker.in_instance_list = true;
    if (const auto number = state().find_worker(info.id))
      worker.number = *number;
  }
  refresh_capacity();
  evict_from_unschedulable_workers();
}

void shard_machine::impl::on(const events::policy_changed& input) {
  const batch_policy before = std::exchange(policy, input.policy);
  if (before.domains_out != policy.domains_out ||
      before.draining != policy.draining || before.dead != policy.dead)
    shard_capacity_valid_at = now + capacity_settle_time;
  std::map<model::team_id, scheduling::team_limits> teams;
  for (const auto& [team, limit] : policy.teams)
    teams[team] = {
        limit.weight,
        scheduling::divide_quota(limit.quota, model::placement_shard_count)};
  quotas.set_limits(std::move(teams));
  checkpoint_limiter.set_rate(std::max<std::int64_t>(
      1,
      policy.max_checkpoints_per_second * 1000 / model::placement_shard_count));
  for (const auto& id : policy.dead)
    dead_since.try_emplace(id, now);
  std::erase_if(dead_since, [this](const auto& entry) {
    return !policy.dead.contains(entry.first);
  });
  for (const auto& [id, worker] : workers) {
    if (before.domains_out.contains(worker.info.domain) &&
        !policy.domains_out.contains(worker.info.domain))
      ramp.begin_ramp(id, now);
  }
  for (auto& [number, job] : pending_jobs)
    job.urgent = is_urgent_class(job.job_class);
  refresh_capacity();
  evict_from_unschedulable_workers();
}

void shard_machine::impl::refresh_capacity() {
  model::resources total;
  for (const auto& [id, worker] : workers)
    if (is_schedulable(worker))
      total += worker.info.capacity;
  quotas.set_capacity(total);
  placement_due = true;
}

void shard_machine::impl::evict_from_unschedulable_workers() {
  if (!owner)
    return;
  for (auto& [id, worker] : workers) {
    // A worker that is absent from the instance list may still be in service.
    const bool leaving = worker.in_instance_list &&
                         (worker.info.state != model::instance_state::live ||
                          policy.draining.contains(id));
    const bool domain_out = policy.domains_out.contains(worker.info.domain);
    for (const auto& key : worker.attempts) {
      attempt& entry = attempts.at(key);
      if (domain_out || leaving) {
        evict(key, domain_out ? eviction_reason::domain_out
                              : eviction_reason::instance_leaving);
      } else if (entry.evict_step == eviction_step::requested &&
                 (entry.evict_reason == eviction_reason::domain_out ||
                  entry.evict_reason == eviction_reason::instance_leaving)) {
        entry.evict_reason = eviction_reason::none;
        evicting.erase(key);
      }
    }
  }
}

std::vector<scheduling::placement_worker>
shard_machine::impl::placement_workers() {
  std::vector<scheduling::placement_worker> view;
  for (const auto& [id, worker] : workers) {
    scheduling::placement_worker entry;
    entry.id = id;
    entry.domain = worker.info.domain;
    entry.rack = worker.info.rack;
    entry.capacity = worker.info.capacity;
    entry.reserved = worker.reserved;
    entry.services = worker.services;
    entry.neighbours = worker.neighbours;
    if (worker.services != model::resources{})
      entry.neighbours[scheduling::services_class] = 1;
    entry.accepts_starts = worker.accepts_starts &&
                           !worker.current_lease.empty() && worker.number &&
                           is_schedulable(worker) &&
                           probation.allows_start(id, now) &&
                           worker.throttle.cpu_limit_percent() == 100;
    entry.usable_percent = ramp.usable_percent(id, now);
    view.push_back(std::move(entry));
  }
  return view;
}

void shard_machine::impl::place_tasks() {
  if (pending_jobs.empty() || !may_start() || now < next_placement_pass ||
      (!placement_due && now < next_blocked_placement_pass))
    return;
  update_reserved_worker();
  auto view = placement_workers();
  place_jobs(true, view);
  place_jobs(false, view);
  placement_due = pending_starts.size() >= max_starts_per_pass;
  next_placement_pass = now + placement_interval;
  next_blocked_placement_pass = now + blocked_placement_interval;
  flush_starts();
}

void shard_machine::impl::place_jobs(
    bool urgent, std::vector<scheduling::placement_worker>& view) {
  std::map<model::team_id, std::vector<records::job_number>> teams;
  for (const auto& [number, job] : pending_jobs)
    if (job.urgent == urgent)
      teams[job.team].push_back(number);
  for (auto& [team, queue] : teams)
    std::ranges::reverse(queue);  // Popped from the back, oldest first.
  while (!teams.empty() && pending_starts.size() < max_starts_per_pass) {
    const auto next =
        std::ranges::min_element(teams, {}, [this](const auto& entry) {
          return quotas.weighted_dominant_share(entry.first);
        });
    auto& queue = next->second;
    const auto number = queue.back();
    const auto job = pending_jobs.find(number);
    const bool placed =
        job != pending_jobs.end() && place_task(number, job->second, view);
    const auto remaining = pending_jobs.find(number);
    if (!placed || remaining == pending_jobs.end())
      queue.pop_back();
    if (queue.empty())
      teams.erase(next);
  }
}

bool shard_machine::impl::place_task(
    records::job_number number, pending_job& job,
    std::vector<scheduling::placement_worker>& view) {
  const task_key key{number, *job.pending.begin()};
  scheduling::placement_task task;
  task.job_class = job.job_class;
  task.urgent = job.urgent;
  task.declared = job.declared;
  task.size = usage.expected_size(state().find_job(number)->job.id,
                                  job.job_class, job.declared, now);
  if (should_await_measurement(number, job, task))
    return false;
  task.avoid = workers_to_avoid(key, job.urgent);
  task.spread = spread[number];
  const auto team = policy.teams.find(job.team);
  if (team != policy.teams.end() &&
      !quotas.allows(job.team, task.declared, team->second.quota))
    return false;
  const scheduling::placement_limits bounds{policy.reserve_percent,
                                            policy.max_class_slowdown_percent};
  const auto chosen =
      limits.first_fit
          ? scheduling::choose_first_fit(task, view, bounds)
          : scheduling::choose_worker(task, view, interference, bounds);
  if (!chosen) {
    if (!job.blocked_since)
      job.blocked_since = now;
    return false;
  }
  auto& target = view[*chosen];
  worker_entry& worker = workers[target.id];
  attempt entry;
  entry.worker = target.id;
  entry.number = state().find_task(key.first, key.second)->attempt + 1;
  entry.reserved = scheduling::reservation_size(task, target);
  entry.leases = {worker.current_lease};
  entry.epoch = epoch;
  pending_starts.push_back(
      {key.first, key.second, *worker.number, entry.number});
  probation.record_start(target.id, {task_name(key), entry.number}, now);
  add_attempt(key, std::move(entry));
  target.reserved = worker.reserved;
  target.neighbours = worker.neighbours;
  if (target.services != model::resources{})
    target.neighbours[scheduling::services_class] = 1;
  target.accepts_starts = probation.allows_start(target.id, now);
  job.blocked_since.reset();
  if (reserved_for_job == number)
    reserved_for_job.reset();
  update_pending_task(key);
  return true;
}

/// A job without measurements that is expected to use more than it declares
/// starts a single task first, so that the others reserve what this job uses
/// rather than what the largest jobs of its class use. This matters because
/// reservations are never lowered.
bool shard_machine::impl::should_await_measurement(
    records::job_number number, const pending_job& job,
    const scheduling::placement_task& task) const {
  if (task.urgent || task.size == task.declared)
    return false;
  const auto& known = *state().find_job(number);
  // Without this, tasks that finish before they are measured would run one at a
  // time.
  if (known.finished > 0 ||
      usage.has_measurement(known.job.id, job.job_class, now))
    return false;
  const auto first = attempts.lower_bound({number, 0});
  if (first == attempts.end() || first->first.first != number)
    return false;
  for (auto it = first; it != attempts.end() && it->first.first == number; ++it)
    if (it->second.sent_at && now - *it->second.sent_at >= max_measurement_wait)
      return false;
  return true;
}

std::set<model::worker_id> shard_machine::impl::workers_to_avoid(
    const task_key& key, bool urgent) const {
  std::set<model::worker_id> avoid;
  if (const auto failed = failures.find(key); failed != failures.end())
    avoid = failed->second.workers;
  if (const auto moved = moved_away_from.find(key);
      moved != moved_away_from.end())
    avoid.insert(moved->second);
  const bool has_alternative =
      std::ranges::any_of(workers, [&](const auto& entry) {
        return is_schedulable(entry.second) && !avoid.contains(entry.first);
      });
  if (!has_alternative)
    avoid.clear();
  if (reserved_for_job && *reserved_for_job != key.first && !urgent)
    avoid.insert(reserved_worker);
  return avoid;
}

void shard_machine::impl::update_reserved_worker() {
  if (reserved_for_job) {
    const auto job = pending_jobs.find(*reserved_for_job);
    const auto worker = workers.find(reserved_worker);
    if (job == pending_jobs.end() || worker == workers.end() ||
        !is_schedulable(worker->second) || !worker->second.accepts_starts)
      reserved_for_job.reset();
  }
  if (reserved_for_job)
    return;
  for (const auto& [number, job] : pending_jobs) {
    if (!job.blocked_since ||
        now - *job.blocked_since < worker_reservation_delay)
      continue;
    model::resources most_available;
    for (const auto& [id, worker] : workers) {
      const auto usable = worker.info.capacity - worker.services;
      if (!worker.accepts_starts || !is_schedulable(worker) ||
          !fits_in(job.declared, usable))
        continue;
      const auto available = usable - worker.reserved;
      if (reserved_for_job && available.cpu_millis <= most_available.cpu_millis)
        continue;
      reserved_for_job = number;
      reserved_worker = id;
      most_available = available;
    }
    if (reserved_for_job)
      return;
  }
}

void shard_machine::impl::flush_starts() {
  if (pending_starts.empty())
    return;
  count("starts", "placed", pending_starts.size());
  append(records::tasks_started{std::exchange(pending_starts, {})});
}

void shard_machine::impl::find_stragglers() {
  if (now < next_straggler_check || !is_log_current())
    return;
  next_straggler_check = now + retry_interval;
  for (auto& [key, entry] : attempts) {
    if (entry.stage != attempt_stage::running || entry.straggler ||
        !entry.running_since)
      continue;
    const auto* const job = state().find_job(key.first);
    auto expected = job == nullptr ? milliseconds(0) : job->job.expected_run;
    if (const auto known = mean_run_times.find(entry.job_class);
        known != mean_run_times.end())
      expected = std::max(expected, known->second);
    if (expected.count() <= 0 ||
        now - *entry.running_since < expected * straggler_factor)
      continue;
    entry.straggler = true;
    count("stragglers", entry.job_class);
    const auto& current_worker = entry.worker;
    const bool has_alternative = std::ranges::any_of(
        workers, [this, &current_worker](const auto& other) {
          return other.first != current_worker && other.second.accepts_starts &&
                 is_schedulable(other.second);
        });
    // Moved at most once, since the task may just take long.
    if (has_alternative &&
        moved_away_from.try_emplace(key, entry.worker).second)
      evict(key, eviction_reason::straggler);
  }
}

}  // namespace vanillaladder::control
