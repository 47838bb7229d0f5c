#include "batch/worker_trust.h"

#include <catch2/catch.hpp>

namespace vanillaladder::batch {
namespace {

using namespace std::chrono_literals;

const time_point start{100s};

TEST_CASE("failures of a single job do not pause a worker") {
  worker_trust trust;
  trust.on_task_failed("a", start);
  trust.on_task_failed("a", start);
  REQUIRE(trust.may_start(start, 5));
}

TEST_CASE("consecutive failures of several jobs pause a worker") {
  worker_trust trust;
  trust.on_task_failed("a", start);
  trust.on_task_failed("b", start);
  REQUIRE_FALSE(trust.may_start(start, 0));
  auto later = start + worker_trust::initial_pause;
  REQUIRE(trust.may_start(later, 0));
  REQUIRE_FALSE(trust.may_start(later, 1));
  trust.on_task_done();
  REQUIRE(trust.may_start(later, 5));
}

TEST_CASE("probation ends after a time without failures") {
  worker_trust trust;
  trust.on_task_failed("a", start);
  trust.on_task_failed("b", start);
  auto trial = start + worker_trust::initial_pause;
  REQUIRE_FALSE(trust.may_start(trial, 3));
  REQUIRE(trust.may_start(trial + worker_trust::probation_time, 3));
}

TEST_CASE("each further failure doubles the pause up to its limit") {
  worker_trust trust;
  auto now = start;
  trust.on_task_failed("a", now);
  trust.on_task_failed("b", now);
  for (int n = 0; n < 6; ++n) {
    now += worker_trust::max_pause;
    trust.on_task_failed("c" + std::to_string(n), now);
    REQUIRE_FALSE(trust.may_start(now, 0));
  }
  REQUIRE(trust.may_start(now + worker_trust::max_pause, 0));
}

// Guards against a task that waits for the longest pause, or for the end of the
// probation, although no other worker can run it.
TEST_CASE("a paused worker is the last resort after a bounded time") {
  worker_trust trust;
  auto now = start;
  for (int n = 0; n < 6; ++n) {
    now += worker_trust::max_pause;
    trust.on_refused(now);
  }
  auto bounded = now + worker_trust::only_worker_pause;
  REQUIRE_FALSE(trust.may_start(bounded, 0));
  REQUIRE_FALSE(trust.may_start_as_only(bounded - 1ms, start));
  REQUIRE(trust.may_start_as_only(bounded, start));
  REQUIRE_FALSE(trust.may_start_as_only(bounded, now + 1ms));
}

}  // namespace
}  // namespace vanillaladder::batch
