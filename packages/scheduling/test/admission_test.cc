#include "scheduling/admission.h"

#include <catch2/catch.hpp>

namespace vanillaladder::scheduling {
namespace {

admission_input busy() {
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

// Guards against requests that wait only to miss their deadline, and against
// a team that is refused because of another team's backlog.
TEST_CASE("admission tells a full service from a team over its share") {
  CHECK(decide_admission(busy()) == refusal_reason::team_share);
  auto modest = busy();
  modest.team_backlog_ms = 1000;
  modest.work_ahead_ms = 2000;
  CHECK_FALSE(decide_admission(modest));
  auto alone = busy();
  alone.active_weight = alone.team_weight;
  alone.team_backlog_ms = alone.backlog_ms;
  CHECK(decide_admission(alone) == refusal_reason::deadline);
  auto free = busy();
  free.slot_free = true;
  CHECK_FALSE(decide_admission(free));
  auto full = busy();
  full.queued = full.max_queued;
  CHECK(decide_admission(full) == refusal_reason::queue_full);
}

// Guards against costs that do not follow the measurements, and against paths
// with ids that grow the table without bound.
TEST_CASE("expected costs follow the start of the path") {
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
