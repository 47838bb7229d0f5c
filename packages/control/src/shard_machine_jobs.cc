#include <algorithm>
#include <utility>

#include "control/detail/shard_core.h"

namespace vanillaladder::control {

using namespace detail;
namespace records = coordination;

namespace {

/// @return the home shard that a job id such as `s03-key` names.
std::optional<model::shard_id> shard_of(const model::job_id& id) {
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

job_request request_of(const records::job_submitted& job) {
  return {job.id,        job.team,    job.class_name,          job.tasks,
          job.resources, job.command, job.expected_run.count()};
}

}  // namespace

void shard_machine::impl::answer_submit(request_token token,
                                        submit_result result,
                                        std::string reason) {
  out.emplace_back(actions::reply_submit{token, result, std::move(reason)});
}

std::optional<submit_result> shard_machine::impl::refuse_submit(
    const job_request& job, std::string& reason) const {
  if (!owner || releasing) {
    reason = "not the owner of the shard";
    return submit_result::not_run;
  }
  if (!fresh || !log_reachable) {
    reason = fresh ? "log-unavailable" : "stale-view";
    return submit_result::not_run;
  }
  if (!well_formed(job)) {
    reason = "id, tasks or resources are out of range";
    return submit_result::never_fits;
  }
  const auto team = policy.teams.find(job.team);
  if (team != policy.teams.end() &&
      !scheduling::within_quota(job.size, team->second.quota)) {
    reason = "one task is above the team's quota";
    return submit_result::never_fits;
  }
  std::vector<model::worker_info> known;
  for (const auto& [id, worker] : workers)
    if (worker.in_list)
      known.push_back(worker.info);
  const auto unfit = scheduling::never_fits(job.size, known);
  if ((unfit || known.empty()) && !better_shard(job.size, job.tasks)) {
    if (!unfit) {
      reason = "no worker is known";
      return submit_result::not_run;
    }
    reason = *unfit;
    return submit_result::never_fits;
  }
  return std::nullopt;
}

void shard_machine::impl::on(const events::submit_job& input) {
  if (const auto known = fold().find_job(input.job.id); owner && known) {
    answer_submit(input.token, submit_result::exists);
    return;
  }
  std::string reason;
  if (const auto refusal = refuse_submit(input.job, reason)) {
    answer_submit(input.token, *refusal, reason);
    return;
  }
  for (auto& [id, entry] : waiting) {
    const auto* const body = std::get_if<records::job_submitted>(&entry.body);
    if (body != nullptr && body->id == input.job.id) {
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
                              std::nullopt};
  if (input.delegated)
    body.home = shard_of(input.job.id);
  append(std::move(body), input.token);
}

std::optional<model::shard_id> shard_machine::impl::better_shard(
    const model::resources& size, std::uint32_t tasks) const {
  // The rooms may still be those from before the change.
  if (now < rooms_settle_at)
    return std::nullopt;
  bool holds = false;
  model::resources free;
  for (const auto& [id, worker] : workers) {
    if (!worker.in_list)
      continue;
    holds = holds || fits_in(size, worker.info.capacity);
    if (worker.open && allowed(worker))
      free += scheduling::larger_of(
          worker.info.capacity - worker.reserved - worker.services, {});
  }
  // Much more room: the whole job twice over, where here is not enough for
  // one task.
  const auto twice = 2 * static_cast<std::int64_t>(tasks);
  const model::resources wanted{size.cpu_millis * twice,
                                size.memory_mib * twice,
                                size.accelerators * twice};
  std::optional<model::shard_id> best;
  model::resources best_free;
  for (const auto& [other, room] : shards) {
    if (other == shard || !fits_in(size, room.largest_worker))
      continue;
    if (holds && (fits_in(size, free) || !fits_in(wanted, room.free)))
      continue;
    if (!best || room.free.cpu_millis > best_free.cpu_millis) {
      best = other;
      best_free = room.free;
    }
  }
  return best;
}

void shard_machine::impl::delegate_if_better(records::job_number number) {
  const auto* const job = fold().find_job(number);
  if (job == nullptr || job->ended || job->cancelled)
    return;
  const bool untouched = std::ranges::all_of(
      job->tasks, [](const auto& task) { return task.attempt == 0; });
  if (!job->job.home && untouched && !releasing) {
    if (const auto to = better_shard(job->job.resources, job->job.tasks)) {
      append(records::job_delegated{number, *to});
      return;  // Tracked here only if the record turns out to be invalid.
    }
  }
  track_job(number);
}

/// A job is first weighed when its submission is read back; domains go out and
/// the room of other shards becomes known later.
void shard_machine::impl::delegate_blocked_jobs() {
  std::vector<records::job_number> untouched;
  for (const auto& [number, track] : jobs) {
    const auto first = attempts.lower_bound({number, 0});
    const bool started =
        first != attempts.end() && first->first.first == number;
    const auto* const job = fold().find_job(number);
    if (!started && job != nullptr && track.pending.size() == job->job.tasks)
      untouched.push_back(number);
  }
  for (const auto number : untouched) {
    // Not tracked while the delegation is in flight, so that it starts nothing.
    jobs.erase(number);
    delegate_if_better(number);
  }
}

void shard_machine::impl::resend_delegations() {
  for (auto& [number, due] : delegations) {
    const auto* const job = fold().find_job(number);
    if (due > now || job == nullptr || !job->delegated_to)
      continue;
    due = now + 2 * retry_interval;
    out.emplace_back(
        actions::delegate_job{*job->delegated_to, request_of(job->job)});
  }
  for (auto& [number, due] : delegated_cancels) {
    const auto* const job = fold().find_job(number);
    // Cancelled only after the submission has arrived for certain; a late
    // submission would otherwise run the cancelled job.
    if (due > now || job == nullptr || !job->delegated_to ||
        delegations.contains(number))
      continue;
    due = now + 2 * retry_interval;
    out.emplace_back(
        actions::cancel_delegated{*job->delegated_to, job->job.id});
  }
}

void shard_machine::impl::on(const events::delegation_done& input) {
  const auto number = fold().find_job(input.job);
  if (number && input.outcome == call_outcome::ok)
    delegations.erase(*number);
}

void shard_machine::impl::on(const events::delegated_cancel_done& input) {
  const auto number = fold().find_job(input.job);
  if (number && input.outcome == call_outcome::ok)
    delegated_cancels.erase(*number);
}

bool shard_machine::impl::urgent_class(const model::class_id& name) const {
  const auto found = policy.class_kinds.find(name);
  return found != policy.class_kinds.end() &&
         found->second == class_kind::urgent;
}

void shard_machine::impl::track_job(records::job_number number) {
  const auto* const job = fold().find_job(number);
  if (job == nullptr || job->ended || job->cancelled || job->delegated_to)
    return;
  for (std::uint32_t task = 0; task < job->tasks.size(); ++task)
    refresh_task({number, task});
}

void shard_machine::impl::refresh_task(const task_key& key) {
  const auto* const job = fold().find_job(key.first);
  const auto* const task = fold().find_task(key.first, key.second);
  const bool pending =
      job != nullptr && !job->delegated_to && task != nullptr &&
      task->state == records::task_state::pending && !attempts.contains(key);
  if (!pending) {
    const auto found = jobs.find(key.first);
    if (found == jobs.end())
      return;
    found->second.pending.erase(key.second);
    if (found->second.pending.empty())
      jobs.erase(found);
    return;
  }
  job_track& track = jobs[key.first];
  if (track.pending.empty()) {
    track.team = job->job.team;
    track.job_class = job->job.class_name;
    track.declared = job->job.resources;
    track.urgent = urgent_class(track.job_class);
  }
  track.pending.insert(key.second);
  placement_due = true;
}

void shard_machine::impl::on(const events::cancel_job& input) {
  const auto number = fold().find_job(input.job);
  const auto* const job = number ? fold().find_job(*number) : nullptr;
  auto answer = [&](cancel_result result) {
    out.emplace_back(actions::reply_cancel{input.token, result});
  };
  if (!owner || releasing || !fresh || !log_reachable)
    answer(cancel_result::not_run);
  else if (job == nullptr)
    answer(cancel_result::no_such_job);
  else if (job->cancelled || job->ended)
    answer(cancel_result::cancelled);
  else
    append(records::job_cancelled{*number}, input.token);
}

void shard_machine::impl::cancel_running(records::job_number number) {
  const auto* const job = fold().find_job(number);
  jobs.erase(number);
  if (job == nullptr)
    return;
  if (job->delegated_to) {
    delegated_cancels[number] = now;
    return;
  }
  const auto first = attempts.lower_bound({number, 0});
  for (auto it = first; it != attempts.end() && it->first.first == number; ++it)
    evict(it->first, evict_reason::cancelled);
}

void shard_machine::impl::on(const events::query_job& input) {
  const auto number = fold().find_job(input.job);
  actions::reply_query reply{input.token, number.has_value(), {}};
  if (number)
    reply.status = status_of(*number);
  out.emplace_back(std::move(reply));
}

job_status shard_machine::impl::status_of(records::job_number number) const {
  const auto& job = *fold().find_job(number);
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
    else if (found->second.evict != evict_reason::none)
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
