#include "scheduling/usage_model.h"

#include <catch2/catch.hpp>

namespace vanillaladder::scheduling {
namespace {

using model::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const model::time_point start{std::chrono::hours(10)};
const model::resources declared{1'000, 100, 0};

/// @return a current measurement, taken after startup, of a task of class "c".
task_usage measurement(const model::job_id& job, const model::resources& used) {
  return {job, "c", declared, used, milliseconds(0), usage_model::startup_time};
}

/// Adds a job with a finished task of this peak.
void add_finished(usage_model& usage, const model::job_id& job,
                  const model::resources& used) {
  usage.observe(measurement(job, used), start);
  usage.record_completion(job, "c");
}

}  // namespace

TEST_CASE("a learned size is at least the declared size and expires",
          "[usage_model]") {
  usage_model usage;
  add_finished(usage, "a", {500, 150, 0});
  CHECK(usage.expected_size("a", "c", declared, start) ==
        model::resources{1'000, 150, 0});
  // 150% plus a quarter of the excess.
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
  auto old = measurement("d", {9'000, 900, 0});
  old.age = minutes(30);
  usage.observe(old, start);
  CHECK(usage.expected_size("d", "c", declared, start).memory_mib == 163);
}

// Guards against one job that declares too little raising the estimate of a job
// that has measurements of its own.
TEST_CASE("the estimate of a measured job follows its own tasks",
          "[usage_model]") {
  usage_model usage;
  add_finished(usage, "off", {3'000, 300, 0});
  CHECK_FALSE(usage.has_measurement("a", "c", start));
  add_finished(usage, "a", {1'000, 120, 0});
  CHECK(usage.has_measurement("a", "c", start));
  CHECK(usage.expected_size("a", "c", declared, start) ==
        model::resources{1'000, 120, 0});
  usage.observe(measurement("a", {1'200, 110, 0}), start);
  CHECK(usage.expected_size("a", "c", declared, start) ==
        model::resources{1'200, 120, 0});
}

// Guards against an estimate based on the startup of a task, or on a report
// without a measurement.
TEST_CASE("the startup of its first task does not make a job measured",
          "[usage_model]") {
  usage_model usage;
  add_finished(usage, "off", {3'000, 300, 0});
  auto early = measurement("a", {100, 10, 0});
  early.running_time = usage_model::startup_time - milliseconds(1);
  usage.observe(early, start);
  usage.observe(measurement("a", {}), start);
  CHECK_FALSE(usage.has_measurement("a", "c", start));
  CHECK(usage.expected_size("a", "c", declared, start) ==
        model::resources{3'500, 350, 0});
  early.used = {100, 900, 0};  // More than observed in the class.
  usage.observe(early, start);
  CHECK(usage.expected_size("a", "c", declared, start) ==
        model::resources{3'500, 900, 0});
}

// Guards against a job of short tasks that never counts as measured.
TEST_CASE("a job is measured by a task that has finished early",
          "[usage_model]") {
  usage_model usage;
  add_finished(usage, "off", {3'000, 300, 0});
  auto early = measurement("a", {1'000, 120, 0});
  early.running_time = seconds(2);
  usage.observe(early, start);
  CHECK_FALSE(usage.has_measurement("a", "c", start));
  usage.record_completion("a", "c");
  CHECK(usage.has_measurement("a", "c", start));
  CHECK(usage.expected_size("a", "c", declared, start).memory_mib == 120);
}

// Guards against new jobs that all reserve the usage of the worst job of their
// class.
TEST_CASE(
    "one outlier does not set the estimate of a class of five or more jobs",
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
  // Two of 41 are ignored as outliers.
  add_finished(usage, "off2", {20'000, 2'000, 0});
  CHECK(usage.expected_size("new", "c", declared, start) ==
        model::resources{1'500, 150, 0});
  add_finished(usage, "off3", {20'000, 2'000, 0});
  CHECK(usage.expected_size("new", "c", declared, start).memory_mib >= 2'000);
}

// Guards against placing tasks next to others that have not yet reached their
// full size.
TEST_CASE("a job without a finished task is expected to grow like its class",
          "[usage_model]") {
  usage_model usage;
  usage.observe(measurement("grows", {1'000, 100, 0}), start);
  usage.observe(measurement("grows", {1'000, 200, 0}), start + seconds(60));
  const auto later = start + seconds(60);
  usage.observe(measurement("a", {1'000, 110, 0}), later);
  // The growth is unknown until a task of the class has finished.
  CHECK(usage.expected_size("a", "c", declared, later).memory_mib == 225);
  usage.record_completion("grows", "c");
  // Twice the first measurement plus a quarter of the excess.
  CHECK(usage.expected_size("a", "c", declared, later).memory_mib == 248);
  usage.record_completion("a", "c");
  CHECK(usage.expected_size("a", "c", declared, later).memory_mib == 110);
}

}  // namespace vanillaladder::scheduling
