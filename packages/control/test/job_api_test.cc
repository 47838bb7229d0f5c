#include "control/job_api.h"

#include <catch2/catch.hpp>

namespace vanillaladder::control {
namespace {

constexpr const char* valid_job = R"({"id": "sync-1", "team": "tartu",
  "class": "sync", "tasks": 3, "resources": {"cpu_millis": 500,
  "memory_mib": 64}, "command": "run", "expected_run_ms": 1000})";

}  // namespace

// Guards against a delegated job that differs from the submitted one.
TEST_CASE("formatting and parsing preserve a job") {
  auto job = parse_job(valid_job);
  REQUIRE(job.ok());
  CHECK(job->tasks == 3);
  auto parsed = parse_delegated_job(format_job(*job));
  REQUIRE(parsed.ok());
  CHECK(parsed->id == job->id);
  CHECK(parsed->size == job->size);
  CHECK(parsed->command == job->command);
  CHECK(key_of_job(job->id) == "sync-1");
}

// Guards against a delegated job that loses the progress of its tasks, and
// against callers who set the progress themselves.
TEST_CASE("only a delegated job carries progress") {
  auto job = parse_job(valid_job);
  REQUIRE(job.ok());
  job->moves = 2;
  job->progress = {{0, coordination::task_state::finished, 1, {}},
                   {2, coordination::task_state::pending, 3, "cp"}};
  auto parsed = parse_delegated_job(format_job(*job));
  REQUIRE(parsed.ok());
  CHECK(parsed->moves == 2);
  CHECK(parsed->progress == job->progress);
  CHECK_FALSE(parse_job(format_job(*job)).ok());
  auto body = format_job(*job);
  body.replace(body.find("[2,0,3"), 6, "[2,9,3");
  CHECK_FALSE(parse_delegated_job(body).ok());
}

// Guards against ids whose shard is not the home shard of their key.
TEST_CASE("an id with the wrong shard or no key is not a job id") {
  auto job = parse_job(valid_job);
  REQUIRE(job.ok());
  auto wrong = job->id;
  wrong[2] = wrong[2] == '9' ? '8' : '9';
  CHECK_FALSE(key_of_job(wrong));
  CHECK_FALSE(key_of_job(""));
  CHECK_FALSE(key_of_job("s01-"));
}

// Guards against malformed submissions that crash the daemon or become jobs.
TEST_CASE("malformed jobs are rejected") {
  for (const auto* body :
       {"", "[]", "{", R"({"id": "a"})",
        R"({"id": "a b", "team": "t", "class": "c",
            "resources": {"cpu_millis": 1}})",
        R"({"id": "a", "team": "t", "class": "c", "resources": {}})",
        R"({"id": "a", "team": "t", "class": "c", "tasks": 0,
            "resources": {"cpu_millis": 1}})",
        R"({"id": "a", "team": "t", "class": "c",
            "resources": {"cpu_millis": 18446744073709551615}})",
        R"({"id": "a", "team": "t", "class": "c",
            "resources": {"cpu_millis": 1, "gpus": 1}})",
        R"({"id": "a", "team": "t", "class": "c", "urgent": true,
            "resources": {"cpu_millis": 1}})"}) {
    CHECK_FALSE(parse_job(body).ok());
  }
}

// Guards against a response that reports not-run when the outcome is unknown.
TEST_CASE("each submission result maps to its status and outcome") {
  job_request job;
  job.id = "s00-a";
  CHECK(submit_response(job, submit_result::created, "").status == 201);
  CHECK(submit_response(job, submit_result::already_exists, "").status == 200);
  CHECK(submit_response(job, submit_result::unschedulable, "no").status == 422);
  auto not_run = submit_response(job, submit_result::not_run, "");
  CHECK(http::find_header(not_run.headers, "x-outcome") == "not-run");
  auto unknown = submit_response(job, submit_result::unknown, "");
  CHECK(http::find_header(unknown.headers, "x-outcome") == "unknown");
}

}  // namespace vanillaladder::control
