#include "batch/work_budget.h"

#include <catch2/catch.hpp>

namespace vanillaladder::batch {
namespace {

using namespace std::chrono_literals;

/// Records turns that use their whole budget.
void run_turns(work_budget& budget, std::chrono::nanoseconds unit, int turns) {
  for (int n = 0; n < turns; ++n) {
    budget.observe(budget.units(), budget.units() * unit);
  }
}

TEST_CASE("turns take the target duration on fast and slow processors") {
  for (auto unit : {300ns, 1000ns, 8000ns}) {
    work_budget budget;
    run_turns(budget, unit, 20);
    auto elapsed = budget.units() * unit;
    REQUIRE(elapsed <= work_budget::target);
    REQUIRE(elapsed >= work_budget::target / 2);
  }
}

// An instance that becomes slow must not block its event loop for several long
// turns.
TEST_CASE("the turn after a slow one is shortened") {
  work_budget budget;
  run_turns(budget, 300ns, 20);
  budget.observe(budget.units(), budget.units() * 3000ns);
  REQUIRE(budget.units() * 3000ns <= work_budget::target);
}

TEST_CASE("short turns do not change the budget") {
  work_budget budget;
  budget.observe(10, 40ms);
  REQUIRE(budget.units() == work_budget::initial_units);
}

}  // namespace
}  // namespace vanillaladder::batch
