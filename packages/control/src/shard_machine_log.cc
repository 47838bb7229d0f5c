#include <algorithm>
#include <utility>

#include "control/detail/shard_core.h"

namespace vanillaladder::control {

using namespace detail;
namespace records = coordination;

records::record_id shard_machine::impl::append(
    records::shard_body body, std::optional<request_token> token) {
  records::record_id id = tracker.next_id();
  records::shard_record record{id, epoch, std::move(body)};
  if (std::holds_alternative<records::owner_claimed>(record.body))
    record.epoch = state().epoch() + 1;
  tracker.add(id, records::encode(record), now);
  pending_record& entry = pending_records[id.sequence];
  if (token)
    entry.tokens.push_back(*token);
  entry.body = std::move(record.body);
  return id;
}

void shard_machine::impl::poll_log() {
  if (owner && !releasing && !snapshot_pending && reader.should_snapshot()) {
    append(state().to_snapshot());
    snapshot_pending = true;
  }
  while (auto batch = tracker.poll(now))
    output_actions.emplace_back(actions::append{std::move(*batch)});
}

void shard_machine::impl::on(const events::log_read& input) {
  last_log_read = now;
  const auto gaps = reader.counters().gaps;
  const auto records = reader.on_read(input.read);
  if (reader.has_state() && owners_by_epoch.empty() && state().owner())
    owners_by_epoch[state().epoch()] = {*state().owner(), {}};
  for (const auto& record : records)
    on_record_applied(record);
  tracker.on_read_position(reader.next_offset(), now);
  const bool owns = reader.has_state() && state().owned_by(own_id, incarnation);
  if (owner &&
      (!owns || state().epoch() != epoch || reader.counters().gaps != gaps))
    lose_ownership();
  if (!owner && owns)
    become_owner();
}

void shard_machine::impl::on(const events::append_answered& input) {
  tracker.on_acknowledged(input.number, input.at);
}

void shard_machine::impl::on(const events::append_failed& input) {
  tracker.on_failed(input.number, now);
}

void shard_machine::impl::on(const events::append_body& input) {
  if (!owner || releasing) {
    output_actions.emplace_back(actions::body_resolved{
        input.token, records::append_outcome::invalid, {}});
    return;
  }
  const auto id = append(input.body, input.token);
  pending_records[id.sequence].caller_record = true;
}

void shard_machine::impl::on_record_applied(
    const records::shard_reader::applied_record& record) {
  const auto& result = record.result;
  const bool duplicate =
      result.verdict == records::shard_verdict::duplicate_record;
  const auto resolution = tracker.on_read(record.offset, record.record.id,
                                          result.valid(), duplicate);
  if (result.valid() && !duplicate) {
    std::visit(overload{[&](const records::owner_claimed& body) {
                          owners_by_epoch[record.record.epoch] = {body, {}};
                        },
                        [&](const records::owner_released&) {
                          owners_by_epoch[record.record.epoch].released = now;
                        },
                        [&](const records::job_submitted&) {
                          if (owner && result.job)
                            on_job_submitted(*result.job);
                        },
                        [&](const records::job_delegated& body) {
                          if (!body.confirmed)
                            on_job_delegated(body.job);
                        },
                        [&](const records::job_cancelled& body) {
                          if (owner)
                            cancel_running(body.job);
                        },
                        [&](const records::tasks_started& body) {
                          on_tasks_started(body, record.record.epoch, result);
                        },
                        [&](const records::tasks_ended& body) {
                          on_tasks_ended(body);
                        },
                        [&](const records::worker_registered& body) {
                          if (owner)
                            workers[body.worker].number = result.worker;
                        },
                        [](const auto&) {}},
               record.record.body);
  }
  if (resolution)
    on_append_resolved(*resolution, result);
}

void shard_machine::impl::on_tasks_started(
    const records::tasks_started& body, model::epoch writer_epoch,
    const records::shard_result& result) {
  for (std::size_t i = 0; i < body.starts.size(); ++i) {
    const auto& start = body.starts[i];
    if (std::ranges::find(result.rejected, i) != result.rejected.end())
      continue;
    const task_key key{start.job, start.task};
    start_epochs[key] = writer_epoch;
    attempt* const entry = find_attempt(key);
    if (entry == nullptr || entry->number != start.attempt ||
        entry->stage != attempt_stage::unrecorded)
      continue;
    entry->stage = attempt_stage::recorded;
    unsent_starts.insert(key);
  }
}

void shard_machine::impl::on_tasks_ended(const records::tasks_ended& body) {
  for (const auto& end : body.ends) {
    const task_key key{end.job, end.task};
    attempt* const entry = find_attempt(key);
    if (entry != nullptr && entry->number == end.attempt &&
        entry->stage == attempt_stage::ended) {
      if (entry->listed_end) {
        const auto call = new_call(
            {call_kind::acknowledge, entry->worker, {}, key, entry->number});
        output_actions.emplace_back(actions::acknowledge_end{
            call, entry->worker, attempt_id_of(key, *entry)});
      }
      remove_attempt(key);
    }
    if (owner)
      update_pending_task(key);
    const auto* const job = state().find_job(end.job);
    if (job == nullptr || job->ended) {
      pending_jobs.erase(end.job);
      spread.erase(end.job);
      if (job != nullptr)
        probation.forget_job(job->job.id);
    }
    const auto* const task = state().find_task(end.job, end.task);
    if (task == nullptr || task->state != records::task_state::pending) {
      failures.erase(key);
      moved_away_from.erase(key);
      start_epochs.erase(key);
    }
  }
}

void shard_machine::impl::on_append_resolved(
    const records::append_resolution& resolution,
    const records::shard_result& result) {
  const auto found = pending_records.find(resolution.id.sequence);
  if (found == pending_records.end())
    return;
  const pending_record entry = std::move(found->second);
  pending_records.erase(found);
  const bool valid = resolution.outcome == records::append_outcome::valid;
  const bool unknown = resolution.outcome == records::append_outcome::unknown;
  if (entry.caller_record) {
    for (const auto token : entry.tokens)
      output_actions.emplace_back(
          actions::body_resolved{token, resolution.outcome, result});
    return;
  }
  std::visit(
      overload{
          [&](const records::owner_claimed&) { claim_pending = false; },
          [&](const records::owner_released&) { release_pending = false; },
          [&](const records::shard_snapshot&) { snapshot_pending = false; },
          [&](const records::worker_registered& body) {
            workers[body.worker].registering = false;
          },
          [&](const records::job_submitted&) {
            auto answer = submit_result::not_run;
            if (valid)
              answer = submit_result::created;
            else if (result.verdict == records::shard_verdict::already_exists)
              answer = submit_result::already_exists;
            else if (unknown)
              answer = submit_result::unknown;
            for (const auto token : entry.tokens)
              answer_submit(token, answer);
          },
          [&](const records::job_cancelled& body) {
            const auto* const job = state().find_job(body.job);
            auto answer = cancel_result::not_run;
            if (valid || (job != nullptr && (job->cancelled || job->ended)))
              answer = cancel_result::cancelled;
            else if (unknown)
              answer = cancel_result::unknown;
            for (const auto token : entry.tokens)
              output_actions.emplace_back(actions::reply_cancel{token, answer});
          },
          [&](const records::job_delegated& body) {
            if (owner && !valid && !body.confirmed)
              add_pending_tasks(body.job);
          },
          [&](const records::tasks_started& body) {
            for (const auto& start : body.starts) {
              const task_key key{start.job, start.task};
              const attempt* const refused = find_attempt(key);
              if (refused == nullptr || refused->number != start.attempt ||
                  refused->stage != attempt_stage::unrecorded)
                continue;
              probation.record_success(refused->worker,
                                       {task_name(key), refused->number});
              remove_attempt(key);
              update_pending_task(key);
            }
          },
          [](const auto&) {}},
      entry.body);
}

void shard_machine::impl::on(const events::claim_shard& /*input*/) {
  if (owner || claim_pending || draining || !view_fresh || !log_reachable ||
      reader.status() != records::reader_status::at_end)
    return;
  claim_pending = true;
  append(records::owner_claimed{own_id, incarnation});
}

void shard_machine::impl::on(const events::release_shard& /*input*/) {
  releasing = releasing || owner;
}

void shard_machine::impl::on(const events::drain_requested& /*input*/) {
  draining = true;
  releasing = releasing || owner;
}

void shard_machine::impl::continue_release() {
  if (!releasing || release_pending)
    return;
  const auto keys = unsent_starts;
  for (const auto& key : keys)
    end_attempt(key, records::task_outcome::lost, {});
  flush_ends();
  if (!pending_records.empty())
    return;
  append(records::owner_released{});
  release_pending = true;
}

void shard_machine::impl::become_owner() {
  owner = true;
  epoch = state().epoch();
  owned_since = now;
  releasing = draining;
  placement_due = true;
  on(events::members_changed{members});
  const auto& registered = state().workers();
  for (std::size_t i = 0; i < registered.size(); ++i)
    workers[registered[i]].number = static_cast<worker_number>(i);
  for (auto& [id, worker] : workers) {
    worker.info.id = id;
    worker.has_former_owner_leases = true;
    worker.next_list = now;
    worker.last_report_at.reset();
  }
  for (const auto& start : state().running_attempts()) {
    const task_key key{start.job, start.task};
    attempt entry;
    entry.worker = registered[start.worker];
    entry.number = start.attempt;
    entry.stage = attempt_stage::sent;
    entry.under_former_owner_lease = true;
    for (const auto& [lease, held] : workers[entry.worker].leases)
      entry.leases.insert(lease);
    const auto known = start_epochs.find(key);
    // Snapshots do not contain the epochs of starts. The writer of the snapshot
    // had taken over the workers, so its epoch is used for them.
    entry.epoch = known != start_epochs.end() ? known->second
                  : owners_by_epoch.empty()   ? 0
                                              : owners_by_epoch.begin()->first;
    add_attempt(key, std::move(entry));
  }
  for (const auto& [number, job] : state().jobs()) {
    if (job.delegated_to && !job.tasks.empty())
      delegations[number] = now;
    else if (!job.ended && !try_delegate(number))
      add_pending_tasks(number);
    if (job.cancelled)
      cancel_running(number);
  }
  evict_from_unschedulable_workers();
}

void shard_machine::impl::lose_ownership() {
  owner = false;
  releasing = false;
  attempts.clear();
  unsent_starts.clear();
  evicting.clear();
  pending_ends.clear();
  pending_starts.clear();
  pending_jobs.clear();
  spread.clear();
  open_calls.clear();
  delegations.clear();
  delegated_cancels.clear();
  reserved_for_job.reset();
  quotas = {};
  on(events::policy_changed{policy});
  for (auto& [id, worker] : workers) {
    worker.accepts_starts = false;
    worker.registering = false;
    worker.current_lease.clear();
    worker.pending_calls.clear();
    worker.attempts.clear();
    worker.reserved = {};
    worker.neighbours.clear();
    worker.orphans = 0;
    for (auto& [lease, held] : worker.leases)
      held.retired = true;
  }
  abandon_records();
}

void shard_machine::impl::abandon_records() {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, entry] : pending_records)
    numbers.push_back(number);
  for (const auto number : numbers)
    if (const auto resolution = tracker.abandon({own_id, incarnation, number}))
      on_append_resolved(*resolution, {});
  pending_records.clear();
  snapshot_pending = false;
  claim_pending = false;
  release_pending = false;
}

}  // namespace vanillaladder::control
