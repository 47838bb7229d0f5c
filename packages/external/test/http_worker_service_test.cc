#include "external/http_worker_service.h"

#include "fake_peer.h"
#include "runtime/error.h"

namespace vanillaladder::external {
namespace {

using list_result = absl::StatusOr<worker_report>;

struct fixture : fake_peer {
  http_worker_service workers{loop, {}};
  worker_address worker{"w-1", "127.0.0.1", server->port()};

  list_result list(std::string body) {
    answer = http::json_response(200, std::move(body));
    return wait<list_result>([&](auto done) { workers.list(worker, done); });
  }
};

std::string list_with_task(const std::string& task) {
  return R"({"leases": [], "tasks": [)" + task +
         R"(], "usage": {"cpu_millis": 1, "age_ms": 2}})";
}

}  // namespace

// Guards against leases, attempts or usage that are mixed up in decoding.
TEST_CASE("a task list is decoded with leases, attempts and usage") {
  fixture f;
  auto result = f.list(R"({
      "leases": [{"lease": "l", "holder": "h", "remaining_ms": 7}],
      "tasks": [{"task": "t", "attempt": 3, "state": "stopped", "lease": "l",
                 "checkpoint": "c", "usage": {"cpu_millis": 1, "memory_mib": 2,
                 "accelerators": 3, "age_ms": 4, "slowdown_percent": 5}}],
      "usage": {"cpu_millis": 6, "age_ms": 8}})");
  REQUIRE(result.ok());
  REQUIRE(result->leases.size() == 1);
  CHECK(result->leases[0].holder == "h");
  CHECK(result->leases[0].remaining == std::chrono::milliseconds(7));
  REQUIRE(result->tasks.size() == 1);
  const auto& task = result->tasks[0];
  CHECK(task.id == attempt_id{"t", 3});
  CHECK(task.state == task_state::stopped);
  CHECK(task.lease == "l");
  CHECK(task.checkpoint == "c");
  CHECK(task.usage.used == model::resources{1, 2, 3});
  CHECK(task.usage.age == std::chrono::milliseconds(4));
  CHECK(task.usage.slowdown_percent == 5);
  CHECK(result->usage.used.cpu_millis == 6);
}

// Guards against a malformed list causing a crash or a running task being
// considered ended.
TEST_CASE("a malformed task list is an error") {
  fixture f;
  auto body = GENERATE(
      as<std::string>(), "{}", "[]", R"({"leases": 1, "tasks": 1, "usage": 1})",
      list_with_task(R"({"task": "t", "attempt": -1, "state": "running",
                    "lease": "l", "usage": {"age_ms": 0}})"),
      list_with_task(R"({"task": "t", "attempt": 1, "state": "unheard-of",
                    "lease": "l", "usage": {"age_ms": 0}})"),
      list_with_task(R"({"task": "t", "attempt": 1, "state": "running",
                    "lease": "l", "usage": {"age_ms": 0, "cpu_millis": -5}})"),
      list_with_task(R"({"task": "t", "attempt": 1.5, "state": "running",
                    "lease": "l", "usage": {"age_ms": 0}})"));
  CAPTURE(body);
  CHECK(f.list(body).status().code() == absl::StatusCode::kDataLoss);
}

// Guards against a call that affects a different task or attempt.
TEST_CASE("task calls contain the task and the attempt") {
  fixture f;
  f.answer = http::json_response(200, "{}");
  attempt_id id{"s07-a/b?c", 4};
  auto status = f.wait<absl::Status>(
      [&](auto done) { f.workers.stop(f.worker, id, done); });
  CHECK(status.ok());
  CHECK(f.last_request.target == "/tasks/s07-a/b?c/stop");
  CHECK(f.last_request.body == R"({"attempt":4})");
  id.task = "s07-a";
  status = f.wait<absl::Status>(
      [&](auto done) { f.workers.acknowledge_end(f.worker, id, done); });
  CHECK(status.ok());
  CHECK(f.last_request.method == "DELETE");
  CHECK(f.last_request.target == "/tasks/s07-a?attempt=4");
}

// Guards against a refused renewal being taken for an unanswered one.
TEST_CASE("refusals are mapped to error codes") {
  fixture f;
  f.answer = {409, {}, "the lease has ended"};
  auto status = f.wait<absl::Status>(
      [&](auto done) { f.workers.renew_lease(f.worker, "l", done); });
  CHECK(status.code() == absl::StatusCode::kFailedPrecondition);
  f.answer.status = 501;
  status = f.wait<absl::Status>(
      [&](auto done) { f.workers.delete_lease(f.worker, "l", done); });
  CHECK(status.code() == absl::StatusCode::kUnimplemented);
  CHECK(runtime::error_peer(status).starts_with("worker w-1 127.0.0.1:"));
}

}  // namespace vanillaladder::external
