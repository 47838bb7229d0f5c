#include "standins/worker_standin.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "external/http_worker_service.h"
#include "http/server.h"

namespace vanillaladder::standins {
namespace {

using namespace std::chrono_literals;
using external::task_state;

struct fixture {
  http::event_loop loop;
  worker_standin::shared common;
  worker_standin worker{loop, {"w-1", {2000, 1000, 0}}, common};
  std::unique_ptr<http::server> server;
  std::unique_ptr<external::http_worker_service> service;
  external::worker_address address{"w-1", "127.0.0.1", 0};

  fixture() {
    auto made = http::server::listen(
        loop, {}, [this](const http::request& message, const auto& answer) {
          worker.handle(message, answer);
        });
    REQUIRE(made.ok());
    server = std::move(*made);
    address.port = server->port();
    service = std::make_unique<external::http_worker_service>(
        loop, external::http_worker_options{});
  }

  template <typename Result, typename Call>
  Result wait(Call call) {
    std::optional<Result> result;
    call([&](Result value) {
      result.emplace(std::move(value));
      loop.stop();
    });
    loop.run();
    return std::move(*result);
  }

  std::string lease(std::chrono::milliseconds duration) {
    auto granted = wait<absl::StatusOr<std::string>>([&](auto done) {
      service->acquire_lease(address, "test", duration, done);
    });
    REQUIRE(granted.ok());
    return *granted;
  }

  absl::Status start(const std::string& held, std::uint32_t attempt,
                     const std::string& command,
                     const std::string& checkpoint = "") {
    external::task_start task{
        held, {"t", attempt}, {2000, 10, 0}, command, checkpoint};
    return wait<absl::Status>(
        [&](auto done) { service->start(address, task, done); });
  }

  external::worker_report list() {
    auto report = wait<absl::StatusOr<external::worker_report>>(
        [&](auto done) { service->list(address, done); });
    REQUIRE(report.ok());
    return *report;
  }

  /// Lists until attempt 1 has ended.
  external::task_report ended() {
    for (;;) {
      auto report = list();
      REQUIRE_FALSE(report.tasks.empty());
      if (report.tasks.front().state != task_state::running) {
        return report.tasks.front();
      }
    }
  }
};

}  // namespace

// Guards against a stand-in that lets a scheduler pass although it starts
// tasks without a lease.
TEST_CASE("a start needs a lease that has not ended") {
  fixture f;
  CHECK(f.start("none", 1, "run:1").code() ==
        absl::StatusCode::kFailedPrecondition);
  auto held = f.lease(60s);
  CHECK(f.start(held, 1, "run:60000").ok());
  auto status = f.wait<absl::Status>(
      [&](auto done) { f.service->delete_lease(f.address, held, done); });
  CHECK(status.ok());
  CHECK(f.start(held, 2, "run:1").code() ==
        absl::StatusCode::kFailedPrecondition);
  CHECK(f.ended().state == task_state::stopped);
  status = f.wait<absl::Status>(
      [&](auto done) { f.service->renew_lease(f.address, held, done); });
  CHECK(status.code() == absl::StatusCode::kFailedPrecondition);
}

// Guards against tasks that go on after their lease has expired.
TEST_CASE("the tasks of an expired lease are stopped with a checkpoint") {
  fixture f;
  CHECK(f.start(f.lease(50ms), 1, "run:60000", "30000").ok());
  auto task = f.ended();
  CHECK(task.state == task_state::stopped);
  CHECK(std::stoll(task.checkpoint) >= 30000);
}

// Guards against a handover in which the running tasks are lost.
TEST_CASE("an adopted task survives the end of its first lease") {
  fixture f;
  auto first = f.lease(60s);
  CHECK(f.start(first, 1, "run:60000").ok());
  auto second = f.lease(60s);
  external::attempt_id id{"t", 1};
  auto status = f.wait<absl::Status>(
      [&](auto done) { f.service->adopt(f.address, id, second, done); });
  CHECK(status.ok());
  status = f.wait<absl::Status>(
      [&](auto done) { f.service->delete_lease(f.address, first, done); });
  CHECK(status.ok());
  auto report = f.list();
  REQUIRE(report.leases.size() == 1);
  CHECK(report.leases[0].lease == second);
  REQUIRE(report.tasks.size() == 1);
  CHECK(report.tasks[0].state == task_state::running);
}

// Guards against double starts and over-commitment that go unnoticed.
TEST_CASE("a second run and a start beyond the capacity are recorded") {
  fixture f;
  auto held = f.lease(60s);
  CHECK(f.start(held, 1, "run:60000").ok());
  CHECK(f.start(held, 2, "run:60000").ok());
  CHECK(f.common.runs.most() == 2);
  CHECK(f.worker.state().at("max_cpu_millis") == 4000);
  CHECK(f.worker.state().at("over_capacity") == 1);
}

// Guards against ended tasks that disappear before they are acknowledged.
TEST_CASE("an ended task is listed until it is acknowledged") {
  fixture f;
  auto held = f.lease(60s);
  CHECK(f.start(held, 1, "run:1 fail").ok());
  CHECK(f.ended().state == task_state::failed);
  external::attempt_id id{"t", 1};
  auto status = f.wait<absl::Status>(
      [&](auto done) { f.service->acknowledge_end(f.address, id, done); });
  CHECK(status.ok());
  CHECK(f.list().tasks.empty());
}

}  // namespace vanillaladder::standins
