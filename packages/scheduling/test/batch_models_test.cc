#include <catch2/catch.hpp>

#include "scheduling/evacuation.h"
#include "scheduling/interference.h"
#include "scheduling/probation.h"
#include "scheduling/quota.h"

namespace vanillaladder::scheduling {
namespace {

using model::milliseconds;
using std::chrono::seconds;

const model::time_point start{std::chrono::hours(10)};

}  // namespace

TEST_CASE("interference is attributed to the right neighbour",
          "[interference]") {
  interference_model interference;
  CHECK(interference.expected_slowdown("a", {{"b", 3}}) == 100);
  CHECK(interference.pair_estimate("a", "b").confidence == 0);
  for (int i = 0; i < 200; ++i) {
    interference.observe("a", {{"b", 2}}, 120);
    interference.observe("a", {{"b", 2}, {"c", 1}}, 150);
  }
  CHECK(interference.pair_estimate("a", "b").excess_percent ==
        Approx(10).margin(1));
  CHECK(interference.pair_estimate("a", "c").excess_percent ==
        Approx(30).margin(2));
  // A measurement counts for a pair by the pair's squared count: 1 of 5.
  CHECK(interference.pair_estimate("a", "c").confidence == Approx(40.0 / 45.0));
}

TEST_CASE("throttling has hysteresis and precedes eviction", "[interference]") {
  throttle_controller control;
  CHECK(control.observe(130, 120) == throttle_decision::none);
  CHECK(control.observe(115, 120) == throttle_decision::none);
  CHECK(control.observe(130, 120) == throttle_decision::none);
  CHECK(control.observe(130, 120) == throttle_decision::throttle);
  CHECK(control.cpu_limit_percent() == 50);
  for (int i = 0; i < 20; ++i)  // Below the limit, but not well below it.
    CHECK(control.observe(115, 120) == throttle_decision::none);
  control.observe(130, 120);
  CHECK(control.observe(130, 120) == throttle_decision::throttle);
  control.observe(130, 120);
  CHECK(control.observe(130, 120) == throttle_decision::evict);
  control.observe(105, 120);
  control.observe(105, 120);
  CHECK(control.observe(105, 120) == throttle_decision::unthrottle);
}

TEST_CASE("shares are weighted and quotas are enforced", "[quota]") {
  team_quotas quotas;
  quotas.set_capacity({10'000, 10'000, 0});
  quotas.set_limits({{"a", {10, {3'000, -1, -1}}}, {"b", {20, {}}}});
  quotas.charge("a", {2'000, 100, 0});
  quotas.charge("b", {3'000, 100, 0});
  CHECK(quotas.weighted_dominant_share("a") >
        quotas.weighted_dominant_share("b"));
  CHECK(quotas.allows("a", {1'000, 100, 0}, {-1, -1, -1}));
  CHECK_FALSE(quotas.allows("a", {1'001, 100, 0}, {-1, -1, -1}));
  quotas.release("a", {2'000, 100, 0});
  // A first task within the total quota is allowed even if the quota of the
  // shard is smaller.
  CHECK(quotas.allows("a", {3'500, 100, 0}, {12'000, -1, -1}));
  CHECK_FALSE(quotas.allows("a", {3'500, 100, 0}, {3'400, -1, -1}));
  CHECK(divide_quota({10, -1, 0}, 4) == model::resources{3, -1, 0});
}

TEST_CASE("a failing worker gets at most five starts per minute",
          "[probation]") {
  start_probation probation;
  auto now = start;
  int starts = 0;
  for (std::uint32_t i = 0; now < start + seconds(60); ++i) {
    if (probation.allows_start("w", now)) {
      ++starts;
      probation.record_start("w", {"t", i}, now);
      probation.record_failure("w", {"t", i}, "job" + std::to_string(i), now);
    }
    now += milliseconds(100);
  }
  CHECK(starts == 5);
  CHECK(probation.allows_start("w", now));
}

// Guards against counting the minute from the decision: the worker receives the
// start later, after the log append and the call.
TEST_CASE("failed starts count for a minute from the failure", "[probation]") {
  start_probation probation;
  for (std::uint32_t i = 0; i < 5; ++i) {
    probation.record_start("w", {"t", i}, start);
    probation.record_failure("w", {"t", i}, "job", start + seconds(3));
  }
  CHECK_FALSE(probation.allows_start("w", start + seconds(62)));
  CHECK(probation.allows_start("w", start + seconds(63)));
}

TEST_CASE("confirmed starts do not limit a healthy worker", "[probation]") {
  start_probation probation;
  for (std::uint32_t i = 0; i < 5; ++i)
    probation.record_start("w", {"t", i}, start);
  CHECK_FALSE(probation.allows_start("w", start));
  probation.record_running("w", {"t", 0}, start + milliseconds(1'900));
  CHECK_FALSE(probation.allows_start("w", start + seconds(2)));
  probation.record_running("w", {"t", 0}, start + seconds(2));
  CHECK(probation.allows_start("w", start + seconds(2)));
}

TEST_CASE("a job that fails on three workers does not limit the workers",
          "[probation]") {
  start_probation probation;
  for (const auto* const worker : {"a", "b", "c"}) {
    for (std::uint32_t i = 0; i < 5; ++i)
      probation.record_failure(worker, {"t", i}, "bad", start);
  }
  CHECK(probation.allows_start("a", start));
  CHECK_FALSE(probation.on_probation("a", start));
}

TEST_CASE("checkpoints are rate limited and capacity ramps up",
          "[evacuation]") {
  checkpoint_rate_limiter limiter;
  limiter.set_rate(5'000);
  int started = 0;
  for (auto now = start; now < start + seconds(10); now += milliseconds(10))
    started += limiter.try_acquire(now) ? 1 : 0;
  CHECK(started == 50);
  capacity_ramp ramp;
  CHECK(ramp.usable_percent("w", start) == 100);
  ramp.begin_ramp("w", start);
  CHECK(ramp.usable_percent("w", start) == 5);
  CHECK(ramp.usable_percent("w", start + seconds(10)) == 50);
  CHECK(ramp.usable_percent("w", start + seconds(20)) == 100);
}

}  // namespace vanillaladder::scheduling
