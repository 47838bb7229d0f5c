#include "scheduling/usage_model.h"

#include <catch2/catch.hpp>

namespace vanillaladder::scheduling {
namespace {

using model::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const model::time_point start{std::chrono::hours(10)};
const model::resources declared{1'000, 100, 0};

/// A measurement made now of a task of class "c" that has run long enough.
task_usage settled(const model::job_id& job, const model::resources& used) {
  return {job, "c", declared, used, milliseconds(0), usage_model::startup_time};
}

/// A job of which a task used this much until its end.
void add_finished(usage_model& usage, const model::job_id& job,
                  const model::resources& used) {
  usage.observe(settled(job, used), start);
  usage.record_completion(job, "c");
}

}  // namespace

TEST_CASE("a learned size is never below the declared one and is forgotten",
          "[usage_model]") {
  usage_model usage;
  add_finished(usage, "a", {500, 150, 0});
  CHECK(usage.expected_size("a", "c", declared, start) ==
        model::resources{1'000, 150, 0});
  // 150% and a quarter of the excess.
  CHECK(usage.expected_size("b", "c", declared, start) ==
        model::resources{1'000, 163, 0});
  CHECK(usage.expected_size("b", "c", {2'000, 200, 0}, start).memory_mib ==
        326);
  CHECK(
      usage.expected_size("a", "c", declared, start + minutes(10)).memory_mib ==
      150);
  CHECK(
      usage.expected_size("b", "c", declared, start + minutes(10)).memory_mib ==
      163);
  CHECK(usage.expected_size("a", "c", declared, start + minutes(25)) ==
        declared);
  CHECK(usage.expected_size("b", "c", declared, start + minutes(25)) ==
        declared);
  auto old = settled("d", {9'000, 900, 0});
  old.age = minutes(30);
  usage.observe(old, start);
  CHECK(usage.expected_size("d", "c", declared, start).memory_mib == 163);
}

// Guards against one job that declares too little enlarging a job whose own
// tasks show what they use.
TEST_CASE("a measured job is expected to use what its tasks use",
          "[usage_model]") {
  usage_model usage;
  add_finished(usage, "off", {3'000, 300, 0});
  CHECK_FALSE(usage.has_measurement("a", "c", start));
  add_finished(usage, "a", {1'000, 120, 0});
  CHECK(usage.has_measurement("a", "c", start));
  CHECK(usage.expected_size("a", "c", declared, start) ==
        model::resources{1'000, 120, 0});
  usage.observe(settled("a", {1'200, 110, 0}), start);
  CHECK(usage.expected_size("a", "c", declared, start) ==
        model::resources{1'200, 120, 0});
}

// Guards against a size that is taken from the start-up of a task, or from a
// report that has no measurement of it yet.
TEST_CASE("a job is not measured by the start-up of its first task",
          "[usage_model]") {
  usage_model usage;
  add_finished(usage, "off", {3'000, 300, 0});
  auto early = settled("a", {100, 10, 0});
  early.running_time = usage_model::startup_time - milliseconds(1);
  usage.observe(early, start);
  usage.observe(settled("a", {}), start);
  CHECK_FALSE(usage.has_measurement("a", "c", start));
  CHECK(usage.expected_size("a", "c", declared, start) ==
        model::resources{3'500, 350, 0});
  early.used = {100, 900, 0};  // More than the class has shown.
  usage.observe(early, start);
  CHECK(usage.expected_size("a", "c", declared, start) ==
        model::resources{3'500, 900, 0});
}

// Guards against a job of short tasks that is never measured.
TEST_CASE("a job is measured by a task that has finished early",
          "[usage_model]") {
  usage_model usage;
  add_finished(usage, "off", {3'000, 300, 0});
  auto early = settled("a", {1'000, 120, 0});
  early.running_time = seconds(2);
  usage.observe(early, start);
  CHECK_FALSE(usage.has_measurement("a", "c", start));
  usage.record_completion("a", "c");
  CHECK(usage.has_measurement("a", "c", start));
  CHECK(usage.expected_size("a", "c", declared, start).memory_mib == 120);
}

// Guards against a class whose new jobs all reserve what its worst job used.
TEST_CASE("one job does not set the expectation of a class of five or more",
          "[usage_model]") {
  usage_model usage;
  add_finished(usage, "off", {20'000, 2'000, 0});
  for (int i = 0; i < 3; ++i)
    add_finished(usage, "a" + std::to_string(i), {1'400, 140, 0});
  CHECK(usage.expected_size("new", "c", declared, start).memory_mib >= 2'000);
  add_finished(usage, "a3", {1'400, 140, 0});
  CHECK(usage.expected_size("new", "c", declared, start) ==
        model::resources{1'500, 150, 0});
  for (int i = 4; i < 39; ++i)
    add_finished(usage, "a" + std::to_string(i), {1'400, 140, 0});
  // Two of 41 are left out.
  add_finished(usage, "off2", {20'000, 2'000, 0});
  CHECK(usage.expected_size("new", "c", declared, start) ==
        model::resources{1'500, 150, 0});
  add_finished(usage, "off3", {20'000, 2'000, 0});
  CHECK(usage.expected_size("new", "c", declared, start).memory_mib >= 2'000);
}

// Guards against tasks that are started beside others that have not yet grown
// to their full size.
TEST_CASE("a job without a finished task is expected to grow like its class",
          "[usage_model]") {
  usage_model usage;
  usage.observe(settled("grows", {1'000, 100, 0}), start);
  usage.observe(settled("grows", {1'000, 200, 0}), start + seconds(60));
  const auto later = start + seconds(60);
  usage.observe(settled("a", {1'000, 110, 0}), later);
  // No task of the class has finished, so that the growth is not known.
  CHECK(usage.expected_size("a", "c", declared, later).memory_mib == 225);
  usage.record_completion("grows", "c");
  // Twice the first measurement and a quarter of the excess.
  CHECK(usage.expected_size("a", "c", declared, later).memory_mib == 248);
  usage.record_completion("a", "c");
  CHECK(usage.expected_size("a", "c", declared, later).memory_mib == 110);
}

}  // namespace vanillaladder::scheduling
