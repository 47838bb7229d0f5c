#include <algorithm>
#include <utility>

#include "control/detail/shard_core.h"

namespace vanillaladder::control {

using namespace detail;
namespace records = coordination;

bool shard_machine::impl::may_start() const {
  return owner && !releasing && log_current();
}

bool shard_machine::impl::allowed(const worker_entry& worker) const {
  return worker.in_list && worker.info.state == model::instance_state::live &&
         !policy.domains_out.contains(worker.info.domain) &&
         !policy.draining.contains(worker.info.id) &&
         !policy.dead.contains(worker.info.id);
}

void shard_machine::impl::on(const events::workers_changed& input) {
  for (auto& [id, worker] : workers)
    worker.in_list = false;
  for (const auto& info : input.workers) {
    worker_entry& worker = workers[info.id];
    worker.info = info;
    worker.in_list = true;
    if (const auto number = fold().find_worker(info.id))
      worker.number = *number;
  }
  refresh_capacity();
  evict_where_not_allowed();
}

void shard_machine::impl::on(const events::policy_changed& input) {
  const batch_policy before = std::exchange(policy, input.policy);
  if (before.domains_out != policy.domains_out ||
      before.draining != policy.draining || before.dead != policy.dead)
    rooms_settle_at = now + room_settle_time;
  std::map<model::team_id, scheduling::team_limits> teams;
  for (const auto& [team, limit] : policy.teams)
    teams[team] = {
        limit.weight,
        scheduling::divide_quota(limit.quota, model::placement_shard_count)};
  quotas.set_limits(std::move(teams));
  pacer.set_rate(std::max<std::int64_t>(
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
  for (auto& [number, job] : jobs)
    job.urgent = urgent_class(job.job_class);
  refresh_capacity();
  evict_where_not_allowed();
}

void shard_machine::impl::refresh_capacity() {
  model::resources total;
  for (const auto& [id, worker] : workers)
    if (allowed(worker))
      total += worker.info.capacity;
  quotas.set_capacity(total);
  placement_due = true;
}

void shard_machine::impl::evict_where_not_allowed() {
  if (!owner)
    return;
  for (auto& [id, worker] : workers) {
    // A worker that the list does not name may only be missing from the list.
    const bool leaving =
        worker.in_list && (worker.info.state != model::instance_state::live ||
                           policy.draining.contains(id));
    const bool domain_out = policy.domains_out.contains(worker.info.domain);
    for (const auto& key : worker.attempts) {
      attempt& entry = attempts.at(key);
      if (domain_out || leaving) {
        evict(key, domain_out ? evict_reason::domain_out
                              : evict_reason::instance_leaving);
      } else if (entry.step == evict_step::wanted &&
                 (entry.evict == evict_reason::domain_out ||
                  entry.evict == evict_reason::instance_leaving)) {
        entry.evict = evict_reason::none;
        evicting.erase(key);
      }
    }
  }
}

std::vector<scheduling::placement_worker>
shard_machine::impl::placement_view() {
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
    entry.accepts_starts = worker.open && !worker.current.empty() &&
                           worker.number && allowed(worker) &&
                           probation.allows_start(id, now) &&
                           worker.throttle.cpu_limit_percent() == 100;
    entry.usable_percent = ramp.usable_percent(id, now);
    view.push_back(std::move(entry));
  }
  return view;
}

void shard_machine::impl::place() {
  if (jobs.empty() || !may_start() || now < next_pass ||
      (!placement_due && now < next_blocked_pass))
    return;
  update_hold();
  auto view = placement_view();
  place_kind(true, view);
  place_kind(false, view);
  placement_due = starts.size() >= max_starts_per_pass;
  next_pass = now + pass_interval;
  next_blocked_pass = now + blocked_pass_interval;
  flush_starts();
}

void shard_machine::impl::place_kind(
    bool urgent, std::vector<scheduling::placement_worker>& view) {
  std::map<model::team_id, std::vector<records::job_number>> teams;
  for (const auto& [number, job] : jobs)
    if (job.urgent == urgent)
      teams[job.team].push_back(number);
  for (auto& [team, queue] : teams)
    std::ranges::reverse(queue);  // The oldest is taken from the back.
  while (!teams.empty() && starts.size() < max_starts_per_pass) {
    const auto next =
        std::ranges::min_element(teams, {}, [this](const auto& entry) {
          return quotas.weighted_dominant_share(entry.first);
        });
    auto& queue = next->second;
    const auto number = queue.back();
    const auto job = jobs.find(number);
    const bool placed =
        job != jobs.end() && place_one(number, job->second, view);
    const auto left = jobs.find(number);
    if (!placed || left == jobs.end())
      queue.pop_back();
    if (queue.empty())
      teams.erase(next);
  }
}

bool shard_machine::impl::place_one(
    records::job_number number, job_track& job,
    std::vector<scheduling::placement_worker>& view) {
  const task_key key{number, *job.pending.begin()};
  scheduling::placement_task task;
  task.job_class = job.job_class;
  task.urgent = job.urgent;
  task.declared = job.declared;
  task.size = usage.expected_size(fold().find_job(number)->job.id,
                                  job.job_class, job.declared, now);
  if (awaits_measurement(number, job, task))
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
  entry.number = fold().find_task(key.first, key.second)->attempt + 1;
  entry.reserved = scheduling::reservation_size(task, target);
  entry.leases = {worker.current};
  entry.epoch = epoch;
  starts.push_back({key.first, key.second, *worker.number, entry.number});
  probation.record_start(target.id, {task_name(key), entry.number}, now);
  add_attempt(key, std::move(entry));
  target.reserved = worker.reserved;
  target.neighbours = worker.neighbours;
  if (target.services != model::resources{})
    target.neighbours[scheduling::services_class] = 1;
  target.accepts_starts = probation.allows_start(target.id, now);
  job.blocked_since.reset();
  if (held_for == number)
    held_for.reset();
  refresh_task(key);
  return true;
}

/// A job of unknown size that is expected to be larger than declared starts one
/// task first, so that the others reserve what the job uses and not what the
/// worst jobs of its class use. Reservations are not lowered later.
bool shard_machine::impl::awaits_measurement(
    records::job_number number, const job_track& job,
    const scheduling::placement_task& task) const {
  if (task.urgent || task.size == task.declared)
    return false;
  const auto& known = *fold().find_job(number);
  // Tasks that finish before they are measured would otherwise run one by one.
  if (known.finished > 0 ||
      usage.has_measurement(known.job.id, job.job_class, now))
    return false;
  const auto first = attempts.lower_bound({number, 0});
  if (first == attempts.end() || first->first.first != number)
    return false;
  for (auto it = first; it != attempts.end() && it->first.first == number; ++it)
    if (it->second.sent_at && now - *it->second.sent_at >= measurement_wait)
      return false;
  return true;
}

std::set<model::worker_id> shard_machine::impl::workers_to_avoid(
    const task_key& key, bool urgent) const {
  std::set<model::worker_id> avoid;
  if (const auto failed = failures.find(key); failed != failures.end())
    avoid = failed->second.workers;
  if (const auto moved = moved_from.find(key); moved != moved_from.end())
    avoid.insert(moved->second);
  const bool others = std::ranges::any_of(workers, [&](const auto& entry) {
    return allowed(entry.second) && !avoid.contains(entry.first);
  });
  if (!others)
    avoid.clear();
  if (held_for && *held_for != key.first && !urgent)
    avoid.insert(held_worker);
  return avoid;
}

void shard_machine::impl::update_hold() {
  if (held_for) {
    const auto job = jobs.find(*held_for);
    const auto worker = workers.find(held_worker);
    if (job == jobs.end() || worker == workers.end() ||
        !allowed(worker->second) || !worker->second.open)
      held_for.reset();
  }
  if (held_for)
    return;
  for (const auto& [number, job] : jobs) {
    if (!job.blocked_since || now - *job.blocked_since < hold_after)
      continue;
    model::resources most;
    for (const auto& [id, worker] : workers) {
      const auto usable = worker.info.capacity - worker.services;
      if (!worker.open || !allowed(worker) || !fits_in(job.declared, usable))
        continue;
      const auto free = usable - worker.reserved;
      if (held_for && free.cpu_millis <= most.cpu_millis)
        continue;
      held_for = number;
      held_worker = id;
      most = free;
    }
    if (held_for)
      return;
  }
}

void shard_machine::impl::flush_starts() {
  if (starts.empty())
    return;
  count("starts", "placed", starts.size());
  append(records::tasks_started{std::exchange(starts, {})});
}

void shard_machine::impl::find_stragglers() {
  if (now < next_straggler_check || !log_current())
    return;
  next_straggler_check = now + retry_interval;
  for (auto& [key, entry] : attempts) {
    if (entry.stage != attempt_stage::running || entry.straggler ||
        !entry.running_since)
      continue;
    const auto* const job = fold().find_job(key.first);
    auto expected = job == nullptr ? milliseconds(0) : job->job.expected_run;
    if (const auto known = run_times.find(entry.job_class);
        known != run_times.end())
      expected = std::max(expected, known->second);
    if (expected.count() <= 0 ||
        now - *entry.running_since < expected * straggler_factor)
      continue;
    entry.straggler = true;
    count("stragglers", entry.job_class);
    const auto& from = entry.worker;
    const bool elsewhere =
        std::ranges::any_of(workers, [this, &from](const auto& other) {
          return other.first != from && other.second.open &&
                 allowed(other.second);
        });
    // Moved once, since a task may simply be long.
    if (elsewhere && moved_from.try_emplace(key, entry.worker).second)
      evict(key, evict_reason::straggler);
  }
}

}  // namespace vanillaladder::control
