#include <algorithm>
#include <utility>

#include "control/detail/shard_core.h"

namespace vanillaladder::control {

using namespace detail;

call_id shard_machine::impl::new_call(call_entry entry) {
  calls.emplace(++last_call, std::move(entry));
  return last_call;
}

bool shard_machine::impl::may_renew() const {
  return now - last_contact <= milliseconds(limits.blind_renewal_limit_ms);
}

bool shard_machine::impl::log_current() const {
  return fresh && log_reachable && now - last_log_read <= log_current_limit;
}

/// Each unanswered renewal may still be in transit and extend the lease once.
milliseconds shard_machine::impl::lease_end_delay() const {
  return milliseconds(limits.lease_ms * (limits.max_unanswered_renewals + 1) *
                      (100 + limits.clock_tolerance_percent) / 100);
}

void shard_machine::impl::advance_worker(worker_entry& worker) {
  if (worker.in_list && !worker.number && !worker.registering && !releasing &&
      log_reachable) {
    worker.registering = true;
    append(coordination::worker_registered{worker.info.id});
  }
  if (policy.dead.contains(worker.info.id)) {
    const auto held = worker.attempts;
    for (const auto& key : held)
      prove_end(key, coordination::task_outcome::lost, {});
    return;
  }
  apply_time_rule(worker);
  renew_leases(worker);
  if (worker.waiting.empty() && worth_listing(worker) &&
      now >= worker.next_list)
    list(worker);
}

/// A worker that is gone for good is not asked for ever.
bool shard_machine::impl::worth_listing(const worker_entry& worker) const {
  return worker.in_list || !worker.attempts.empty();
}

void shard_machine::impl::list(worker_entry& worker) {
  const auto call = new_call({call_kind::list, worker.info.id, {}, {}, 0});
  worker.waiting.insert(call);
  worker.handshake_failed = false;
  out.emplace_back(actions::list_worker{call, worker.info.id});
}

void shard_machine::impl::retire_lease(worker_entry& worker,
                                       const lease_id& lease) {
  const auto found = worker.leases.find(lease);
  if (found != worker.leases.end())
    found->second.retired = true;
  if (worker.current == lease) {
    worker.current.clear();
    worker.open = false;
    worker.next_list = now;
  }
}

void shard_machine::impl::renew_leases(worker_entry& worker) {
  if (worker.current.empty())
    return;
  own_lease& lease = worker.leases.at(worker.current);
  if (now < lease.next_renewal || !may_renew())
    return;
  if (lease.unanswered >= limits.max_unanswered_renewals) {
    count("leases_retired", "unanswered-renewals");
    retire_lease(worker, worker.current);
    return;
  }
  ++lease.unanswered;
  lease.next_renewal = now + milliseconds(limits.lease_ms / 4);
  const auto call =
      new_call({call_kind::renew, worker.info.id, worker.current, {}, 0});
  out.emplace_back(actions::renew_lease{call, worker.info.id, worker.current});
}

void shard_machine::impl::apply_time_rule(worker_entry& worker) {
  const auto ended = [this](const auto& entry) {
    return now - entry.second.base >= lease_end_delay();
  };
  if (!worker.current.empty() &&
      now - worker.leases.at(worker.current).base >= lease_end_delay())
    retire_lease(worker, worker.current);
  std::erase_if(worker.leases, ended);
  if (now < worker.next_proof_check)
    return;
  worker.next_proof_check = now + retry_interval;
  // A worker that still answers proves the end of its tasks by its list.
  if (!worker.last_heard || now - *worker.last_heard >= lease_end_delay())
    end_without_lease(worker);
}

void shard_machine::impl::end_without_lease(worker_entry& worker) {
  const auto held = worker.attempts;
  for (const auto& key : held) {
    const attempt& entry = attempts.at(key);
    if (entry.stage != attempt_stage::sent &&
        entry.stage != attempt_stage::running)
      continue;
    const bool leased = std::ranges::any_of(
        entry.leases,
        [&](const auto& lease) { return worker.leases.contains(lease); });
    if (leased || (entry.foreign && !former_owners_gone(entry.epoch)))
      continue;
    count("attempts_ended", "time-rule");
    prove_end(key, coordination::task_outcome::lost, {});
  }
}

bool shard_machine::impl::former_owners_gone(model::epoch since) const {
  if (now - owned_since >=
      milliseconds(limits.blind_renewal_limit_ms) + lease_end_delay())
    return true;
  if (since == 0)
    return false;
  for (model::epoch at = since; at < epoch; ++at) {
    const auto found = owners.find(at);
    if (found == owners.end() || !former_owner_gone(found->second))
      return false;
  }
  return true;
}

bool shard_machine::impl::former_owner_gone(const former_owner& former) const {
  const auto delay = lease_end_delay();
  const auto& [instance, number] = former.claim;
  if (instance == self) {
    // Own leases of this process are counted one by one.
    return number == incarnation || now - *first_step >= delay;
  }
  if (former.released && now - *former.released >= delay)
    return true;
  if (const auto dead = dead_since.find(instance);
      dead != dead_since.end() && now - dead->second >= delay)
    return true;
  const auto superseded = superseded_since.find({instance, number});
  return superseded != superseded_since.end() &&
         now - superseded->second >= delay;
}

void shard_machine::impl::reconcile(worker_entry& worker,
                                    const external::worker_report& report) {
  const auto listed = [&](const lease_id& lease) {
    return std::ranges::any_of(
        report.leases, [&](const auto& entry) { return entry.lease == lease; });
  };
  if (!worker.current.empty() && !listed(worker.current)) {
    count("leases_retired", "not-listed");
    retire_lease(worker, worker.current);
  }
  worker.foreign = std::ranges::any_of(report.leases, [&](const auto& entry) {
    return !worker.leases.contains(entry.lease);
  });
  worker.next_list = now + list_interval;
  if (worker.current.empty()) {
    worker.open = false;
    if (!may_renew() || !fresh || releasing)
      return;
    const auto call = new_call({call_kind::acquire, worker.info.id, {}, {}, 0});
    worker.waiting.insert(call);
    out.emplace_back(actions::acquire_lease{
        call, worker.info.id, self + "/" + std::to_string(incarnation),
        limits.lease_ms});
    return;
  }
  if (adopt_running(worker, report) || delete_old_leases(worker, report)) {
    worker.open = false;
    return;
  }
  if (worker.orphans == 0 && !worker.foreign && !worker.open) {
    worker.open = true;
    placement_due = true;
  }
  if (worker.orphans > 0)
    worker.open = false;
}

bool shard_machine::impl::adopt_running(worker_entry& worker,
                                        const external::worker_report& report) {
  bool called = false;
  for (const auto& task : report.tasks) {
    if (task.state != external::task_state::running ||
        task.lease == worker.current || !log_current())
      continue;
    const auto key = known_task(task.id.task);
    attempt* const entry = key ? find_attempt(*key) : nullptr;
    if (entry == nullptr || entry->number != task.id.attempt ||
        entry->worker != worker.info.id || entry->adopt_tries >= 2 ||
        entry->stage == attempt_stage::ended)
      continue;
    ++entry->adopt_tries;
    entry->leases.insert(worker.current);
    const auto call = new_call({call_kind::adopt, worker.info.id,
                                worker.current, *key, entry->number});
    worker.waiting.insert(call);
    out.emplace_back(
        actions::adopt_task{call, worker.info.id, task.id, worker.current});
    called = true;
  }
  return called;
}

bool shard_machine::impl::delete_old_leases(
    worker_entry& worker, const external::worker_report& report) {
  bool old = false;
  for (const auto& entry : report.leases) {
    if (entry.lease == worker.current)
      continue;
    old = true;
    // A process that was paused must not delete the lease of its successor.
    if (!log_current())
      continue;
    const auto call =
        new_call({call_kind::delete_lease, worker.info.id, entry.lease, {}, 0});
    worker.waiting.insert(call);
    out.emplace_back(actions::delete_lease{call, worker.info.id, entry.lease});
  }
  return old;
}

void shard_machine::impl::lease_call_done(
    const call_entry& call, const events::worker_call_done& done) {
  worker_entry& worker = workers[call.worker];
  const bool ok = done.outcome == call_outcome::ok;
  if (call.kind == call_kind::renew) {
    const auto found = worker.leases.find(call.lease);
    if (found == worker.leases.end() || done.outcome == call_outcome::unknown)
      return;
    --found->second.unanswered;
    if (ok)
      found->second.base = now;
    else
      retire_lease(worker, call.lease);
    return;
  }
  worker.waiting.erase(done.call);
  if (call.kind == call_kind::acquire && ok) {
    worker.leases[done.lease] = {now, now + milliseconds(limits.lease_ms / 4),
                                 0, false};
    worker.current = done.lease;
  }
  if (call.kind == call_kind::adopt) {
    attempt* const entry = find_attempt(call.task);
    if (entry != nullptr && entry->number == call.attempt) {
      if (ok) {
        entry->leases = {call.lease};
        entry->foreign = false;
        entry->adopt_tries = 0;
      } else if (done.outcome == call_outcome::refused) {
        entry->leases.erase(call.lease);
      }
    }
  }
  worker.handshake_failed = worker.handshake_failed || !ok;
  if (worker.waiting.empty())
    worker.next_list = worker.handshake_failed ? now + retry_interval : now;
}

}  // namespace vanillaladder::control
