#include "batch/job_records.h"

#include <catch2/catch.hpp>

namespace vanillaladder::batch {
namespace {

job_spec full_job() {
  job_spec spec;
  spec.id = "5c0e7a21d94b36f8";
  spec.queue = "reports";
  spec.payload = "payload";
  step_spec first;
  first.count = 4;
  first.required_resources = {500, 256, 1};
  first.estimated_run_time = milliseconds(900);
  first.data_rack = "r1-3";
  step_spec second = first;
  second.depends_on = {0};
  second.checkpoints = second.gang = second.same_rack = true;
  second.speculative = second.long_running = second.best_effort = true;
  second.required_label = "a";
  second.image = "img";
  second.per_worker_limit = 2;
  second.max_unavailable = 1;
  second.response_time_target = milliseconds(20);
  spec.steps = {first, second};
  spec.repeat_count = 3;
  spec.first_run_at = 1'700'000'000'000;
  spec.interval = milliseconds(4500);
  spec.accepted_at = 1'700'000'000'001;
  spec.policy = {"aula", 2, 3, 1.5, milliseconds(250)};
  return spec;
}

TEST_CASE("a job is unchanged after encoding and decoding") {
  auto spec = full_job();
  auto read = decode_job(spec.id, encode(spec));
  REQUIRE(read.ok());
  REQUIRE(*read == spec);
}

TEST_CASE("step progress is unchanged after encoding and decoding") {
  std::vector<task_record> tasks = {
      {0, true, 2, 1, "", {}},
      {3, false, 5, 0, "00ab", {{5, "i-1", 1'700'000'000'002}}},
      {4, false, 1, 0, "", {{1, "i-2", 1'700'000'000'002, true}}}};
  auto read = decode_progress(encode(tasks, 1'700'000'000'003));
  REQUIRE(read.ok());
  REQUIRE(read->tasks == tasks);
  REQUIRE(read->stored_at == 1'700'000'000'003);
  // As written by the previous version.
  REQUIRE(decode_progress(encode(tasks))->stored_at == 0);
}

TEST_CASE("keys are unchanged after formatting and parsing") {
  job_record_key key{record_kind::cancellation, "5c0e7a21d94b36f8"};
  REQUIRE(parse_job_record_key(to_string(key)) == key);
  step_key step{"5c0e7a21d94b36f8", 2, 1};
  REQUIRE(parse_step_key(to_string(step)) == step);
  for (int part : {0, 1, 390}) {
    progress_key progress{step, part};
    REQUIRE(parse_progress_key(to_string(progress)) == progress);
  }
  REQUIRE(to_string(progress_key{step, 0}) == to_string(step));
  for (const char* text : {"a/0/0/0", "a/0/0/-1", "a/0/0/x", "a/0/0/1/1"}) {
    REQUIRE_FALSE(parse_progress_key(text).has_value());
  }
  task_key task{step, 17};
  REQUIRE(to_string(task) == "5c0e7a21d94b36f8.2.1.17");
  REQUIRE(parse_task_key(to_string(task)) == task);
}

// A malformed record must be reported and not treated as empty.
TEST_CASE("truncated and malformed records are rejected") {
  auto whole = encode(full_job());
  for (std::size_t length = 0; length < whole.size(); ++length) {
    auto cut = decode_job("x", std::string_view(whole).substr(0, length));
    INFO("length " << length);
    REQUIRE_FALSE(cut.ok());
  }
  REQUIRE_FALSE(decode_status("\xff\xff\xff").ok());
  REQUIRE_FALSE(decode_progress(std::string(64, '\x19')).ok());
  for (const char* key : {"", "j", "j/", "x/a", "5/0", "a/b/c", "a/1/2/3"}) {
    REQUIRE_FALSE(parse_job_record_key(key).has_value());
    REQUIRE_FALSE(parse_step_key(key).has_value());
  }
  for (const char* name : {"", "a.0.1", "a.0.1.x", ".0.1.2", "a.0.1.2.3"}) {
    REQUIRE_FALSE(parse_task_key(name).has_value());
  }
}

}  // namespace
}  // namespace vanillaladder::batch
