#include <algorithm>
#include <utility>

#include "control/detail/shard_core.h"

namespace vanillaladder::control {

using namespace detail;

call_id shard_machine::impl::new_call(worker_call entry) {
  open_calls.emplace(++last_call_id, std::move(entry));
  return last_call_id;
}

bool shard_machine::impl::may_renew() const {
  return now - last_contact <= milliseconds(limits.blind_renewal_limit_ms);
}

bool shard_machine::impl::is_log_current() const {
  return view_fresh && log_reachable && now - last_log_read <= max_log_read_age;
}

/// Upper bound of the time from the last answered renewal to the expiry of the
/// lease: each unanswered renewal may still be in transit and extend it once.
milliseconds shard_machine::impl::max_lease_lifetime() const {
  return milliseconds(limits.lease_ms * (limits.max_unanswered_renewals + 1) *
                      (100 + limits.clock_tolerance_percent) / 100);
}

void shard_machine::impl::advance_worker(worker_entry& worker) {
  if (worker.in_instance_list && !worker.number && !worker.registering &&
      !releasing && log_reachable) {
    worker.registering = true;
    append(coordination::worker_registered{worker.info.id});
  }
  if (policy.dead.contains(worker.info.id)) {
    const auto keys = worker.attempts;
    for (const auto& key : keys)
      end_attempt(key, coordination::task_outcome::lost, {});
    return;
  }
  expire_leases(worker);
  renew_leases(worker);
  if (worker.pending_calls.empty() && should_list(worker) &&
      now >= worker.next_list)
    request_list(worker);
}

/// Requests to a worker that has left the instance list end with its last
/// attempt.
bool shard_machine::impl::should_list(const worker_entry& worker) const {
  return worker.in_instance_list || !worker.attempts.empty();
}

void shard_machine::impl::request_list(worker_entry& worker) {
  const auto call = new_call({call_kind::list, worker.info.id, {}, {}, 0});
  worker.pending_calls.insert(call);
  worker.lease_call_failed = false;
  output_actions.emplace_back(actions::list_worker{call, worker.info.id});
}

void shard_machine::impl::retire_lease(worker_entry& worker,
                                       const lease_id& lease) {
  const auto found = worker.leases.find(lease);
  if (found != worker.leases.end())
    found->second.retired = true;
  if (worker.current_lease == lease) {
    worker.current_lease.clear();
    worker.accepts_starts = false;
    worker.next_list = now;
  }
}

void shard_machine::impl::renew_leases(worker_entry& worker) {
  if (worker.current_lease.empty())
    return;
  own_lease& lease = worker.leases.at(worker.current_lease);
  if (now < lease.next_renewal || !may_renew())
    return;
  if (lease.unanswered >= limits.max_unanswered_renewals) {
    count("leases_retired", "unanswered-renewals");
    retire_lease(worker, worker.current_lease);
    return;
  }
  ++lease.unanswered;
  lease.next_renewal = now + milliseconds(limits.lease_ms / 4);
  const auto call =
      new_call({call_kind::renew, worker.info.id, worker.current_lease, {}, 0});
  output_actions.emplace_back(
      actions::renew_lease{call, worker.info.id, worker.current_lease});
}

void shard_machine::impl::expire_leases(worker_entry& worker) {
  const auto ended = [this](const auto& entry) {
    return now - entry.second.last_renewed >= max_lease_lifetime();
  };
  if (!worker.current_lease.empty() &&
      now - worker.leases.at(worker.current_lease).last_renewed >=
          max_lease_lifetime())
    retire_lease(worker, worker.current_lease);
  std::erase_if(worker.leases, ended);
  if (now < worker.next_expiry_check)
    return;
  worker.next_expiry_check = now + retry_interval;
  // The reports of a worker that still responds show which tasks have ended.
  if (!worker.last_report_at ||
      now - *worker.last_report_at >= max_lease_lifetime())
    end_attempts_without_lease(worker);
}

void shard_machine::impl::end_attempts_without_lease(worker_entry& worker) {
  const auto keys = worker.attempts;
  for (const auto& key : keys) {
    const attempt& entry = attempts.at(key);
    if (entry.stage != attempt_stage::sent &&
        entry.stage != attempt_stage::running)
      continue;
    const bool has_lease = std::ranges::any_of(
        entry.leases,
        [&](const auto& lease) { return worker.leases.contains(lease); });
    if (has_lease || (entry.under_former_owner_lease &&
                      !all_former_leases_expired(entry.epoch)))
      continue;
    count("attempts_ended", "time-rule");
    end_attempt(key, coordination::task_outcome::lost, {});
  }
}

bool shard_machine::impl::all_former_leases_expired(model::epoch since) const {
  if (now - owned_since >=
      milliseconds(limits.blind_renewal_limit_ms) + max_lease_lifetime())
    return true;
  if (since == 0)
    return false;
  for (model::epoch at = since; at < epoch; ++at) {
    const auto found = owners_by_epoch.find(at);
    if (found == owners_by_epoch.end() || !former_leases_expired(found->second))
      return false;
  }
  return true;
}

bool shard_machine::impl::former_leases_expired(
    const former_owner& former) const {
  const auto delay = max_lease_lifetime();
  const auto& [instance, number] = former.claim;
  if (instance == own_id) {
    // Leases of this process are tracked one by one. Leases of its predecessor
    // expire within this delay from the start of this process.
    return number == incarnation || now - *first_step_at >= delay;
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

void shard_machine::impl::reconcile_leases(
    worker_entry& worker, const external::worker_report& report) {
  const auto listed = [&](const lease_id& lease) {
    return std::ranges::any_of(
        report.leases, [&](const auto& entry) { return entry.lease == lease; });
  };
  if (!worker.current_lease.empty() && !listed(worker.current_lease)) {
    count("leases_retired", "not-listed");
    retire_lease(worker, worker.current_lease);
  }
  worker.has_former_owner_leases = std::ranges::any_of(
      report.leases,
      [&](const auto& entry) { return !worker.leases.contains(entry.lease); });
  worker.next_list = now + list_interval;
  if (worker.current_lease.empty()) {
    worker.accepts_starts = false;
    if (!may_renew() || !view_fresh || releasing)
      return;
    const auto call = new_call({call_kind::acquire, worker.info.id, {}, {}, 0});
    worker.pending_calls.insert(call);
    output_actions.emplace_back(actions::acquire_lease{
        call, worker.info.id, own_id + "/" + std::to_string(incarnation),
        limits.lease_ms});
    return;
  }
  if (adopt_running_tasks(worker, report) ||
      delete_old_leases(worker, report)) {
    worker.accepts_starts = false;
    return;
  }
  if (worker.orphans == 0 && !worker.has_former_owner_leases &&
      !worker.accepts_starts) {
    worker.accepts_starts = true;
    placement_due = true;
  }
  if (worker.orphans > 0)
    worker.accepts_starts = false;
}

bool shard_machine::impl::adopt_running_tasks(
    worker_entry& worker, const external::worker_report& report) {
  bool called = false;
  for (const auto& task : report.tasks) {
    if (task.state != external::task_state::running ||
        task.lease == worker.current_lease || !is_log_current())
      continue;
    const auto key = parse_task_name(task.id.task);
    attempt* const entry = key ? find_attempt(*key) : nullptr;
    if (entry == nullptr || entry->number != task.id.attempt ||
        entry->worker != worker.info.id || entry->adopt_attempts >= 2 ||
        entry->stage == attempt_stage::ended)
      continue;
    ++entry->adopt_attempts;
    entry->leases.insert(worker.current_lease);
    const auto call = new_call({call_kind::adopt, worker.info.id,
                                worker.current_lease, *key, entry->number});
    worker.pending_calls.insert(call);
    output_actions.emplace_back(actions::adopt_task{
        call, worker.info.id, task.id, worker.current_lease});
    called = true;
  }
  return called;
}

bool shard_machine::impl::delete_old_leases(
    worker_entry& worker, const external::worker_report& report) {
  bool has_old_lease = false;
  for (const auto& entry : report.leases) {
    if (entry.lease == worker.current_lease)
      continue;
    has_old_lease = true;
    // A process that was paused must not delete leases of its successor.
    if (!is_log_current())
      continue;
    const auto call =
        new_call({call_kind::delete_lease, worker.info.id, entry.lease, {}, 0});
    worker.pending_calls.insert(call);
    output_actions.emplace_back(
        actions::delete_lease{call, worker.info.id, entry.lease});
  }
  return has_old_lease;
}

void shard_machine::impl::on_lease_call_done(
    const worker_call& call, const events::worker_call_done& done) {
  worker_entry& worker = workers[call.worker];
  const bool ok = done.outcome == call_outcome::ok;
  if (call.kind == call_kind::renew) {
    const auto found = worker.leases.find(call.lease);
    if (found == worker.leases.end() || done.outcome == call_outcome::unknown)
      return;
    --found->second.unanswered;
    if (ok)
      found->second.last_renewed = now;
    else
      retire_lease(worker, call.lease);
    return;
  }
  worker.pending_calls.erase(done.call);
  if (call.kind == call_kind::acquire && ok) {
    worker.leases[done.lease] = {now, now + milliseconds(limits.lease_ms / 4),
                                 0, false};
    worker.current_lease = done.lease;
  }
  if (call.kind == call_kind::adopt) {
    attempt* const entry = find_attempt(call.task);
    if (entry != nullptr && entry->number == call.attempt) {
      if (ok) {
        entry->leases = {call.lease};
        entry->under_former_owner_lease = false;
        entry->adopt_attempts = 0;
      } else if (done.outcome == call_outcome::refused) {
        entry->leases.erase(call.lease);
      }
    }
  }
  worker.lease_call_failed = worker.lease_call_failed || !ok;
  if (worker.pending_calls.empty())
    worker.next_list = worker.lease_call_failed ? now + retry_interval : now;
}

}  // namespace vanillaladder::control
