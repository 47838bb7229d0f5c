#include "runtime/supervisor.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <stdexcept>

#include "runtime/mailbox.h"

namespace vanillaladder::runtime {
namespace {

using namespace std::chrono_literals;

/// Records events of children in order; thread-safe.
class trace {
 public:
  void add(std::string line) {
    std::lock_guard lock(mutex_);
    lines_ += line + " ";
  }
  std::string text() {
    std::lock_guard lock(mutex_);
    return lines_;
  }

 private:
  std::mutex mutex_;
  std::string lines_;
};

void wait_for_stop(std::stop_token stop) {
  mailbox<int>(1).pop(stop);
}

/// A child that runs until it is stopped.
child_spec blocking_child(std::string name, trace& log) {
  return {name, [name, &log]() -> absl::StatusOr<task_function> {
            log.add("+" + name);
            return [name, &log](std::stop_token stop) {
              wait_for_stop(std::move(stop));
              log.add("-" + name);
              return absl::OkStatus();
            };
          }};
}

/// A child whose first `failures` runs fail; the next one calls `on_success`.
child_spec failing_child(
    std::string name, trace& log, int failures,
    std::function<void()> on_success = [] {}) {
  auto run = std::make_shared<int>(0);
  return {name, [=, &log]() -> absl::StatusOr<task_function> {
            log.add("+" + name);
            return [=](std::stop_token stop) -> absl::Status {
              if (++*run <= failures) {
                return absl::UnavailableError("run " + std::to_string(*run));
              }
              on_success();
              wait_for_stop(std::move(stop));
              return absl::OkStatus();
            };
          }};
}

}  // namespace

// Guards against a restart budget that is never replenished or never enforced.
TEST_CASE("the restart budget allows five restarts within 60 s") {
  restart_budget budget;
  restart_budget::time_point start{};
  for (int n = 0; n < 5; ++n) {
    CHECK(budget.try_take(start + n * 1s));
  }
  CHECK_FALSE(budget.try_take(start + 59s));
  CHECK(budget.try_take(start + 60s));
  CHECK_FALSE(budget.try_take(start + 60s));
  CHECK(budget.try_take(start + 61s));
}

// Guards against stopping a child before the children that depend on it.
TEST_CASE("children start in order and stop in reverse order") {
  trace log;
  supervisor tree;
  tree.add(blocking_child("a", log));
  tree.add(blocking_child("b", log));
  tree.stop();
  CHECK(tree.run().ok());
  CHECK(log.text() == "+a +b -b -a ");
}

// Guards against a failure that restarts children that do not depend on it.
TEST_CASE("one_for_one restarts the failed child alone") {
  trace log;
  supervisor tree;
  tree.add(blocking_child("a", log));
  tree.add(failing_child("b", log, 2, [&] { tree.stop(); }));
  tree.add(blocking_child("c", log));
  CHECK(tree.run().ok());
  CHECK(log.text() == "+a +b +c +b +b -c -a ");
}

// Guards against later children that keep using a failed child's old state.
TEST_CASE("rest_for_one restarts the child and those added after it") {
  trace log;
  supervisor tree({restart_policy::rest_for_one, restart_budget(), {}});
  tree.add(blocking_child("a", log));
  tree.add(failing_child("b", log, 1, [&] { tree.stop(); }));
  tree.add(blocking_child("c", log));
  CHECK(tree.run().ok());
  CHECK(log.text() == "+a +b +c -c +b +c -c -a ");
}

// Guards against restarting a broken task forever.
TEST_CASE("the sixth failure within the window ends the tree") {
  trace log;
  int restarts = 0;
  supervisor tree({restart_policy::one_for_one, restart_budget(),
                   [&](std::string_view, const absl::Status&) { ++restarts; }});
  tree.add(blocking_child("a", log));
  tree.add(failing_child("b", log, 100));
  auto cause = tree.run();
  CHECK(cause == absl::UnavailableError("run 6"));
  CHECK(restarts == 5);
  CHECK(log.text().ends_with("+b -a "));
}

// Guards against a restart that aborts requests in progress.
TEST_CASE("the failure of a fatal child ends the tree without a restart") {
  trace log;
  supervisor tree;
  auto front = failing_child("front", log, 100);
  front.fatal = true;
  tree.add(front);
  tree.add(blocking_child("b", log));
  CHECK(tree.run() == absl::UnavailableError("run 1"));
  CHECK(log.text() == "+front +b -b ");
}

// Guards against an exception that terminates the process.
TEST_CASE("an exception in a child or a factory counts as a failure") {
  trace log;
  supervisor tree({restart_policy::one_for_one, restart_budget(0), {}});
  bool in_factory = GENERATE(true, false);
  tree.add({"a", [=]() -> absl::StatusOr<task_function> {
              if (in_factory) {
                throw std::runtime_error("broken");
              }
              return [](const std::stop_token&) -> absl::Status {
                throw std::runtime_error("broken");
              };
            }});
  auto cause = tree.run();
  CHECK(cause.code() == absl::StatusCode::kInternal);
  CHECK(cause.message().find("exception: broken") != std::string::npos);
}

// Guards against a supervisor that keeps waiting when no child runs.
TEST_CASE("the tree ends when every child has finished") {
  supervisor tree;
  tree.add({"a", []() -> absl::StatusOr<task_function> {
              return [](const std::stop_token&) { return absl::OkStatus(); };
            }});
  CHECK(tree.run().ok());
}

// Guards against a failed graceful stop that is reported as success.
TEST_CASE("a failure while stopping is returned") {
  supervisor tree;
  tree.add({"a", []() -> absl::StatusOr<task_function> {
              return [](std::stop_token stop) -> absl::Status {
                wait_for_stop(std::move(stop));
                return absl::AbortedError("not released");
              };
            }});
  tree.stop();
  CHECK(tree.run() == absl::AbortedError("not released"));
}

}  // namespace vanillaladder::runtime
