#include "control/shard_machine.h"

#include <algorithm>
#include <utility>

#include "control/detail/shard_core.h"

namespace vanillaladder::control {

using namespace detail;

shard_machine::shard_machine(model::shard_id shard, model::instance_id own_id,
                             model::incarnation own_incarnation,
                             shard_limits limits)
    : impl_(std::make_unique<impl>(shard, std::move(own_id), own_incarnation,
                                   limits)) {}

shard_machine::~shard_machine() = default;
shard_machine::shard_machine(shard_machine&&) noexcept = default;
shard_machine& shard_machine::operator=(shard_machine&&) noexcept = default;

std::vector<action> shard_machine::step(const event& input,
                                        model::time_point now) {
  return impl_->step(input, now);
}

bool shard_machine::is_owner() const {
  return impl_->owner;
}

bool shard_machine::idle() const {
  return !impl_->owner && !impl_->claim_pending;
}

const coordination::shard_state& shard_machine::state() const {
  return impl_->state();
}

model::offset shard_machine::next_offset() const {
  return impl_->reader.next_offset();
}

const coordination::reader_counters& shard_machine::counters() const {
  return impl_->reader.counters();
}

events::shards_changed::room shard_machine::capacity_summary() const {
  events::shards_changed::room result;
  for (const auto& [id, worker] : impl_->workers) {
    if (!impl_->is_schedulable(worker))
      continue;
    result.largest_worker = scheduling::elementwise_max(result.largest_worker,
                                                        worker.info.capacity);
    if (worker.accepts_starts)
      result.free += scheduling::elementwise_max(
          worker.info.capacity - worker.reserved - worker.services, {});
  }
  return result;
}

shard_machine::impl::impl(model::shard_id shard_number, model::instance_id id,
                          model::incarnation own_incarnation,
                          const shard_limits& own_limits)
    : shard(shard_number),
      own_id(std::move(id)),
      incarnation(own_incarnation),
      limits(own_limits),
      tracker(own_id, own_incarnation) {
  on(events::policy_changed{});
}

std::vector<action> shard_machine::impl::step(const event& input,
                                              model::time_point at) {
  now = std::max(now, at);
  if (!first_step_at)
    first_step_at = now;
  if (view_fresh && (log_reachable || !log_reachable_by_peer))
    last_contact = now;
  std::visit([this](const auto& typed) { on(typed); }, input);
  if (owner) {
    for (auto& [id, worker] : workers)
      advance_worker(worker);
    send_starts();
    continue_evictions();
    find_stragglers();
    place_tasks();
    resend_delegations();
    flush_ends();
    continue_release();
  }
  poll_log();
  output_actions.emplace_back(actions::set_next_tick{next_tick()});
  return std::exchange(output_actions, {});
}

model::time_point shard_machine::impl::next_tick() const {
  model::time_point next = now + retry_interval;
  const auto tick_by = [&next](model::time_point at) {
    next = std::min(next, at);
  };
  if (const auto poll = tracker.next_poll())
    tick_by(*poll);
  if (!owner)
    return std::max(next, now);
  for (const auto& [id, worker] : workers) {
    if (policy.dead.contains(id))
      continue;
    if (worker.pending_calls.empty() && should_list(worker))
      tick_by(worker.next_list);
    if (!worker.current_lease.empty() && may_renew())
      tick_by(worker.leases.at(worker.current_lease).next_renewal);
  }
  if (!pending_jobs.empty() && may_start())
    tick_by(placement_due ? next_placement_pass : next_blocked_placement_pass);
  for (const auto& key : evicting) {
    const attempt& entry = attempts.at(key);
    if (entry.stage == attempt_stage::running &&
        entry.evict_step == eviction_step::requested)
      tick_by(
          std::max(entry.next_eviction_at, checkpoint_limiter.next_start(now)));
  }
  return std::max(next, now + milliseconds(1));
}

void shard_machine::impl::count(const char* name, std::string reason,
                                std::uint64_t amount) {
  output_actions.emplace_back(actions::count{name, std::move(reason), amount});
}

void shard_machine::impl::on(const events::tick& /*input*/) {}

void shard_machine::impl::on(const events::view_freshness_changed& input) {
  view_fresh = input.fresh;
  log_reachable = input.log_reachable;
  log_reachable_by_peer = input.log_reachable_by_peer;
  placement_due = true;
}

void shard_machine::impl::on(const events::members_changed& input) {
  for (const auto& [id, member] : input.members) {
    for (const auto& [number, former] : owners_by_epoch) {
      if (former.claim.owner == id && former.claim.incarnation < member)
        superseded_since.try_emplace({id, former.claim.incarnation}, now);
    }
  }
  members = input.members;
}

void shard_machine::impl::on(const events::shards_changed& input) {
  shards = input.shards;
  if (owner)
    delegate_blocked_jobs();
}

void shard_machine::impl::on(const events::worker_call_done& input) {
  const auto found = open_calls.find(input.call);
  if (found == open_calls.end())
    return;  // The call was made before ownership was lost.
  const worker_call call = found->second;
  open_calls.erase(found);
  switch (call.kind) {
    case call_kind::list:
    case call_kind::acquire:
    case call_kind::renew:
    case call_kind::delete_lease:
    case call_kind::adopt:
      on_lease_call_done(call, input);
      break;
    default:
      on_task_call_done(call, input);
  }
}

void shard_machine::impl::on(const events::worker_listed& input) {
  const auto found = open_calls.find(input.call);
  if (found == open_calls.end())
    return;
  const worker_call call = found->second;
  open_calls.erase(found);
  worker_entry& worker = workers[call.worker];
  worker.pending_calls.erase(input.call);
  if (owner)
    handle_report(worker, input.report);
}

}  // namespace vanillaladder::control
