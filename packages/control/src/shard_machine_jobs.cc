#include <algorithm>
#include <utility>

#include "control/detail/shard_core.h"

namespace vanillaladder::control {

using namespace detail;
namespace records = coordination;

namespace {

/// @return the home shard in the prefix of a job id such as `s03-key`.
std::optional<model::shard_id> home_shard_of(const model::job_id& id) {
  if (id.size() < 4 || id[0] != 's' || id[3] != '-')
    return std::nullopt;
  const int shard = (id[1] - '0') * 10 + (id[2] - '0');
  if (shard < 0 || shard >= model::placement_shard_count)
    return std::nullopt;
  return static_cast<model::shard_id>(shard);
}

bool well_formed(const job_request& job) {
  return !job.id.empty() && job.tasks > 0 &&
         job.tasks <= records::shard_state::max_tasks &&
         job.size.cpu_millis >= 0 && job.size.memory_mib >= 0 &&
         job.size.accelerators >= 0;
}

/// @return the submission that delegates a job with the state of its tasks.
job_request make_delegation_request(const records::job_entry& entry) {
  const auto& job = entry.job;
  job_request request{job.id,
                      job.team,
                      job.class_name,
                      job.tasks,
                      job.resources,
                      job.command,
                      job.expected_run.count(),
                      job.moves + 1,
                      {}};
  for (std::uint32_t i = 0; i < entry.tasks.size(); ++i) {
    const auto& task = entry.tasks[i];
    // Cancellations are forwarded separately and then determine the final state
    // of the job, so cancelled tasks are sent as pending.
    const auto state = task.state == records::task_state::cancelled
                           ? records::task_state::pending
                           : task.state;
    if (task.attempt > 0 || state != records::task_state::pending)
      request.progress.push_back({i, state, task.attempt, task.checkpoint});
  }
  return request;
}

bool has_started_tasks(const records::job_entry& job) {
  return std::ranges::any_of(job.tasks, [](const auto& task) {
    return task.state == records::task_state::started;
  });
}

std::size_t count_attempted_tasks(const records::job_entry& job) {
  return static_cast<std::size_t>(std::ranges::count_if(
      job.tasks, [](const auto& task) { return task.attempt > 0; }));
}

}  // namespace

void shard_machine::impl::answer_submit(request_token token,
                                        submit_result result,
                                        std::string reason) {
  output_actions.emplace_back(
      actions::reply_submit{token, result, std::move(reason)});
}

std::optional<submit_result> shard_machine::impl::validate_submit(
    const job_request& job, std::string& reason) const {
  if (!owner || releasing) {
    reason = "not the owner of the shard";
    return submit_result::not_run;
  }
  if (!view_fresh || !log_reachable) {
    reason = view_fresh ? "log-unavailable" : "stale-view";
    return submit_result::not_run;
  }
  if (!well_formed(job)) {
    reason = "id, tasks or resources are out of range";
    return submit_result::unschedulable;
  }
  const auto team = policy.teams.find(job.team);
  if (team != policy.teams.end() &&
      !scheduling::within_quota(job.size, team->second.quota)) {
    reason = "one task is above the team's quota";
    return submit_result::unschedulable;
  }
  std::vector<model::worker_info> known;
  for (const auto& [id, worker] : workers)
    if (worker.in_instance_list)
      known.push_back(worker.info);
  const auto unfit = scheduling::unschedulable_reason(job.size, known);
  if ((unfit || known.empty()) && !find_better_shard(job.size, job.tasks)) {
    if (!unfit) {
      reason = "no worker is known";
      return submit_result::not_run;
    }
    reason = *unfit;
    return submit_result::unschedulable;
  }
  return std::nullopt;
}

void shard_machine::impl::on(const events::submit_job& input) {
  if (const auto known = state().find_job(input.job.id); owner && known) {
    const auto& entry = *state().find_job(*known);
    if (!entry.delegated_to || input.job.moves <= entry.job.moves) {
      answer_submit(input.token, submit_result::already_exists);
      return;
    }
  }
  std::string reason;
  if (const auto refusal = validate_submit(input.job, reason)) {
    answer_submit(input.token, *refusal, reason);
    return;
  }
  for (auto& [id, entry] : pending_records) {
    const auto* const body = std::get_if<records::job_submitted>(&entry.body);
    if (body != nullptr && body->id == input.job.id &&
        body->moves == input.job.moves) {
      entry.tokens.push_back(input.token);
      return;
    }
  }
  records::job_submitted body{input.job.id,
                              input.job.team,
                              input.job.job_class,
                              input.job.tasks,
                              input.job.size,
                              input.job.command,
                              milliseconds(input.job.expected_run_ms),
                              std::nullopt,
                              input.job.moves,
                              input.job.progress};
  const auto home = home_shard_of(input.job.id);
  if (input.delegated && home != shard)
    body.home = home;
  append(std::move(body), input.token);
}

std::optional<model::shard_id> shard_machine::impl::find_better_shard(
    const model::resources& size, std::uint32_t tasks) const {
  // Capacity reports may still date from before the last configuration change.
  if (now < shard_capacity_valid_at)
    return std::nullopt;
  bool fits_here = false;
  model::resources available;
  for (const auto& [id, worker] : workers) {
    if (!worker.in_instance_list)
      continue;
    fits_here = fits_here || fits_in(size, worker.info.capacity);
    if (worker.accepts_starts && is_schedulable(worker))
      available += scheduling::elementwise_max(
          worker.info.capacity - worker.reserved - worker.services, {});
  }
  // If a worker of this shard could hold a task, the job is only delegated to a
  // shard with resources for twice the whole job, and only while there are none
  // for a single task here.
  const auto twice = 2 * static_cast<std::int64_t>(tasks);
  const model::resources required{size.cpu_millis * twice,
                                  size.memory_mib * twice,
                                  size.accelerators * twice};
  std::optional<model::shard_id> best;
  model::resources best_available;
  for (const auto& [other, capacity] : shards) {
    if (other == shard || !fits_in(size, capacity.largest_worker))
      continue;
    if (fits_here &&
        (fits_in(size, available) || !fits_in(required, capacity.free)))
      continue;
    if (!best || capacity.free.cpu_millis > best_available.cpu_millis) {
      best = other;
      best_available = capacity.free;
    }
  }
  return best;
}

bool shard_machine::impl::try_delegate(records::job_number number) {
  const auto* const job = state().find_job(number);
  if (job == nullptr || job->ended || job->cancelled || releasing ||
      has_started_tasks(*job) ||
      count_attempted_tasks(*job) > max_attempted_tasks_to_delegate)
    return false;
  const auto remaining_tasks = job->job.tasks - job->finished - job->failed;
  const auto target = find_better_shard(job->job.resources, remaining_tasks);
  if (target)
    append(records::job_delegated{number, *target});
  return target.has_value();
}

void shard_machine::impl::on_job_submitted(records::job_number number) {
  const auto* const job = state().find_job(number);
  // The job may have returned after an earlier delegation.
  delegations.erase(number);
  delegated_cancels.erase(number);
  const bool caller_job = job != nullptr && job->job.moves == 0;
  if (!caller_job || !try_delegate(number))
    add_pending_tasks(number);
}

void shard_machine::impl::on_job_delegated(records::job_number number) {
  pending_jobs.erase(number);
  spread.erase(number);
  for (auto it = moved_away_from.lower_bound({number, 0});
       it != moved_away_from.end() && it->first.first == number;)
    it = moved_away_from.erase(it);
  for (auto it = failures.lower_bound({number, 0});
       it != failures.end() && it->first.first == number;)
    it = failures.erase(it);
  if (owner)
    delegations[number] = now;
}

/// Delegation is first considered when a submission is read back. It is
/// considered again here, since domains are taken out, workers fail and the
/// available resources of other shards become known later.
void shard_machine::impl::delegate_blocked_jobs() {
  std::vector<records::job_number> candidates;
  for (const auto& [number, entry] : pending_jobs) {
    const auto first = attempts.lower_bound({number, 0});
    const bool started =
        first != attempts.end() && first->first.first == number;
    const auto* const job = state().find_job(number);
    if (started || job == nullptr)
      continue;
    const bool is_new = job->job.moves == 0 && count_attempted_tasks(*job) == 0;
    const bool blocked =
        entry.blocked_since &&
        now - *entry.blocked_since >= min_blocked_before_delegation;
    if (is_new || blocked)
      candidates.push_back(number);
  }
  for (const auto number : candidates) {
    // Nothing may start while the delegation is in flight. The tasks become
    // pending again if the delegation record turns out to be invalid.
    if (try_delegate(number))
      pending_jobs.erase(number);
  }
}

void shard_machine::impl::resend_delegations() {
  for (auto& [number, due] : delegations) {
    const auto* const job = state().find_job(number);
    if (due > now || job == nullptr || !job->delegated_to)
      continue;
    due = now + 2 * retry_interval;
    output_actions.emplace_back(actions::delegate_job{
        *job->delegated_to, make_delegation_request(*job)});
  }
  for (auto& [number, due] : delegated_cancels) {
    const auto* const job = state().find_job(number);
    // Sent only after the submission is confirmed; a delayed submission would
    // otherwise run the cancelled job.
    if (due > now || job == nullptr || !job->delegated_to ||
        delegations.contains(number))
      continue;
    due = now + 2 * retry_interval;
    output_actions.emplace_back(
        actions::cancel_delegated{*job->delegated_to, job->job.id});
  }
}

void shard_machine::impl::on(const events::delegation_done& input) {
  const auto number = state().find_job(input.job);
  if (!number || input.outcome != call_outcome::ok)
    return;
  const auto& job = *state().find_job(*number);
  if (job.delegated_to && input.moves == job.job.moves + 1 &&
      delegations.erase(*number) > 0)
    append(records::job_delegated{*number, *job.delegated_to, true});
}

void shard_machine::impl::on(const events::delegated_cancel_done& input) {
  // A refusal means that the other shard no longer has the job, which therefore
  // has ended.
  const auto number = state().find_job(input.job);
  if (number && input.outcome != call_outcome::unknown)
    delegated_cancels.erase(*number);
}

bool shard_machine::impl::is_urgent_class(const model::class_id& name) const {
  const auto found = policy.class_kinds.find(name);
  return found != policy.class_kinds.end() &&
         found->second == class_kind::urgent;
}

void shard_machine::impl::add_pending_tasks(records::job_number number) {
  const auto* const job = state().find_job(number);
  if (job == nullptr || job->ended || job->cancelled || job->delegated_to)
    return;
  for (std::uint32_t task = 0; task < job->tasks.size(); ++task)
    update_pending_task({number, task});
}

void shard_machine::impl::update_pending_task(const task_key& key) {
  const auto* const job = state().find_job(key.first);
  const auto* const task = state().find_task(key.first, key.second);
  const bool pending =
      job != nullptr && !job->delegated_to && task != nullptr &&
      task->state == records::task_state::pending && !attempts.contains(key);
  if (!pending) {
    const auto found = pending_jobs.find(key.first);
    if (found == pending_jobs.end())
      return;
    found->second.pending.erase(key.second);
    if (found->second.pending.empty())
      pending_jobs.erase(found);
    return;
  }
  pending_job& entry = pending_jobs[key.first];
  if (entry.pending.empty()) {
    entry.team = job->job.team;
    entry.job_class = job->job.class_name;
    entry.declared = job->job.resources;
    entry.urgent = is_urgent_class(entry.job_class);
  }
  entry.pending.insert(key.second);
  placement_due = true;
}

void shard_machine::impl::on(const events::cancel_job& input) {
  const auto number = state().find_job(input.job);
  const auto* const job = number ? state().find_job(*number) : nullptr;
  auto answer = [&](cancel_result result) {
    output_actions.emplace_back(actions::reply_cancel{input.token, result});
  };
  if (!owner || releasing || !view_fresh || !log_reachable)
    answer(cancel_result::not_run);
  else if (job == nullptr)
    answer(cancel_result::no_such_job);
  else if (job->cancelled || job->ended)
    answer(cancel_result::cancelled);
  else
    append(records::job_cancelled{*number}, input.token);
}

void shard_machine::impl::cancel_running(records::job_number number) {
  const auto* const job = state().find_job(number);
  pending_jobs.erase(number);
  if (job == nullptr)
    return;
  if (job->delegated_to) {
    delegated_cancels[number] = now;
    return;
  }
  const auto first = attempts.lower_bound({number, 0});
  for (auto it = first; it != attempts.end() && it->first.first == number; ++it)
    evict(it->first, eviction_reason::cancelled);
}

void shard_machine::impl::on(const events::query_job& input) {
  const auto number = state().find_job(input.job);
  actions::reply_query reply{input.token, number.has_value(), {}};
  if (number)
    reply.status = status_of(*number);
  output_actions.emplace_back(std::move(reply));
}

job_status shard_machine::impl::status_of(records::job_number number) const {
  const auto& job = *state().find_job(number);
  job_status status;
  status.id = job.job.id;
  status.team = job.job.team;
  status.job_class = job.job.class_name;
  status.finished = job.finished;
  status.failed = job.failed;
  status.cancel_requested = job.cancelled;
  if (job.delegated_to)
    status.delegated_to = *job.delegated_to;
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
    const auto state = job.tasks[i].state;
    if (state == records::task_state::pending)
      ++status.pending;
    if (state != records::task_state::started)
      continue;
    const auto found = attempts.find({number, i});
    if (found == attempts.end() || found->second.stage < attempt_stage::running)
      ++status.starting;
    else if (found->second.evict_reason != eviction_reason::none)
      ++status.evicting;
    else
      ++status.running;
  }
  if (!job.delegated_to)
    status.cancelled = job.job.tasks - job.finished - job.failed -
                       status.pending - status.starting - status.evicting -
                       status.running;
  return status;
}

}  // namespace vanillaladder::control
