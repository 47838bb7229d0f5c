#include "coordination/view_freshness.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace vanillaladder::coordination {

void view_freshness::set_members(const membership_view& view) {
  members_.clear();
  for (const auto& member : view.members) {
    members_.emplace(member.id, member.incarnation);
  }
  std::erase_if(positions_, [&](const auto& item) {
    return item.second.applied <= view.offset && !is_member(item.first);
  });
  evaluate_round();
  evaluate_recovery();
}

void view_freshness::set_applied(model::offset applied) {
  applied_ = std::max(applied_, applied);
  evaluate_round();
  evaluate_recovery();
}

void view_freshness::on_log_end(model::time_point sent, model::offset next) {
  if (next > applied_ + 1) {
    return;
  }
  verified_at_ = verified_at_ ? std::max(*verified_at_, sent) : sent;
  recovered_ = true;
}

std::uint64_t view_freshness::start_round(model::time_point sent) {
  round_sent_ = sent;
  round_responses_.clear();
  ++round_;
  evaluate_round();
  return round_;
}

void view_freshness::on_heartbeat_response(std::uint64_t round,
                                           const peer_position& peer) {
  on_position(peer);
  if (round == round_ && round_sent_ && peer.recovered) {
    round_responses_[peer.member] = peer.applied;
    evaluate_round();
  }
}

void view_freshness::on_position(const peer_position& peer) {
  peer_position& known = positions_[peer.member];
  known.member = peer.member;
  known.applied = std::max(known.applied, peer.applied);
  known.recovered = known.recovered || peer.recovered;
  evaluate_recovery();
}

freshness view_freshness::state(model::time_point now) const {
  bool verified = verified_at_ && now - *verified_at_ < limit_;
  return verified && self_is_member() ? freshness::fresh : freshness::stale;
}

bool view_freshness::majority_applied(model::offset offset) const {
  return offset <= majority_offset();
}

model::offset view_freshness::majority_offset() const {
  std::vector<model::offset> offsets;
  if (recovered_ && self_is_member()) {
    offsets.push_back(applied_);
  }
  for (const auto& [member, position] : positions_) {
    if (member != self_ && position.recovered && is_member(member)) {
      offsets.push_back(position.applied);
    }
  }
  if (members_.empty() || offsets.size() < majority()) {
    return -1;
  }
  std::sort(offsets.begin(), offsets.end(), std::greater<>());
  return offsets[majority() - 1];
}

std::optional<peer_position> view_freshness::most_advanced_peer() const {
  std::optional<peer_position> best;
  for (const auto& [member, position] : positions_) {
    model::offset known = best ? best->applied : applied_;
    if (position.applied > known) {
      best = position;
    }
  }
  return best;
}

void view_freshness::evaluate_round() {
  if (!round_sent_ || !self_is_member()) {
    return;
  }
  std::size_t count = recovered_ ? 1 : 0;
  for (const auto& [member, applied] : round_responses_) {
    bool counts = member != self_ && is_member(member) && applied <= applied_;
    count += counts ? 1 : 0;
  }
  if (count >= majority()) {
    verified_at_ =
        verified_at_ ? std::max(*verified_at_, *round_sent_) : *round_sent_;
  }
}

void view_freshness::evaluate_recovery() {
  if (recovered_ || !self_is_member()) {
    return;
  }
  // A majority that confirmed an offset with the help of an earlier incarnation
  // of this instance shares a member with any majority of the other members.
  std::size_t others = members_.size() - 1;
  std::size_t count = 0;
  for (const auto& [member, position] : positions_) {
    if (member == self_ || !position.recovered || !is_member(member)) {
      continue;
    }
    if (position.applied > applied_) {
      return;
    }
    ++count;
  }
  recovered_ = others > 0 && count >= others / 2 + 1;
}

bool view_freshness::is_member(const member_key& member) const {
  return members_.contains(member);
}

bool view_freshness::self_is_member() const {
  return is_member(self_);
}

std::size_t view_freshness::majority() const {
  return members_.size() / 2 + 1;
}

}  // namespace vanillaladder::coordination
