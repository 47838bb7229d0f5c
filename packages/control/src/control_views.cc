#include <absl/strings/str_cat.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "control/control_plane.h"
#include "control/policy.h"

namespace vanillaladder::control {
namespace {

using coordination::freshness;
using model::milliseconds;
using model::time_point;

/// Interval at which views are published even if nothing has changed, since
/// each view has a time until which it may be used.
constexpr milliseconds view_interval{200};

}  // namespace

serving::serving_view control_plane::make_view(time_point now) const {
  serving::serving_view view;
  set_serving_config(config_, view);
  auto last_verified = freshness_.last_verified();
  // Without an instance list every service would be reported as unknown.
  view.fresh = is_member() && instances_known_ &&
               freshness_.state(now) == freshness::fresh;
  view.fresh_until = last_verified
                         ? *last_verified + options_.settings.limits.fresh_limit
                         : time_point{};
  view.draining = drain_ != drain_phase::none;
  for (const auto& backend : instances_.backends) {
    serving::backend_grant grant;
    grant.info = backend;
    grant.granted_slots =
        is_member() ? grants_.limit(backend.id, backend.slots) : 0;
    grant.accepts_work = backend.state == model::instance_state::live &&
                         in_service(config_, backend.id, backend.domain);
    view.backends.push_back(std::move(grant));
  }
  for (const auto& [id, peer] : peers_) {
    bool usable = id != self_.id && peer.last_message.fresh &&
                  !peer.last_message.draining &&
                  coordination::suspicion_of(peer.last_heard, now) ==
                      coordination::suspicion::trusted;
    if (!usable) {
      continue;
    }
    serving::peer_load load;
    load.member = id;
    for (const auto& entry : peer.last_message.free_slots) {
      load.free_slots[entry.service_name] =
          static_cast<unsigned>(std::max(entry.free_slots, 0));
    }
    view.peers.push_back(std::move(load));
  }
  return view;
}

void control_plane::publish_view(time_point now) {
  if (!view_dirty_ && now - last_view_ < view_interval) {
    return;
  }
  view_dirty_ = false;
  last_view_ = now;
  auto sequence = ++view_sequence_;
  front_.update(make_view(now), [this, sequence](const front_status& status) {
    loop_.post([this, sequence, status] { on_front_status(sequence, status); });
  });
}

void control_plane::on_front_status(std::uint64_t sequence,
                                    const front_status& status) {
  front_status_ = status;
  if (sequence < grant_sequence_) {
    return;
  }
  reported_view_ = grants_.newest_view();
  within_grant_ =
      std::ranges::all_of(status.in_flight, [this](const auto& entry) {
        auto backend = std::ranges::find(instances_.backends, entry.first,
                                         &model::backend_info::id);
        return backend == instances_.backends.end() ||
               entry.second <= grants_.limit(backend->id, backend->slots);
      });
  grants_.on_report(
      {{self_.id, self_.incarnation}, reported_view_, within_grant_},
      std::chrono::steady_clock::now());
}

void control_plane::update_freshness(time_point now) {
  events::view_freshness_changed current;
  current.fresh = freshness_.state(now) == freshness::fresh;
  current.log_reachable = stream_->log_reachable(now);
  current.log_reachable_by_peer =
      std::ranges::any_of(peers_, [&](const auto& peer) {
        return peer.first != self_.id &&
               peer.second.last_message.log_reachable &&
               coordination::suspicion_of(peer.second.last_heard, now) ==
                   coordination::suspicion::trusted;
      });
  bool changed =
      current.fresh != shard_freshness_.fresh ||
      current.log_reachable != shard_freshness_.log_reachable ||
      current.log_reachable_by_peer != shard_freshness_.log_reachable_by_peer;
  if (!changed) {
    return;
  }
  if (current.fresh != shard_freshness_.fresh) {
    logger_.info(current.fresh ? "view is fresh" : "view is stale");
    view_dirty_ = true;
  }
  shard_freshness_ = current;
  metrics_.gauge("vanillaladder_view_fresh").set(current.fresh ? 1 : 0);
  metrics_.gauge("vanillaladder_log_reachable")
      .set(current.log_reachable ? 1 : 0);
  shards_->on_freshness(current);
}

http::response control_plane::config() const {
  return config_response(stream_->state(), options_.settings.instance.branch);
}

http::response control_plane::version(std::string_view number) const {
  return version_response(stream_->state(), number);
}

http::response control_plane::status() const {
  auto now = std::chrono::steady_clock::now();
  std::vector<instance_status> list;
  for (const auto& member : stream_->state().view().members) {
    instance_status entry;
    entry.id = member.id;
    entry.domain = member.domain;
    if (member.id == self_.id) {
      entry.version = static_cast<std::int64_t>(version_);
      entry.revision = static_cast<std::int64_t>(revision_);
      entry.applied_offset = applied_offset_;
      entry.since_offset = config_since_;
      entry.reachable = true;
      entry.fresh = shard_freshness_.fresh;
    } else if (auto peer = peers_.find(member.id);
               peer != peers_.end() &&
               !peer->second.last_message.sender.empty()) {
      const auto& last = peer->second.last_message;
      entry.version = last.version;
      entry.revision = last.revision;
      entry.applied_offset = last.control_offset;
      entry.since_offset = last.config_since;
      entry.reachable =
          coordination::suspicion_of(peer->second.last_heard, now) ==
          coordination::suspicion::trusted;
      entry.fresh = last.fresh;
    }
    list.push_back(std::move(entry));
  }
  return status_response(list);
}

http::response control_plane::instances() const {
  using nlohmann::json;
  auto state_name = [](model::instance_state state) {
    return state == model::instance_state::live ? "live" : "leaving";
  };
  json body = {{"age_ms", instances_.age.count()},
               {"workers", json::array()},
               {"backends", json::array()},
               {"members", json::array()}};
  for (const auto& worker : instances_.workers) {
    body["workers"].push_back(
        {{"id", worker.id},
         {"domain", worker.domain},
         {"rack", worker.rack},
         {"state", state_name(worker.state)},
         {"in_service", in_service(config_, worker.id, worker.domain)}});
  }
  for (const auto& backend : instances_.backends) {
    body["backends"].push_back(
        {{"id", backend.id},
         {"service", backend.service},
         {"domain", backend.domain},
         {"rack", backend.rack},
         {"state", state_name(backend.state)},
         {"slots", backend.slots},
         {"granted_here",
          is_member() ? grants_.limit(backend.id, backend.slots) : 0},
         {"in_service", in_service(config_, backend.id, backend.domain)}});
  }
  for (const auto& member : stream_->state().view().members) {
    body["members"].push_back({{"id", member.id},
                               {"incarnation", member.incarnation},
                               {"domain", member.domain},
                               {"address", member.address},
                               {"operator_port", member.operator_port}});
  }
  return http::json_response(200, body.dump());
}

}  // namespace vanillaladder::control
