#include <absl/strings/str_cat.h>

#include <algorithm>

#include "control/control_plane.h"
#include "control/wire_convert.h"

namespace vanillaladder::control {
namespace {

using model::milliseconds;
using model::time_point;
using clock = std::chrono::steady_clock;

constexpr milliseconds heartbeat_interval{500};
constexpr milliseconds heartbeat_timeout{1000};
constexpr milliseconds recent_contact_window{400};
/// Reads of the log verify the view at least this often. If a verification is
/// overdue, a heartbeat round must complete before the view becomes stale at
/// 2 s.
constexpr milliseconds max_verification_age{1000};
constexpr milliseconds missing_request_interval{200};
constexpr milliseconds fetch_timeout{1000};
constexpr std::int32_t fetch_limit = 512;

coordination::peer_position position_of(
    const wire::heartbeat_message& message) {
  return {{message.sender, static_cast<std::uint64_t>(message.incarnation)},
          message.control_offset,
          message.recovered};
}

}  // namespace

wire::heartbeat_message control_plane::own_heartbeat(time_point now) const {
  wire::heartbeat_message message;
  message.sender = self_.id;
  message.incarnation = static_cast<std::int64_t>(self_.incarnation);
  message.control_offset = applied_offset_;
  message.log_reachable = stream_->log_reachable(now);
  message.applied_view = reported_view_;
  message.within_grant = within_grant_;
  message.version = static_cast<std::int64_t>(version_);
  message.revision = static_cast<std::int64_t>(revision_);
  message.config_since = config_since_;
  message.fresh = freshness_.state(now) == coordination::freshness::fresh;
  message.recovered = freshness_.recovered();
  message.draining = drain_ != drain_phase::none;
  message.owned_shards = shards_->owned_shards();
  for (const auto& [service, slots] : front_status_.free_slots) {
    wire::service_load load;
    load.service_name = service;
    load.free_slots = static_cast<std::int32_t>(slots);
    message.free_slots.push_back(std::move(load));
  }
  const auto& limits = options_.settings.limits;
  message.limits.fresh_limit_ms =
      static_cast<std::int32_t>(limits.fresh_limit.count());
  message.limits.lease_ms = static_cast<std::int32_t>(limits.lease.count());
  message.limits.request_timeout_ms =
      static_cast<std::int32_t>(limits.request_timeout.count());
  message.limits.blind_renewal_limit_s =
      static_cast<std::int32_t>(limits.blind_renewal_limit.count());
  return message;
}

bool control_plane::limits_match(const wire::protocol_limits& limits) const {
  const auto& own = options_.settings.limits;
  return limits.fresh_limit_ms == own.fresh_limit.count() &&
         limits.lease_ms == own.lease.count() &&
         limits.request_timeout_ms == own.request_timeout.count() &&
         limits.blind_renewal_limit_s == own.blind_renewal_limit.count();
}

void control_plane::send_heartbeats(time_point now) {
  if (!stream_->has_state() || now - last_heartbeat_ < heartbeat_interval) {
    return;
  }
  last_heartbeat_ = now;
  auto round = freshness_.start_round(now);
  auto message = own_heartbeat(now);
  for (const auto& member : other_members()) {
    if (!heartbeat_needed(member.id, now)) {
      continue;
    }
    mesh_.heartbeat(member.id, message, heartbeat_timeout,
                    [this, round](const auto& response) {
                      const auto* received =
                          std::get_if<wire::heartbeat_message>(&response);
                      if (received == nullptr) {
                        return;
                      }
                      loop_.post([this, round, peer_message = *received] {
                        if (limits_match(peer_message.limits)) {
                          on_peer_message(peer_message, clock::now());
                          freshness_.on_heartbeat_response(
                              round, position_of(peer_message));
                        }
                      });
                    });
  }
}

bool control_plane::heartbeat_needed(const model::instance_id& member,
                                     time_point now) const {
  // One exchange informs both sides, so a member heard from recently is
  // skipped. A daemon that must verify its view or confirm a change needs a
  // response from every member.
  auto peer = peers_.find(member);
  bool recently_heard = peer != peers_.end() &&
                        now - peer->second.last_heard < recent_contact_window;
  auto last_verified = freshness_.last_verified();
  bool recently_verified =
      last_verified && now - *last_verified < max_verification_age;
  return !recently_heard || !recently_verified ||
         !stream_->log_reachable(now) || !confirmations_.empty();
}

void control_plane::on_peer_message(const wire::heartbeat_message& message,
                                    time_point now) {
  auto found = peers_.find(message.sender);
  // A message of an earlier or not yet known incarnation does not describe the
  // current member.
  if (found == peers_.end() ||
      found->second.last_message.incarnation != message.incarnation) {
    return;
  }
  found->second.last_message = message;
  found->second.last_heard = now;
  freshness_.on_position(position_of(message));
  grants_.on_report(
      {{message.sender, static_cast<std::uint64_t>(message.incarnation)},
       message.applied_view,
       message.within_grant},
      now);
  shards_->on_peer_shards(message.sender, message.owned_shards);
}

void control_plane::request_missing_records() {
  auto most_advanced = freshness_.most_advanced_peer();
  auto now = clock::now();
  if (!most_advanced ||
      now - last_missing_request_ < missing_request_interval) {
    return;
  }
  last_missing_request_ = now;
  mesh_.fetch_records(
      most_advanced->member.first, applied_offset_ + 1, fetch_limit,
      fetch_timeout, [this](const auto& response) {
        const auto* records =
            std::get_if<std::vector<wire::log_record>>(&response);
        if (records != nullptr) {
          loop_.post([this, records = *records] {
            stream_->on_relayed_records(records);
          });
        }
      });
}

void control_plane::claim_key(wire::key_claim claim, milliseconds timeout,
                              shard_set::claim_reply done) {
  claim.claimant = self_.id;
  claim.claimant_incarnation = static_cast<std::int64_t>(self_.incarnation);
  shards_->claim_key(claim, timeout, std::move(done));
}

void control_plane::finish_key(wire::key_claim claim,
                               const std::string& outcome) {
  claim.claimant = self_.id;
  claim.claimant_incarnation = static_cast<std::int64_t>(self_.incarnation);
  shards_->finish_key(claim, outcome);
}

void control_plane::forward_request(const model::instance_id& member,
                                    const wire::http_request& request,
                                    milliseconds timeout,
                                    peer_mesh::http_callback done) {
  mesh_.forward_request(member, request, timeout, std::move(done));
}

void control_plane::on_heartbeat(const wire::heartbeat_message& message,
                                 reply<wire::heartbeat_message> done) {
  loop_.post([this, message, done = std::move(done)] {
    auto now = clock::now();
    if (limits_match(message.limits)) {
      on_peer_message(message, now);
    } else {
      metrics_.counter("vanillaladder_peer_limits_differ_total").increment();
    }
    done(own_heartbeat(now));
  });
}

void control_plane::on_fetch_records(
    model::offset first, std::int32_t limit,
    reply<std::vector<wire::log_record>> done) {
  loop_.post([this, first, limit, done = std::move(done)] {
    auto count = std::clamp(limit, 0, fetch_limit);
    done(stream_->recent_records(first, static_cast<std::size_t>(count)));
  });
}

void control_plane::on_push_records(
    const std::vector<wire::log_record>& records) {
  loop_.post([this, records] { stream_->on_relayed_records(records); });
}

void control_plane::on_forward_request(const wire::call_context& context,
                                       const wire::http_request& request,
                                       reply<wire::http_result> done) {
  front_.forward(from_wire(request), milliseconds(context.deadline_ms),
                 [done = std::move(done)](const http::response& response) {
                   done(to_wire(response));
                 });
}

void control_plane::on_claim_key(const wire::key_claim& claim,
                                 reply<wire::key_result> done) {
  loop_.post([this, claim, done = std::move(done)] {
    shards_->on_claim_key(claim, done);
  });
}

void control_plane::on_finish_key(const wire::key_claim& claim,
                                  const std::string& outcome) {
  loop_.post(
      [this, claim, outcome] { shards_->on_finish_key(claim, outcome); });
}

void control_plane::on_job_call(job_call call, model::shard_id shard,
                                const std::string& key, const std::string& body,
                                reply<wire::http_result> done) {
  loop_.post([this, call, shard, key, body, done = std::move(done)] {
    shards_->on_job_call(
        call, shard, key, body,
        [done](const http::response& response) { done(to_wire(response)); });
  });
}

}  // namespace vanillaladder::control
