#include "coordination/ownership.h"

#include <catch2/catch.hpp>

#include "support.h"

namespace vanillaladder::coordination {
namespace {

constexpr std::int64_t now = 100000;

member_liveness live_member(const std::string& id, std::int64_t silent_ms = 0) {
  return {id, 1, at_ms(now - silent_ms), true, false};
}

/// Two members, of which `preferred` is the preferred owner of shard 0.
struct two_members {
  std::vector<member_liveness> members{live_member("a"), live_member("b")};
  std::string preferred;
  std::string other;

  two_members() {
    std::vector<std::string> ids{"a", "b"};
    preferred = *preferred_owner(0, ids);
    other = preferred == "a" ? "b" : "a";
  }
  member_liveness& of(const std::string& id) {
    return members[id == "a" ? 0 : 1];
  }
  ownership_action decide(const std::string& self,
                          std::optional<owner_claimed> owner,
                          bool may_append = true) const {
    return decide_ownership(
        {0, self, 1, may_append, std::move(owner), members, std::nullopt},
        at_ms(now));
  }
};

}  // namespace

// Guards against shards that move although their preferred owner remains.
TEST_CASE("only the shards of a lost member move") {
  std::vector<std::string> all;
  all.reserve(8);
  for (int i = 0; i < 8; ++i) {
    all.push_back("m" + std::to_string(i));
  }
  std::vector<std::string> fewer(all.begin(), all.end() - 1);
  for (model::shard_id shard = 0; shard < model::shard_count; ++shard) {
    auto before = preferred_owner(shard, all);
    if (before != all.back()) {
      CHECK(preferred_owner(shard, fewer) == before);
    }
  }
  CHECK_FALSE(preferred_owner(0, {}));
}

// Guards against claims by a daemon that is not the preferred owner, or that
// can't append.
TEST_CASE("the preferred member claims a shard without an owner") {
  two_members pair;
  CHECK(pair.decide(pair.preferred, std::nullopt) == ownership_action::claim);
  CHECK(pair.decide(pair.other, std::nullopt) == ownership_action::none);
  CHECK(pair.decide(pair.preferred, std::nullopt, false) ==
        ownership_action::none);
  CHECK(pair.decide("c", std::nullopt) == ownership_action::none);
  CHECK(pair.decide(pair.preferred, owner_claimed{"gone", 1}) ==
        ownership_action::claim);
  CHECK(pair.decide(pair.preferred, owner_claimed{pair.preferred, 0}) ==
        ownership_action::claim);
}

// Guards against a claim to the shard of a live owner, and a shard that stays
// with a dead owner.
TEST_CASE("an owner is replaced after three seconds of silence") {
  two_members pair;
  owner_claimed owner{pair.preferred, 1};
  pair.of(pair.preferred).last_heard = at_ms(now - 1499);
  CHECK(pair.decide(pair.other, owner) == ownership_action::none);
  pair.of(pair.preferred).last_heard = at_ms(now - 2999);
  CHECK(pair.decide(pair.other, owner) == ownership_action::none);
  pair.of(pair.preferred).last_heard = at_ms(now - 3000);
  CHECK(pair.decide(pair.other, owner) == ownership_action::claim);
}

// Guards against shards that all move at once, or to a member with a stale
// view.
TEST_CASE("an owner releases one shard a second to fresh preferred members") {
  two_members pair;
  owner_claimed owner{pair.other, 1};
  CHECK(pair.decide(pair.other, owner) == ownership_action::release);
  ownership_input input{
      0, pair.other, 1, true, owner, pair.members, at_ms(now - 999)};
  CHECK(decide_ownership(input, at_ms(now)) == ownership_action::none);
  pair.of(pair.preferred).fresh = false;
  CHECK(pair.decide(pair.other, owner) == ownership_action::none);
  pair.of(pair.other).draining = true;
  CHECK(pair.decide(pair.other, owner) == ownership_action::release);
}

// Guards against members that are expelled too early, or that expel themselves.
TEST_CASE("a member is expelled after ten seconds of silence") {
  std::vector<member_liveness> members{
      live_member("a", 20000), live_member("b", 9999), live_member("c", 10000)};
  CHECK(members_to_expel("a", members, at_ms(now)) ==
        std::vector<member_left>{{"c", 1, leave_reason::expelled}});
}

}  // namespace vanillaladder::coordination
