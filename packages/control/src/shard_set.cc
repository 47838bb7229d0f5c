#include "control/shard_set.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "control/wire_convert.h"

namespace vanillaladder::control {
namespace {

using model::milliseconds;
using model::time_point;

/// Minimum time between ownership requests (claim, release or drain) for one
/// shard by this daemon.
constexpr milliseconds ownership_request_interval{1000};
constexpr milliseconds capacity_update_interval{500};

std::vector<model::worker_info> workers_in_shard(
    const std::vector<model::worker_info>& workers, model::shard_id shard) {
  std::vector<model::worker_info> found;
  std::ranges::copy_if(workers, std::back_inserter(found),
                       [shard](const model::worker_info& worker) {
                         return coordination::worker_shard(worker.id) == shard;
                       });
  return found;
}

/// @return ids of the members that are eligible to own shards.
std::vector<model::instance_id> eligible_owners(const shard_context& context,
                                                const model::instance_id& self,
                                                time_point now) {
  std::vector<model::instance_id> ids;
  for (const auto& member : context.members) {
    bool trusted = member.id == self ||
                   coordination::suspicion_of(member.last_heard, now) ==
                       coordination::suspicion::trusted;
    if (trusted && !member.draining && member.fresh) {
      ids.push_back(member.id);
    }
  }
  return ids;
}

}  // namespace

shard_set::shard_set(shard_environment environment, peer_mesh& mesh,
                     caller_identity self, const shard_limits& limits)
    : environment_(std::move(environment)),
      mesh_(mesh),
      self_(std::move(self)),
      limits_(limits),
      owner_retry_([this](model::milliseconds delay, auto again) {
        environment_.loop.call_after(
            delay, [again = std::move(again), alive = alive_] {
              if (*alive) {
                again();
              }
            });
      }) {}

shard_set::~shard_set() {
  *alive_ = false;
}

shard_driver& shard_set::get_or_create_driver(model::shard_id shard) {
  auto& driver = shards_.at(shard).driver;
  if (driver == nullptr) {
    driver = std::make_unique<shard_driver>(environment_, *this, shard, self_,
                                            limits_);
    driver->handle_event(events::policy_changed{policy_});
    driver->handle_event(events::members_changed{members_});
    driver->handle_event(freshness_);
    driver->handle_event(
        events::workers_changed{workers_in_shard(workers_, shard)});
  }
  return *driver;
}

shard_driver* shard_set::owned_driver(model::shard_id shard) {
  if (shard >= model::shard_count) {
    return nullptr;
  }
  auto& driver = shards_.at(shard).driver;
  return driver != nullptr && driver->machine().is_owner() ? driver.get()
                                                           : nullptr;
}

void shard_set::tick(const shard_context& context, time_point now) {
  auto candidates = eligible_owners(context, self_.id, now);
  for (model::shard_id shard = 0; shard < model::shard_count; ++shard) {
    auto& entry = shards_.at(shard);
    bool preferred = !context.draining && coordination::preferred_owner(
                                              shard, candidates) == self_.id;
    if (preferred) {
      get_or_create_driver(shard).follow();
    }
    if (entry.driver == nullptr) {
      continue;
    }
    if (!preferred && entry.driver->machine().idle()) {
      entry.driver->pause();
    }
    update_ownership(entry, shard, context, now);
    entry.driver->poll(now);
  }
  if (now - last_capacity_update_ >= capacity_update_interval) {
    last_capacity_update_ = now;
    distribute_capacities();
  }
}

void shard_set::update_ownership(shard_entry& entry, model::shard_id shard,
                                 const shard_context& context, time_point now) {
  auto& driver = *entry.driver;
  if (!driver.at_end() ||
      now - entry.last_ownership_request < ownership_request_interval) {
    return;
  }
  if (context.draining) {
    if (driver.machine().is_owner()) {
      entry.last_ownership_request = now;
      driver.handle_event(events::drain_requested{});
    }
    return;
  }
  coordination::ownership_input input;
  input.shard = shard;
  input.self = self_.id;
  input.incarnation = self_.incarnation;
  input.may_append = context.may_append;
  input.owner = driver.machine().state().owner();
  input.members = context.members;
  input.last_release = last_release_;
  switch (coordination::decide_ownership(input, now)) {
    case coordination::ownership_action::none:
      return;
    case coordination::ownership_action::claim:
      logger_.info(absl::StrCat("claiming shard ", shard));
      entry.last_ownership_request = now;
      driver.handle_event(events::claim_shard{});
      return;
    case coordination::ownership_action::release:
      logger_.info(absl::StrCat("releasing shard ", shard));
      entry.last_ownership_request = now;
      last_release_ = now;
      driver.handle_event(events::release_shard{});
      return;
  }
}

void shard_set::distribute_capacities() {
  events::shards_changed capacities;
  for (model::shard_id shard = 0; shard < model::shard_count; ++shard) {
    const auto& entry = shards_.at(shard);
    if (entry.driver != nullptr && entry.driver->machine().is_owner()) {
      capacities.shards[shard] = entry.driver->machine().capacity_summary();
    } else if (entry.peer_owner) {
      capacities.shards[shard] = entry.peer_capacity;
    }
  }
  for (auto& entry : shards_) {
    if (entry.driver != nullptr && entry.driver->machine().is_owner()) {
      entry.driver->handle_event(capacities);
    }
  }
}

void shard_set::on_workers(const std::vector<model::worker_info>& workers) {
  workers_ = workers;
  for (auto& entry : shards_) {
    if (entry.driver != nullptr) {
      entry.driver->handle_event(events::workers_changed{
          workers_in_shard(workers_, entry.driver->shard())});
    }
  }
}

void shard_set::on_policy(const batch_policy& policy) {
  policy_ = policy;
  for (auto& entry : shards_) {
    if (entry.driver != nullptr) {
      entry.driver->handle_event(events::policy_changed{policy_});
    }
  }
}

void shard_set::on_members(
    const std::map<model::instance_id, model::incarnation>& members) {
  members_ = members;
  for (auto& entry : shards_) {
    if (entry.driver != nullptr) {
      entry.driver->handle_event(events::members_changed{members_});
    }
    if (entry.peer_owner && !members_.contains(*entry.peer_owner)) {
      entry.peer_owner.reset();
    }
  }
}

void shard_set::on_freshness(const events::view_freshness_changed& freshness) {
  freshness_ = freshness;
  for (auto& entry : shards_) {
    if (entry.driver != nullptr) {
      entry.driver->handle_event(freshness_);
    }
  }
}

void shard_set::on_peer_shards(const model::instance_id& peer,
                               const std::vector<wire::shard_load>& shards) {
  for (auto& entry : shards_) {
    if (entry.peer_owner == peer) {
      entry.peer_owner.reset();
    }
  }
  for (const auto& load : shards) {
    if (load.shard >= 0 && load.shard < model::shard_count) {
      auto& entry = shards_.at(static_cast<std::size_t>(load.shard));
      entry.peer_owner = peer;
      entry.peer_capacity = from_wire(load);
    }
  }
}

std::vector<wire::shard_load> shard_set::owned_shards() const {
  std::vector<wire::shard_load> loads;
  for (model::shard_id shard = 0; shard < model::shard_count; ++shard) {
    const auto& driver = shards_.at(shard).driver;
    if (driver != nullptr && driver->machine().is_owner()) {
      loads.push_back(to_wire(shard, driver->machine().capacity_summary()));
    }
  }
  return loads;
}

bool shard_set::all_released() const {
  return std::ranges::all_of(shards_, [](const shard_entry& entry) {
    return entry.driver == nullptr || entry.driver->machine().idle();
  });
}

}  // namespace vanillaladder::control
