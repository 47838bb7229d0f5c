#include "dispatch/job_admission.h"

#include <catch2/catch.hpp>

#include "batch/job_memory.h"

namespace vanillaladder::dispatch {
namespace {

using decision = job_admission::decision;

batch::job_spec job_of(int tasks) {
  batch::job_spec spec;
  spec.id = "0000000000000001";
  spec.steps = {{.count = tasks}};
  spec.steps[0].estimated_run_time = std::chrono::seconds(1);
  return spec;
}

batch::job_spec recurring_job_of(int tasks, int interval_ms) {
  auto spec = job_of(tasks);
  spec.repeat_count = 1000;
  spec.interval = std::chrono::milliseconds(interval_ms);
  return spec;
}

/// Memory of jobs that callers submit until they are refused.
struct flood {
  job_admission admission;
  jobs_memory used;

  /// @return number of jobs that were admitted.
  int submit_until_refused(const batch::job_spec& spec) {
    int count = 0;
    while (submit(spec)) {
      ++count;
      REQUIRE(count < 1'000'000);
    }
    return count;
  }
  bool submit(const batch::job_spec& spec) {
    if (admission.decide(spec, used) != decision::admitted) {
      return false;
    }
    used.all += memory_of(spec) + batch::directory_entry_bytes;
    used.recurring += spec.repeat_count > 0 ? memory_of(spec) : 0;
    return true;
  }
};

}  // namespace

// Guards against large jobs that leave no room for ordinary ones.
TEST_CASE("large jobs leave room for ordinary ones") {
  for (const auto& large :
       {job_of(50'000), job_of(2'000), recurring_job_of(25'000, 200),
        recurring_job_of(2'000, 200)}) {
    flood f;
    CHECK(f.submit_until_refused(large) > 0);
    CHECK(f.submit_until_refused(job_of(36)) > 100);
    CHECK(f.used.all <= f.admission.budget());
  }
}

// Guards against many recurring jobs, which stay for long.
TEST_CASE("recurring jobs leave half of the memory to others") {
  flood f;
  f.submit_until_refused(recurring_job_of(40, 100));
  f.submit_until_refused(recurring_job_of(1, 100));
  CHECK(f.used.all <= f.admission.budget() / 2);
  CHECK(f.submit(job_of(2'000)));
}

// The size that the product is designed for: 119,700 tasks of 660 teams.
TEST_CASE("the tasks of the largest fleet are admitted") {
  flood f;
  CHECK(f.submit_until_refused(job_of(119'700 / 660)) >= 660);
}

TEST_CASE("a job that no daemon has the memory for is told from a wait") {
  job_admission admission;
  CHECK(admission.decide(job_of(batch::max_tasks_per_job), {}) ==
        decision::admitted);
  CHECK(admission.decide(recurring_job_of(batch::max_tasks_per_job, 200), {}) ==
        decision::too_large);
  jobs_memory full{admission.budget(), 0};
  CHECK(admission.decide(job_of(1), full) == decision::no_memory);
  // An instance with less memory does not decide for the others.
  job_admission small(job_admission::budget_of(64U << 20));
  CHECK(small.budget() < 32U << 20);
  CHECK(small.decide(job_of(batch::max_tasks_per_job), {}) ==
        decision::no_memory);
  CHECK(job_admission::budget_of(1U << 30) == job_admission::max_budget);
}

TEST_CASE("a large job is not accepted on an old copy") {
  job_admission admission;
  CHECK(admission.may_use_old_copy(memory_of(job_of(36)), {}));
  CHECK_FALSE(admission.may_use_old_copy(memory_of(job_of(25'000)), {}));
  jobs_memory full{admission.budget(), 0};
  CHECK_FALSE(admission.may_use_old_copy(1, full));
}

}  // namespace vanillaladder::dispatch
