#include "scheduling/admission.h"

#include <catch2/catch.hpp>

namespace vanillaladder::scheduling {
namespace {

admission_input overloaded() {
  return {.queued = 100,
          .slots = 10,
          .work_ahead_ms = 10000,
          .backlog_ms = 10000,
          .team_backlog_ms = 9000,
          .team_weight = 10,
          .active_weight = 20,
          .expected_cost_ms = 100,
          .remaining_ms = 1000};
}

}  // namespace

// Guards against admitting requests that will miss their deadline in the queue,
// and against refusing a team because of another team's backlog.
TEST_CASE(
    "admission distinguishes an overloaded service from a team over its "
    "share") {
  CHECK(decide_admission(overloaded()) == refusal_reason::team_share);
  auto below_share = overloaded();
  below_share.team_backlog_ms = 1000;
  below_share.work_ahead_ms = 2000;
  CHECK_FALSE(decide_admission(below_share));
  auto only_team = overloaded();
  only_team.active_weight = only_team.team_weight;
  only_team.team_backlog_ms = only_team.backlog_ms;
  CHECK(decide_admission(only_team) == refusal_reason::deadline);
  auto idle = overloaded();
  idle.slot_free = true;
  CHECK_FALSE(decide_admission(idle));
  auto full = overloaded();
  full.queued = full.max_queued;
  CHECK(decide_admission(full) == refusal_reason::queue_full);
}

// Guards against estimates that ignore the measurements, and against unbounded
// growth of the table through paths that contain ids.
TEST_CASE("costs are estimated by path prefix") {
  cost_estimator costs;
  CHECK(costs.estimate_cost("s", "c", "/s/a") ==
        cost_estimator::initial_cost_ms);
  for (int n = 0; n < 3000; ++n) {
    costs.observe("s", "c", "/s/slow/" + std::to_string(n), 200);
    costs.observe("s", "c", "/s/fast/" + std::to_string(n), 10);
    costs.observe("s", "c", "/s/x" + std::to_string(n), 30);
  }
  CHECK(costs.estimate_cost("s", "c", "/s/slow/new") == Approx(200));
  CHECK(costs.estimate_cost("s", "c", "/s/fast/new") == Approx(10));
  CHECK(costs.estimate_cost("s", "c", "/s/x2999") < 200);
}

}  // namespace vanillaladder::scheduling
