#include "coordination/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace vanillaladder::coordination {
namespace {

std::uint64_t weight(model::shard_id shard, const model::instance_id& id) {
  return XXH64(id.data(), id.size(), shard);
}

bool eligible(const member_liveness& member, const model::instance_id& self,
              model::time_point now) {
  if (member.draining) {
    return false;
  }
  return member.id == self ||
         (member.fresh &&
          suspicion_of(member.last_heard, now) == suspicion::trusted);
}

const member_liveness* find_owner(std::span<const member_liveness> members,
                                  const owner_claimed& owner) {
  auto found = std::find_if(members.begin(), members.end(),
                            [&](const member_liveness& member) {
                              return member.id == owner.owner &&
                                     member.incarnation == owner.incarnation;
                            });
  return found == members.end() ? nullptr : &*found;
}

bool may_claim(const ownership_input& input, model::time_point now) {
  if (!input.owner) {
    return true;
  }
  const member_liveness* owner = find_owner(input.members, *input.owner);
  return owner == nullptr ||
         suspicion_of(owner->last_heard, now) >= suspicion::claimable;
}

bool may_release(const ownership_input& input, bool draining,
                 model::time_point now) {
  // The interval only spreads the moves after a membership change, so it does
  // not apply to a draining daemon.
  return draining || !input.last_release ||
         now - *input.last_release >= release_interval_ms;
}

}  // namespace

suspicion suspicion_of(model::time_point last_heard, model::time_point now) {
  auto silence = now - last_heard;
  if (silence >= expel_after_ms) {
    return suspicion::expellable;
  }
  if (silence >= claim_after_ms) {
    return suspicion::claimable;
  }
  return silence >= suspect_after_ms ? suspicion::suspected
                                     : suspicion::trusted;
}

std::optional<model::instance_id> preferred_owner(
    model::shard_id shard, std::span<const model::instance_id> candidates) {
  std::optional<model::instance_id> best;
  std::uint64_t best_weight = 0;
  for (const auto& id : candidates) {
    std::uint64_t candidate_weight = weight(shard, id);
    if (!best || candidate_weight > best_weight ||
        (candidate_weight == best_weight && id < *best)) {
      best = id;
      best_weight = candidate_weight;
    }
  }
  return best;
}

ownership_action decide_ownership(const ownership_input& input,
                                  model::time_point now) {
  std::vector<model::instance_id> candidates;
  bool self_is_member = false;
  bool draining = false;
  for (const auto& member : input.members) {
    if (member.id == input.self && member.incarnation == input.incarnation) {
      self_is_member = true;
      draining = member.draining;
    }
    if (eligible(member, input.self, now)) {
      candidates.push_back(member.id);
    }
  }
  if (!input.may_append || !self_is_member) {
    return ownership_action::none;
  }
  auto preferred = preferred_owner(input.shard, candidates);
  bool self_preferred = preferred == input.self;
  if (input.owner == owner_claimed{input.self, input.incarnation}) {
    bool should_release = draining || (preferred && !self_preferred);
    return should_release && may_release(input, draining, now)
               ? ownership_action::release
               : ownership_action::none;
  }
  return self_preferred && may_claim(input, now) ? ownership_action::claim
                                                 : ownership_action::none;
}

std::vector<member_left> members_to_expel(
    const model::instance_id& self, std::span<const member_liveness> members,
    model::time_point now) {
  std::vector<member_left> out;
  for (const auto& member : members) {
    if (member.id != self &&
        suspicion_of(member.last_heard, now) == suspicion::expellable) {
      out.push_back({member.id, member.incarnation, leave_reason::expelled});
    }
  }
  return out;
}

}  // namespace vanillaladder::coordination
