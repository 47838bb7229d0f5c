#include "control/shard_set.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "control/wire_convert.h"

namespace vanillaladder::control {
namespace {

using model::milliseconds;
using model::time_point;

/// Least time between two claims or releases of one shard by this daemon.
constexpr milliseconds request_interval{1000};
constexpr milliseconds room_interval{500};

std::vector<model::worker_info> workers_of(
    const std::vector<model::worker_info>& workers, model::shard_id shard) {
  std::vector<model::worker_info> found;
  std::ranges::copy_if(workers, std::back_inserter(found),
                       [shard](const model::worker_info& worker) {
                         return coordination::worker_shard(worker.id) == shard;
                       });
  return found;
}

/// @return ids of the members that may own shards now.
std::vector<model::instance_id> candidates_of(const shard_context& context,
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

shard_driver& shard_set::driver_of(model::shard_id shard) {
  auto& driver = shards_.at(shard).driver;
  if (driver == nullptr) {
    driver = std::make_unique<shard_driver>(environment_, *this, shard, self_,
                                            limits_);
    driver->feed(events::policy_changed{policy_});
    driver->feed(events::members_changed{members_});
    driver->feed(freshness_);
    driver->feed(events::workers_changed{workers_of(workers_, shard)});
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
  auto candidates = candidates_of(context, self_.id, now);
  for (model::shard_id shard = 0; shard < model::shard_count; ++shard) {
    auto& place = shards_.at(shard);
    bool preferred = !context.draining && coordination::preferred_owner(
                                              shard, candidates) == self_.id;
    if (preferred) {
      driver_of(shard).follow();
    }
    if (place.driver == nullptr) {
      continue;
    }
    if (!preferred && place.driver->machine().idle()) {
      place.driver->pause();
    }
    decide(place, shard, context, now);
    place.driver->poll(now);
  }
  if (now - last_rooms_ >= room_interval) {
    last_rooms_ = now;
    share_rooms();
  }
}

void shard_set::decide(slot& place, model::shard_id shard,
                       const shard_context& context, time_point now) {
  auto& driver = *place.driver;
  if (!driver.at_end() || now - place.last_request < request_interval) {
    return;
  }
  if (context.draining) {
    if (driver.machine().is_owner()) {
      place.last_request = now;
      driver.feed(events::drain_requested{});
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
      place.last_request = now;
      driver.feed(events::claim_shard{});
      return;
    case coordination::ownership_action::release:
      logger_.info(absl::StrCat("releasing shard ", shard));
      place.last_request = now;
      last_release_ = now;
      driver.feed(events::release_shard{});
      return;
  }
}

void shard_set::share_rooms() {
  events::shards_changed rooms;
  for (model::shard_id shard = 0; shard < model::shard_count; ++shard) {
    const auto& place = shards_.at(shard);
    if (place.driver != nullptr && place.driver->machine().is_owner()) {
      rooms.shards[shard] = place.driver->machine().capacity_summary();
    } else if (place.peer_owner) {
      rooms.shards[shard] = place.peer_room;
    }
  }
  for (auto& place : shards_) {
    if (place.driver != nullptr && place.driver->machine().is_owner()) {
      place.driver->feed(rooms);
    }
  }
}

void shard_set::on_workers(const std::vector<model::worker_info>& workers) {
  workers_ = workers;
  for (auto& place : shards_) {
    if (place.driver != nullptr) {
      place.driver->feed(
          events::workers_changed{workers_of(workers_, place.driver->shard())});
    }
  }
}

void shard_set::on_policy(const batch_policy& policy) {
  policy_ = policy;
  for (auto& place : shards_) {
    if (place.driver != nullptr) {
      place.driver->feed(events::policy_changed{policy_});
    }
  }
}

void shard_set::on_members(
    const std::map<model::instance_id, model::incarnation>& members) {
  members_ = members;
  for (auto& place : shards_) {
    if (place.driver != nullptr) {
      place.driver->feed(events::members_changed{members_});
    }
    if (place.peer_owner && !members_.contains(*place.peer_owner)) {
      place.peer_owner.reset();
    }
  }
}

void shard_set::on_freshness(const events::view_freshness_changed& freshness) {
  freshness_ = freshness;
  for (auto& place : shards_) {
    if (place.driver != nullptr) {
      place.driver->feed(freshness_);
    }
  }
}

void shard_set::on_peer_shards(const model::instance_id& peer,
                               const std::vector<wire::shard_load>& shards) {
  for (auto& place : shards_) {
    if (place.peer_owner == peer) {
      place.peer_owner.reset();
    }
  }
  for (const auto& load : shards) {
    if (load.shard >= 0 && load.shard < model::shard_count) {
      auto& place = shards_.at(static_cast<std::size_t>(load.shard));
      place.peer_owner = peer;
      place.peer_room = from_wire(load);
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
  return std::ranges::all_of(shards_, [](const slot& place) {
    return place.driver == nullptr || place.driver->machine().idle();
  });
}

}  // namespace vanillaladder::control
