#include <algorithm>
#include <utility>

#include "control/detail/shard_core.h"

namespace vanillaladder::control {

using namespace detail;
namespace records = coordination;

namespace {

/// Larger batches are split into several records, since each record is a single
/// log entry.
constexpr std::size_t max_ends_per_record = 512;

const char* name_of(eviction_reason reason) {
  switch (reason) {
    case eviction_reason::none:
      return "none";
    case eviction_reason::cancelled:
      return "cancelled";
    case eviction_reason::domain_out:
      return "domain-out";
    case eviction_reason::instance_leaving:
      return "instance-leaving";
    case eviction_reason::overcommitted:
      return "overcommitted";
    case eviction_reason::interference:
      return "interference";
    case eviction_reason::straggler:
      return "straggler";
  }
  return "unknown";
}

}  // namespace

attempt* shard_machine::impl::find_attempt(const task_key& key) {
  const auto found = attempts.find(key);
  return found == attempts.end() ? nullptr : &found->second;
}

std::string shard_machine::impl::task_name(const task_key& key) const {
  const auto* const job = state().find_job(key.first);
  return (job == nullptr ? std::string{} : job->job.id) + ":" +
         std::to_string(key.second);
}

attempt_id shard_machine::impl::attempt_id_of(const task_key& key,
                                              const attempt& entry) const {
  return {task_name(key), entry.number};
}

void shard_machine::impl::add_attempt(const task_key& key, attempt entry) {
  const auto& job = state().find_job(key.first)->job;
  entry.team = job.team;
  entry.job_class = job.class_name;
  entry.declared = job.resources;
  entry.urgent = is_urgent_class(job.class_name);
  const auto size = scheduling::elementwise_max(entry.reserved, entry.declared);
  entry.reserved = {};
  worker_entry& worker = workers[entry.worker];
  worker.attempts.insert(key);
  ++worker.neighbours[entry.job_class];
  worker.neighbours_changed = now;
  auto& counts = spread[key.first];
  ++counts[worker.info.domain];
  ++counts[worker.info.domain + "/" + worker.info.rack];
  attempt& added = attempts[key] = std::move(entry);
  set_reserved(added, size);
}

void shard_machine::impl::set_reserved(attempt& entry,
                                       const model::resources& size) {
  worker_entry& worker = workers[entry.worker];
  worker.reserved += size - entry.reserved;
  quotas.charge(entry.team, size - entry.reserved);
  entry.reserved = size;
}

void shard_machine::impl::release_resources(const task_key& key,
                                            attempt& entry) {
  worker_entry& worker = workers[entry.worker];
  if (worker.attempts.erase(key) == 0)
    return;
  worker.reserved -= entry.reserved;
  quotas.release(entry.team, entry.reserved);
  entry.reserved = {};
  if (--worker.neighbours[entry.job_class] == 0)
    worker.neighbours.erase(entry.job_class);
  worker.neighbours_changed = now;
  auto& counts = spread[key.first];
  --counts[worker.info.domain];
  --counts[worker.info.domain + "/" + worker.info.rack];
  evicting.erase(key);
  unsent_starts.erase(key);
  placement_due = true;
}

void shard_machine::impl::remove_attempt(const task_key& key) {
  const auto found = attempts.find(key);
  if (found == attempts.end())
    return;
  release_resources(key, found->second);
  attempts.erase(found);
}

void shard_machine::impl::end_attempt(const task_key& key,
                                      records::task_outcome outcome,
                                      std::string checkpoint) {
  const auto found = attempts.find(key);
  if (found == attempts.end() || found->second.stage == attempt_stage::ended ||
      found->second.stage == attempt_stage::unrecorded)
    return;
  attempt& entry = found->second;
  if (outcome == records::task_outcome::evicted)
    count("evictions", name_of(entry.evict_reason));
  entry.stage = attempt_stage::ended;
  release_resources(key, entry);
  pending_ends.push_back(
      {key.first, key.second, entry.number, outcome, std::move(checkpoint)});
}

void shard_machine::impl::flush_ends() {
  if (release_pending)
    return;
  for (std::size_t begin = 0; begin < pending_ends.size();
       begin += max_ends_per_record) {
    const auto end = std::min(pending_ends.size(), begin + max_ends_per_record);
    append(
        records::tasks_ended{{pending_ends.begin() + static_cast<long>(begin),
                              pending_ends.begin() + static_cast<long>(end)}});
  }
  pending_ends.clear();
}

void shard_machine::impl::send_starts() {
  const auto keys = unsent_starts;
  for (const auto& key : keys)
    send_start(key, attempts.at(key));
}

void shard_machine::impl::send_start(const task_key& key, attempt& entry) {
  const worker_entry& worker = workers[entry.worker];
  const auto* const job = state().find_job(key.first);
  const bool is_obsolete = job == nullptr || job->cancelled ||
                           !is_schedulable(worker) ||
                           !entry.leases.contains(worker.current_lease);
  if (is_obsolete) {
    // The start was never sent, so the attempt has certainly not run.
    probation.record_success(entry.worker, {task_name(key), entry.number});
    count("starts_withdrawn", "not-allowed-any-more");
    end_attempt(key, records::task_outcome::lost, {});
    return;
  }
  if (!may_start() || !worker.accepts_starts)
    return;
  unsent_starts.erase(key);
  entry.stage = attempt_stage::sent;
  entry.sent_at = now;
  const auto* const task = state().find_task(key.first, key.second);
  const auto call = new_call({call_kind::start, entry.worker,
                              worker.current_lease, key, entry.number});
  output_actions.emplace_back(actions::start_task{
      call,
      entry.worker,
      {worker.current_lease, attempt_id_of(key, entry), entry.declared,
       job->job.command, task->checkpoint}});
}

void shard_machine::impl::evict(const task_key& key, eviction_reason reason) {
  attempt* const entry = find_attempt(key);
  if (entry == nullptr || entry->stage == attempt_stage::ended)
    return;
  // A cancellation replaces other reasons, since it needs no checkpoint.
  if (entry->evict_reason != eviction_reason::none &&
      (reason != eviction_reason::cancelled ||
       entry->evict_step != eviction_step::requested))
    return;
  entry->evict_reason = reason;
  entry->evict_step = eviction_step::requested;
  entry->checkpoint_attempts = 0;
  entry->next_eviction_at = now;
  evicting.insert(key);
}

void shard_machine::impl::continue_evictions() {
  const auto keys = evicting;
  for (const auto& key : keys)
    if (attempt* const entry = find_attempt(key))
      continue_eviction(key, *entry);
}

void shard_machine::impl::continue_eviction(const task_key& key,
                                            attempt& entry) {
  // `send_start` withdraws unsent starts; a task that may be running is stopped
  // once the worker lists it.
  if (entry.stage != attempt_stage::running || now < entry.next_eviction_at)
    return;
  const bool rate_limited =
      entry.evict_reason == eviction_reason::domain_out ||
      entry.evict_reason == eviction_reason::instance_leaving;
  if (entry.evict_step == eviction_step::requested &&
      entry.evict_reason != eviction_reason::cancelled) {
    if (rate_limited && !checkpoint_limiter.try_acquire(now))
      return;
    entry.evict_step = eviction_step::checkpointing;
    const auto call =
        new_call({call_kind::checkpoint, entry.worker, {}, key, entry.number});
    output_actions.emplace_back(actions::checkpoint_task{
        call, entry.worker, attempt_id_of(key, entry)});
    return;
  }
  if (entry.evict_step == eviction_step::checkpointing)
    return;
  entry.evict_step = eviction_step::stopping;
  entry.next_eviction_at = now + stop_repeat_interval;
  const auto call =
      new_call({call_kind::stop, entry.worker, {}, key, entry.number});
  output_actions.emplace_back(
      actions::stop_task{call, entry.worker, attempt_id_of(key, entry)});
}

void shard_machine::impl::on_task_call_done(
    const worker_call& call, const events::worker_call_done& done) {
  attempt* const entry = find_attempt(call.task);
  if (entry == nullptr || entry->number != call.attempt ||
      entry->worker != call.worker || entry->stage == attempt_stage::ended)
    return;
  worker_entry& worker = workers[call.worker];
  const bool ok = done.outcome == call_outcome::ok;
  if (call.kind == call_kind::start) {
    if (done.outcome == call_outcome::refused) {
      // A start is sent only once per attempt, so a refused one never ran.
      const auto* const job = state().find_job(call.task.first);
      probation.record_failure(call.worker,
                               {task_name(call.task), call.attempt},
                               job == nullptr ? "" : job->job.id, now);
      count("starts_refused", "by-worker");
      end_attempt(call.task, records::task_outcome::lost, {});
    }
    worker.next_list = std::min(worker.next_list, now + busy_list_interval);
    return;
  }
  if (call.kind == call_kind::throttle && !ok)
    entry->throttle = 0;  // Forces a repeat after the next list.
  if (call.kind == call_kind::checkpoint) {
    if (!done.checkpoint.empty())
      entry->checkpoint = done.checkpoint;
    const bool repeat = done.outcome == call_outcome::unknown &&
                        ++entry->checkpoint_attempts < 2;
    if (!ok && entry->evict_reason == eviction_reason::straggler) {
      // Without a checkpoint, moving the straggler would lose its progress.
      entry->evict_reason = eviction_reason::none;
      evicting.erase(call.task);
    } else if (!repeat) {
      entry->evict_step = eviction_step::ready_to_stop;
    } else {
      entry->evict_step = eviction_step::requested;
      entry->next_eviction_at = now + retry_interval;
    }
  }
  if (call.kind == call_kind::stop) {
    if (done.outcome == call_outcome::unknown) {
      entry->evict_step = eviction_step::ready_to_stop;
      entry->next_eviction_at = now + retry_interval;
    }
    worker.next_list = std::min(worker.next_list, now);
  }
}

}  // namespace vanillaladder::control
