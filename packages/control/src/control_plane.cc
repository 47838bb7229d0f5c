#include "control/control_plane.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "control/policy.h"
#include "control/wire_convert.h"
#include "runtime/error.h"

namespace vanillaladder::control {
namespace {

using coordination::freshness;
using model::milliseconds;
using model::time_point;
using clock = std::chrono::steady_clock;

constexpr milliseconds tick_interval{50};
constexpr milliseconds instance_fetch_interval{1000};
constexpr milliseconds append_timeout{5000};
constexpr milliseconds confirm_timeout{5000};
constexpr milliseconds push_timeout{1000};
/// Maximum time to release the shards in a drain. Shards that cannot be
/// released by then, because the log is unreachable, are left to expire with
/// their leases.
constexpr milliseconds release_timeout{15000};
constexpr milliseconds expel_interval{2000};
constexpr unsigned max_descriptors = 4096;

/// Successive processes of an instance start at different times, so wall-clock
/// milliseconds distinguish them without stored state.
model::incarnation new_incarnation() {
  static std::uint64_t last = 0;
  auto now = std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
  last = std::max(last + 1, static_cast<std::uint64_t>(now));
  return last;
}

milliseconds handover_delay(const runtime::limit_settings& limits) {
  auto sum = limits.fresh_limit + limits.request_timeout;
  return sum + sum / 100;
}

shard_limits make_shard_limits(const runtime::limit_settings& limits) {
  shard_limits result;
  result.lease_ms = limits.lease.count();
  result.blind_renewal_limit_ms =
      std::chrono::duration_cast<milliseconds>(limits.blind_renewal_limit)
          .count();
  return result;
}

}  // namespace

bool control_channel::post(std::function<void(control_plane&)> task) {
  std::lock_guard lock(mutex_);
  if (plane_ == nullptr) {
    return false;
  }
  plane_->post(std::move(task));
  return true;
}

void control_plane::post(std::function<void(control_plane&)> task) {
  loop_.post([this, task = std::move(task)] { task(*this); });
}

control_plane::control_plane(const options& settings, front_interface& front,
                             control_channel& channel,
                             runtime::metrics& metrics)
    : options_(settings),
      self_{settings.settings.instance.id, new_incarnation()},
      front_(front),
      channel_(channel),
      metrics_(metrics),
      loop_(max_descriptors),
      log_(loop_, {settings.settings.log.address, settings.settings.log.port}),
      workers_(loop_, {}),
      instance_list_(loop_, {settings.settings.instances.address,
                             settings.settings.instances.port}),
      mesh_(self_),
      freshness_({self_.id, self_.incarnation},
                 settings.settings.limits.fresh_limit),
      grants_({self_.id, self_.incarnation},
              handover_delay(settings.settings.limits)) {
  control_stream::hooks hooks;
  hooks.on_changed = [this] { on_control_changed(); };
  hooks.on_stream_end = [this](time_point sent, model::offset next) {
    on_stream_end(sent, next);
  };
  stream_ = std::make_unique<control_stream>(loop_, log_, metrics_, self_,
                                             std::move(hooks));
  shards_ = std::make_unique<shard_set>(
      shard_environment{loop_, log_, workers_, metrics_,
                        settings.settings.trace_folder},
      mesh_, self_, make_shard_limits(settings.settings.limits));
}

control_plane::~control_plane() = default;

absl::Status control_plane::listen() {
  const auto& listen = options_.settings.listen;
  auto server = peer_server::listen(listen.address, listen.peer_port, *this);
  if (!server.ok()) {
    return server.status();
  }
  server_ = *std::move(server);
  return absl::OkStatus();
}

absl::Status control_plane::run(std::stop_token stop) {
  {
    std::lock_guard lock(channel_.mutex_);
    channel_.plane_ = this;
  }
  std::stop_callback on_stop(stop,
                             [this] { loop_.post([this] { begin_drain(); }); });
  stream_->start();
  tick();
  loop_.run();
  {
    std::lock_guard lock(channel_.mutex_);
    channel_.plane_ = nullptr;
  }
  return result_.value_or(absl::OkStatus());
}

void control_plane::tick() {
  auto now = clock::now();
  stream_->poll(now);
  create_first_version(now);
  join_if_needed(now);
  expel_silent_members(now);
  fetch_instances();
  send_heartbeats(now);
  request_missing_records();
  grants_.on_tick(now);
  update_freshness(now);
  auto members = liveness(now);
  shards_->tick(
      {members,
       shard_freshness_.fresh && is_member() && shard_freshness_.log_reachable,
       drain_ != drain_phase::none},
      now);
  publish_view(now);
  confirm_changes(now);
  advance_drain(now);
  if (result_) {
    loop_.stop();
    return;
  }
  loop_.call_after(tick_interval, [this] { tick(); });
}

bool control_plane::is_member() const {
  return stream_->has_state() &&
         stream_->state().is_member(self_.id, self_.incarnation);
}

std::vector<model::member_info> control_plane::other_members() const {
  auto members = stream_->state().view().members;
  std::erase_if(members, [this](const auto& m) { return m.id == self_.id; });
  return members;
}

void control_plane::create_first_version(time_point now) {
  if (creating_version_ || !stream_->at_end() ||
      stream_->state().version() != 0) {
    return;
  }
  creating_version_ = true;
  coordination::version_created first;
  first.version = 1;
  first.author = "vanillaladder";
  stream_->publish(first, now + append_timeout, [this](const publish_result&) {
    creating_version_ = false;
  });
}

void control_plane::join_if_needed(time_point now) {
  if (joined_ && !is_member() && drain_ == drain_phase::none) {
    logger_.warn("removed by other members; joining again");
    result_ = runtime::make_error(absl::StatusCode::kAborted, "keep membership",
                                  self_.id, "other members removed it");
    return;
  }
  joined_ = joined_ || is_member();
  if (joined_ || joining_ || !stream_->at_end() ||
      stream_->state().version() == 0 || drain_ != drain_phase::none) {
    return;
  }
  joining_ = true;
  const auto& settings = options_.settings;
  coordination::member_joined joined;
  joined.member = {
      self_.id,    self_.incarnation,      settings.listen.address,
      peer_port(), options_.operator_port, settings.instance.domain};
  stream_->publish(joined, now + append_timeout,
                   [this](const publish_result&) { joining_ = false; });
}

void control_plane::expel_silent_members(time_point now) {
  if (!is_member() || !shard_freshness_.fresh ||
      !shard_freshness_.log_reachable || now - last_expel_ < expel_interval) {
    return;
  }
  auto members = liveness(now);
  for (const auto& silent :
       coordination::members_to_expel(self_.id, members, now)) {
    last_expel_ = now;
    logger_.warn(
        absl::StrCat("member ", silent.instance, " is silent; removing it"));
    stream_->publish(silent, now + append_timeout, [](const auto&) {});
  }
}

std::vector<coordination::member_liveness> control_plane::liveness(
    time_point now) const {
  std::vector<coordination::member_liveness> members;
  for (const auto& member : stream_->state().view().members) {
    coordination::member_liveness entry;
    entry.id = member.id;
    entry.incarnation = member.incarnation;
    if (member.id == self_.id) {
      entry.last_heard = now;
      entry.fresh = shard_freshness_.fresh;
      entry.draining = drain_ != drain_phase::none;
    } else if (auto peer = peers_.find(member.id); peer != peers_.end()) {
      entry.last_heard = peer->second.last_heard;
      entry.fresh = peer->second.last_message.fresh;
      entry.draining = peer->second.last_message.draining;
    }
    members.push_back(std::move(entry));
  }
  return members;
}

void control_plane::on_control_changed() {
  auto now = clock::now();
  const auto& state = stream_->state();
  auto view = state.view();
  applied_offset_ = state.applied();
  freshness_.set_members(view);
  freshness_.set_applied(applied_offset_);
  auto previous_view = grants_.newest_view();
  grants_.on_state(state, now);
  if (view.offset != previous_view) {
    grant_sequence_ = view_sequence_ + 1;
    std::map<model::instance_id, model::incarnation> members;
    for (const auto& member : view.members) {
      members[member.id] = member.incarnation;
      // A member that has not sent a message yet is suspected only after the
      // full silence limit, counted from now.
      auto [peer, added] = peers_.try_emplace(member.id);
      if (added ||
          static_cast<std::uint64_t>(peer->second.last_message.incarnation) !=
              member.incarnation) {
        peer->second = {};
        peer->second.last_message.incarnation =
            static_cast<std::int64_t>(member.incarnation);
        peer->second.last_heard = now;
      }
    }
    std::erase_if(peers_, [&](const auto& peer) {
      return !members.contains(peer.first);
    });
    mesh_.update(other_members());
    shards_->on_members(members);
  }
  if (state.version() != version_ || state.revision() != revision_) {
    version_ = state.version();
    revision_ = state.revision();
    config_since_ = applied_offset_;
    config_ = coordination::config_view(
        state.effective(options_.settings.instance.branch));
    shards_->on_policy(make_batch_policy(config_));
    logger_.info(absl::StrCat("version ", version_, " revision ", revision_,
                              " in force since offset ", config_since_));
    if (is_draining(config_, self_.id)) {
      begin_drain();
    }
  }
  view_dirty_ = true;
}

void control_plane::on_stream_end(time_point sent, model::offset next) {
  // Records that could not be decoded advance the state without a change.
  applied_offset_ = stream_->state().applied();
  freshness_.set_applied(applied_offset_);
  freshness_.on_log_end(sent, next);
}

void control_plane::publish(parsed_change change,
                            std::function<void(http::response)> done) {
  if (auto* rejected = std::get_if<http::response>(&change)) {
    done(std::move(*rejected));
    return;
  }
  auto now = clock::now();
  if (!stream_->has_state() || !stream_->log_reachable(now)) {
    done(not_run_response("log-unavailable"));
    return;
  }
  stream_->publish(
      std::get<coordination::control_body>(std::move(change)),
      now + append_timeout,
      [this, done = std::move(done)](const publish_result& result) {
        if (result.outcome != coordination::append_outcome::valid) {
          done(change_response(result, false));
          return;
        }
        mesh_.push_records(stream_->recent_records(result.offset, 1),
                           push_timeout);
        last_heartbeat_ = {};
        confirmations_.push_back(
            {result, clock::now() + confirm_timeout, done});
      });
}

void control_plane::confirm_changes(time_point now) {
  std::vector<std::pair<pending_confirmation, bool>> completed;
  std::erase_if(confirmations_, [&](const pending_confirmation& pending) {
    bool confirmed =
        freshness_.majority_applied(pending.result.decision.decided_at);
    if (confirmed || pending.deadline < now) {
      completed.emplace_back(pending, confirmed);
      return true;
    }
    return false;
  });
  for (const auto& [pending, confirmed] : completed) {
    pending.done(change_response(pending.result, confirmed));
  }
  if (!confirmations_.empty()) {
    // Starts a heartbeat round early: its responses show which members have
    // applied the change.
    last_heartbeat_ = std::min(last_heartbeat_, now - milliseconds(400));
  }
}

void control_plane::fetch_instances() {
  auto now = clock::now();
  if (fetching_instances_ ||
      now - last_instance_fetch_ < instance_fetch_interval) {
    return;
  }
  fetching_instances_ = true;
  last_instance_fetch_ = now;
  instance_list_.fetch(
      [this](absl::StatusOr<external::instance_snapshot> list) {
        fetching_instances_ = false;
        if (!list.ok()) {
          metrics_.counter("vanillaladder_instance_list_failures_total")
              .increment();
          return;
        }
        instances_ = *std::move(list);
        instances_known_ = true;
        shards_->on_workers(instances_.workers);
        view_dirty_ = true;
      });
}

void control_plane::begin_drain() {
  if (drain_ != drain_phase::none) {
    return;
  }
  logger_.info("draining");
  drain_ = drain_phase::announced;
  drain_started_ = clock::now();
  view_dirty_ = true;
}

void control_plane::advance_drain(time_point now) {
  switch (drain_) {
    case drain_phase::none:
    case drain_phase::leaving:
      return;
    case drain_phase::announced:
      if (now - drain_started_ >= options_.settings.limits.drain_delay) {
        drain_ = drain_phase::finishing_requests;
        front_.drain(
            [this] { loop_.post([this] { requests_finished_ = true; }); });
      }
      return;
    case drain_phase::finishing_requests:
      if (requests_finished_) {
        drain_ = drain_phase::releasing_shards;
        drain_started_ = now;
      }
      return;
    case drain_phase::releasing_shards:
      if (!shards_->all_released() && now - drain_started_ < release_timeout) {
        return;
      }
      drain_ = drain_phase::leaving;
      if (!is_member() || !stream_->log_reachable(now)) {
        result_ = absl::OkStatus();
        return;
      }
      stream_->publish(
          coordination::member_left{self_.id, self_.incarnation,
                                    coordination::leave_reason::graceful},
          now + append_timeout,
          [this](const publish_result&) { result_ = absl::OkStatus(); });
      return;
  }
}

}  // namespace vanillaladder::control
