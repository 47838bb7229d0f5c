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
    record.epoch = fold().epoch() + 1;
  tracker.add(id, records::encode(record), now);
  waiting_record& entry = waiting[id.sequence];
  if (token)
    entry.tokens.push_back(*token);
  entry.body = std::move(record.body);
  return id;
}

void shard_machine::impl::poll_log() {
  if (owner && !releasing && !snapshot_waiting && reader.should_snapshot()) {
    append(fold().to_snapshot());
    snapshot_waiting = true;
  }
  while (auto batch = tracker.poll(now))
    out.emplace_back(actions::append{std::move(*batch)});
}

void shard_machine::impl::on(const events::log_read& input) {
  last_log_read = now;
  const auto gaps = reader.counters().gaps;
  const auto records = reader.on_read(input.read);
  if (reader.has_state() && owners.empty() && fold().owner())
    owners[fold().epoch()] = {*fold().owner(), {}};
  for (const auto& record : records)
    applied(record);
  tracker.on_read_position(reader.next_offset(), now);
  const bool owns = reader.has_state() && fold().owned_by(self, incarnation);
  if (owner &&
      (!owns || fold().epoch() != epoch || reader.counters().gaps != gaps))
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
    out.emplace_back(actions::body_resolved{
        input.token, records::append_outcome::invalid, {}});
    return;
  }
  const auto id = append(input.body, input.token);
  waiting[id.sequence].external = true;
}

void shard_machine::impl::applied(
    const records::shard_reader::applied_record& record) {
  const auto& result = record.result;
  const bool duplicate =
      result.verdict == records::shard_verdict::duplicate_record;
  const auto resolution = tracker.on_read(record.offset, record.record.id,
                                          result.valid(), duplicate);
  if (result.valid() && !duplicate) {
    std::visit(
        overload{[&](const records::owner_claimed& body) {
                   owners[record.record.epoch] = {body, {}};
                 },
                 [&](const records::owner_released&) {
                   owners[record.record.epoch].released = now;
                 },
                 [&](const records::job_submitted&) {
                   if (owner && result.job)
                     job_arrived(*result.job);
                 },
                 [&](const records::job_delegated& body) {
                   if (!body.confirmed)
                     job_left(body.job);
                 },
                 [&](const records::job_cancelled& body) {
                   if (owner)
                     cancel_running(body.job);
                 },
                 [&](const records::tasks_started& body) {
                   started_record(body, record.record.epoch, result);
                 },
                 [&](const records::tasks_ended& body) { ended_record(body); },
                 [&](const records::worker_registered& body) {
                   if (owner)
                     workers[body.worker].number = result.worker;
                 },
                 [](const auto&) {}},
        record.record.body);
  }
  if (resolution)
    resolved(*resolution, result);
}

void shard_machine::impl::started_record(const records::tasks_started& body,
                                         model::epoch writer_epoch,
                                         const records::shard_result& result) {
  for (std::size_t i = 0; i < body.starts.size(); ++i) {
    const auto& start = body.starts[i];
    if (std::ranges::find(result.rejected, i) != result.rejected.end())
      continue;
    const task_key key{start.job, start.task};
    start_epochs[key] = writer_epoch;
    attempt* const entry = find_attempt(key);
    if (entry == nullptr || entry->number != start.attempt ||
        entry->stage != attempt_stage::intent)
      continue;
    entry->stage = attempt_stage::accepted;
    unsent.insert(key);
  }
}

void shard_machine::impl::ended_record(const records::tasks_ended& body) {
  for (const auto& end : body.ends) {
    const task_key key{end.job, end.task};
    attempt* const entry = find_attempt(key);
    if (entry != nullptr && entry->number == end.attempt &&
        entry->stage == attempt_stage::ended) {
      if (entry->listed_end) {
        const auto call = new_call(
            {call_kind::acknowledge, entry->worker, {}, key, entry->number});
        out.emplace_back(
            actions::acknowledge_end{call, entry->worker, id_of(key, *entry)});
      }
      drop_attempt(key);
    }
    if (owner)
      refresh_task(key);
    const auto* const job = fold().find_job(end.job);
    if (job == nullptr || job->ended) {
      jobs.erase(end.job);
      spread.erase(end.job);
      if (job != nullptr)
        probation.forget_job(job->job.id);
    }
    const auto* const task = fold().find_task(end.job, end.task);
    if (task == nullptr || task->state != records::task_state::pending) {
      failures.erase(key);
      moved_from.erase(key);
      start_epochs.erase(key);
    }
  }
}

void shard_machine::impl::resolved(const records::append_resolution& resolution,
                                   const records::shard_result& result) {
  const auto found = waiting.find(resolution.id.sequence);
  if (found == waiting.end())
    return;
  const waiting_record entry = std::move(found->second);
  waiting.erase(found);
  const bool valid = resolution.outcome == records::append_outcome::valid;
  const bool unknown = resolution.outcome == records::append_outcome::unknown;
  if (entry.external) {
    for (const auto token : entry.tokens)
      out.emplace_back(
          actions::body_resolved{token, resolution.outcome, result});
    return;
  }
  std::visit(
      overload{
          [&](const records::owner_claimed&) { claim_waiting = false; },
          [&](const records::owner_released&) { release_waiting = false; },
          [&](const records::shard_snapshot&) { snapshot_waiting = false; },
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
            const auto* const job = fold().find_job(body.job);
            auto answer = cancel_result::not_run;
            if (valid || (job != nullptr && (job->cancelled || job->ended)))
              answer = cancel_result::cancelled;
            else if (unknown)
              answer = cancel_result::unknown;
            for (const auto token : entry.tokens)
              out.emplace_back(actions::reply_cancel{token, answer});
          },
          [&](const records::job_delegated& body) {
            if (owner && !valid && !body.confirmed)
              track_job(body.job);
          },
          [&](const records::tasks_started& body) {
            for (const auto& start : body.starts) {
              const task_key key{start.job, start.task};
              const attempt* const refused = find_attempt(key);
              if (refused == nullptr || refused->number != start.attempt ||
                  refused->stage != attempt_stage::intent)
                continue;
              probation.record_success(refused->worker,
                                       {task_name(key), refused->number});
              drop_attempt(key);
              refresh_task(key);
            }
          },
          [](const auto&) {}},
      entry.body);
}

void shard_machine::impl::on(const events::claim_shard& /*input*/) {
  if (owner || claim_waiting || draining || !fresh || !log_reachable ||
      reader.status() != records::reader_status::at_end)
    return;
  claim_waiting = true;
  append(records::owner_claimed{self, incarnation});
}

void shard_machine::impl::on(const events::release_shard& /*input*/) {
  releasing = releasing || owner;
}

void shard_machine::impl::on(const events::drain_requested& /*input*/) {
  draining = true;
  releasing = releasing || owner;
}

void shard_machine::impl::continue_release() {
  if (!releasing || release_waiting)
    return;
  const auto keys = unsent;
  for (const auto& key : keys)
    prove_end(key, records::task_outcome::lost, {});
  flush_ends();
  if (!waiting.empty())
    return;
  append(records::owner_released{});
  release_waiting = true;
}

void shard_machine::impl::become_owner() {
  owner = true;
  epoch = fold().epoch();
  owned_since = now;
  releasing = draining;
  placement_due = true;
  on(events::members_changed{members});
  const auto& registered = fold().workers();
  for (std::size_t i = 0; i < registered.size(); ++i)
    workers[registered[i]].number = static_cast<worker_number>(i);
  for (auto& [id, worker] : workers) {
    worker.info.id = id;
    worker.foreign = true;
    worker.next_list = now;
    worker.last_heard.reset();
  }
  for (const auto& start : fold().running_attempts()) {
    const task_key key{start.job, start.task};
    attempt entry;
    entry.worker = registered[start.worker];
    entry.number = start.attempt;
    entry.stage = attempt_stage::sent;
    entry.foreign = true;
    for (const auto& [lease, held] : workers[entry.worker].leases)
      entry.leases.insert(lease);
    const auto known = start_epochs.find(key);
    // A snapshot does not carry epochs of starts. Its writer had taken over
    // the workers, so its epoch stands for those.
    entry.epoch = known != start_epochs.end() ? known->second
                  : owners.empty()            ? 0
                                              : owners.begin()->first;
    add_attempt(key, std::move(entry));
  }
  for (const auto& [number, job] : fold().jobs()) {
    if (job.delegated_to && !job.tasks.empty())
      delegations[number] = now;
    else if (!job.ended && !delegate_if_better(number))
      track_job(number);
    if (job.cancelled)
      cancel_running(number);
  }
  evict_where_not_allowed();
}

void shard_machine::impl::lose_ownership() {
  owner = false;
  releasing = false;
  attempts.clear();
  unsent.clear();
  evicting.clear();
  ends.clear();
  starts.clear();
  jobs.clear();
  spread.clear();
  calls.clear();
  delegations.clear();
  delegated_cancels.clear();
  held_for.reset();
  quotas = {};
  on(events::policy_changed{policy});
  for (auto& [id, worker] : workers) {
    worker.open = false;
    worker.registering = false;
    worker.current.clear();
    worker.waiting.clear();
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
  for (const auto& [number, entry] : waiting)
    numbers.push_back(number);
  for (const auto number : numbers)
    if (const auto resolution = tracker.abandon({self, incarnation, number}))
      resolved(*resolution, {});
  waiting.clear();
  snapshot_waiting = false;
  claim_waiting = false;
  release_waiting = false;
}

}  // namespace vanillaladder::control
