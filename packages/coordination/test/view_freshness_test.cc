#include "coordination/view_freshness.h"

#include <catch2/catch.hpp>

#include "support.h"

namespace vanillaladder::coordination {
namespace {

membership_view view_of(std::initializer_list<const char*> ids) {
  membership_view view{0, {}};
  for (const char* id : ids) {
    view.members.push_back(member(id));
  }
  return view;
}

peer_position position(const char* id, model::offset applied,
                       bool recovered = true) {
  return {{id, 1}, applied, recovered};
}

/// Member `a` of three, which has read the log up to offset 5.
view_freshness three_members() {
  view_freshness view({"a", 1});
  view.set_members(view_of({"a", "b", "c"}));
  view.set_applied(5);
  view.on_log_end(at_ms(0), 6);
  return view;
}

}  // namespace

// Guards guarantee 4: a paused or partitioned daemon must stop by itself.
TEST_CASE("a view is stale two seconds after the question of its last proof") {
  auto view = three_members();
  CHECK(view.state(at_ms(1999)) == freshness::fresh);
  CHECK(view.state(at_ms(2000)) == freshness::stale);
  view.on_log_end(at_ms(1000), 7);
  CHECK(view.state(at_ms(2000)) == freshness::stale);
  view.on_log_end(at_ms(1000), 6);
  CHECK(view.state(at_ms(2999)) == freshness::fresh);
}

// Guards against proofs by fewer than a majority, by members that know more, by
// late answers, by restarted members and by instances that aren't members.
TEST_CASE("a round of heartbeats proves the view only with a majority") {
  auto view = three_members();
  auto old_round = view.start_round(at_ms(3000));
  auto round = view.start_round(at_ms(4000));
  view.on_answer(old_round, position("b", 5));
  view.on_answer(round, position("b", 6));
  view.on_answer(round, position("c", 5, false));
  view.on_answer(round, position("d", 5));
  view.on_answer(round, {{"c", 2}, 5, true});
  CHECK(view.state(at_ms(4100)) == freshness::stale);
  REQUIRE(view.ahead());
  CHECK(view.ahead()->applied == 6);
  view.set_applied(6);
  CHECK(view.state(at_ms(4100)) == freshness::fresh);
  CHECK(view.state(at_ms(6000)) == freshness::stale);
}

// Guards guarantee 10: "accepted" needs a strict majority of the members.
TEST_CASE("an offset is confirmed by a strict majority") {
  auto view = three_members();
  CHECK_FALSE(view.majority_applied(0));
  view.on_position(position("b", 3));
  CHECK(view.majority_offset() == 3);
  view.on_position(position("c", 4));
  view.on_position(position("c", 1));
  CHECK(view.majority_offset() == 4);
  CHECK_FALSE(view.majority_applied(5));
}

// Guards against a restarted member that completes a majority with a view from
// before an accepted patch.
TEST_CASE("a restarted member counts only after it has recovered") {
  view_freshness view({"a", 1});
  view.set_members(view_of({"a", "b", "c"}));
  view.set_applied(2);
  auto round = view.start_round(at_ms(0));
  view.on_answer(round, position("b", 2));
  CHECK_FALSE(view.recovered());
  CHECK(view.state(at_ms(1)) == freshness::stale);
  view.on_answer(round, position("c", 4));
  CHECK_FALSE(view.recovered());
  view.set_applied(4);
  CHECK(view.recovered());
}

// Guards against a removed member that goes on sending.
TEST_CASE("an instance that is not a member is never fresh") {
  auto view = three_members();
  view.set_members(view_of({"b", "c"}));
  view.on_log_end(at_ms(0), 6);
  CHECK(view.state(at_ms(1)) == freshness::stale);
}

}  // namespace vanillaladder::coordination
