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

// Guards against a daemon that missed removals, leads, and starts a removed
// job.
TEST_CASE("jobs without any record are dropped after a load") {
  job_directory jobs;
  jobs.apply("j/a", job_value("a"));
  jobs.apply("j/b", job_value("b"));
  jobs.apply("s/c", status_value(job_state::completed));
  REQUIRE(jobs.retain({"j/b", "other"}) == 2);
  REQUIRE(jobs.find("a") == nullptr);
  REQUIRE(jobs.find("b") != nullptr);
  REQUIRE(jobs.find("c") == nullptr);
  REQUIRE(jobs.pending("reports") == 1);
  REQUIRE(jobs.retain({"j/b"}) == 0);
}

// Guards against the restoration of tasks of a job that has ended.
TEST_CASE("a job without its specification record keeps only its state") {
  job_directory jobs;
  jobs.apply("j/a", job_value("a"));
  jobs.apply("s/a", status_value(job_state::completed));
  REQUIRE(jobs.retain({"s/a"}) == 1);
  REQUIRE(jobs.find("a")->spec == nullptr);
  REQUIRE(jobs.find("a")->visible_state() == job_state::completed);
}

// Guards against a job that is submitted under the id of a removed one and is
// cancelled, or counts as ended, because of the removed one's records.
TEST_CASE("a cancellation and a state without their records don't count") {
  job_directory jobs;
  auto state = GENERATE(job_state::queued, job_state::cancelled);
  jobs.apply("j/a", job_value("a"));
  jobs.apply("c/a", "1");
  jobs.apply("s/a", status_value(state));
  REQUIRE(jobs.pending("reports") == 0);
  REQUIRE(jobs.retain({"j/a"}) == 1);
  REQUIRE(jobs.find("a")->visible_state() == job_state::queued);
  REQUIRE(jobs.find("a")->status.queue == "reports");
  REQUIRE(jobs.pending("reports") == 1);
}

// Guards against a cancellation that is lost because the id's earlier job
// ended.
TEST_CASE(
    "a job under the id of a removed one is cancelled by its own record") {
  job_directory jobs;
  jobs.apply("s/a", status_value(job_state::completed));
  jobs.apply("c/a", "1");
  jobs.apply("j/a", job_value("a"));
  REQUIRE(jobs.retain({"c/a", "j/a"}) == 1);
  REQUIRE(jobs.find("a")->visible_state() == job_state::cancelled);
  REQUIRE(jobs.pending("reports") == 0);
}

TEST_CASE("a load that finds all records changes nothing") {
  job_directory jobs;
  jobs.apply("j/a", job_value("a"));
  jobs.apply("c/a", "1");
  jobs.apply("j/b", job_value("b"));
  jobs.apply("s/b", status_value(job_state::running));
  jobs.apply("c/d", "1");
  REQUIRE(jobs.retain({"j/a", "c/a", "j/b", "s/b", "c/d"}) == 0);
  REQUIRE(jobs.find("a")->cancelled);
  REQUIRE(jobs.find("b")->visible_state() == job_state::running);
  REQUIRE(jobs.find("d")->cancelled);
}

TEST_CASE("unknown keys and malformed values are reported") {
  job_directory jobs;
  REQUIRE(jobs.apply("other", "x") == change::unreadable);
  REQUIRE(jobs.apply("j/a", "\xff\xff") == change::unreadable);
  REQUIRE(jobs.apply("s/a", "\xff\xff") == change::unreadable);
}

}  // namespace
}  // namespace vanillaladder::batch
