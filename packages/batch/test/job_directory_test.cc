#include "batch/job_directory.h"

#include <catch2/catch.hpp>

namespace vanillaladder::batch {
namespace {

std::string job_value(const std::string& id, int repeat = 0) {
  job_spec spec;
  spec.id = id;
  spec.queue = "reports";
  spec.steps = {{.count = 1}};
  spec.repeat_count = repeat;
  return encode(spec);
}

std::string status_value(job_state state) {
  return encode(job_status{state, 1, "reports"});
}

using change = job_directory::change;

TEST_CASE("pending jobs are those of which no task has started") {
  job_directory jobs;
  REQUIRE(jobs.apply("j/a", job_value("a")) == change::job_added);
  jobs.apply("j/b", job_value("b"));
  jobs.apply("j/t", job_value("t", 3));
  REQUIRE(jobs.pending("reports") == 2);
  jobs.apply("s/a", status_value(job_state::running));
  REQUIRE(jobs.pending("reports") == 1);
  REQUIRE(jobs.apply("c/b", "1") == change::job_cancelled);
  REQUIRE(jobs.pending("reports") == 0);
}

// A reload delivers records again that were already applied.
TEST_CASE("applying a record twice has no effect") {
  job_directory jobs;
  jobs.apply("j/a", job_value("a"));
  REQUIRE(jobs.apply("j/a", job_value("a")) == change::none);
  REQUIRE(jobs.pending("reports") == 1);
  jobs.apply("c/a", "1");
  REQUIRE(jobs.apply("c/a", "1") == change::none);
  REQUIRE(jobs.pending("reports") == 0);
}

// A submission that is retried seconds after the end must not start the job
// again.
TEST_CASE("a job that is submitted again after its end stays ended") {
  job_directory jobs;
  jobs.apply("j/a", job_value("a"));
  jobs.apply("s/a", status_value(job_state::completed));
  jobs.apply("j/a", "");
  REQUIRE(jobs.apply("j/a", job_value("a")) == change::duplicate_job);
  REQUIRE(jobs.find("a")->visible_state() == job_state::completed);
  REQUIRE(jobs.pending("reports") == 0);
}

TEST_CASE("a cancellation after the end does not change the state") {
  job_directory jobs;
  jobs.apply("j/a", job_value("a"));
  jobs.apply("s/a", status_value(job_state::completed));
  REQUIRE(jobs.apply("c/a", "1") == change::none);
  REQUIRE(jobs.find("a")->visible_state() == job_state::completed);
}

TEST_CASE("removing the state record removes the job") {
  job_directory jobs;
  jobs.apply("j/a", job_value("a"));
  jobs.apply("s/a", status_value(job_state::failed));
  jobs.apply("s/a", "");
  REQUIRE(jobs.find("a") == nullptr);
}

TEST_CASE("unknown keys and malformed values are reported") {
  job_directory jobs;
  REQUIRE(jobs.apply("other", "x") == change::unreadable);
  REQUIRE(jobs.apply("j/a", "\xff\xff") == change::unreadable);
  REQUIRE(jobs.apply("s/a", "\xff\xff") == change::unreadable);
}

}  // namespace
}  // namespace vanillaladder::batch
