#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "runtime/task.h"

namespace vanillaladder::runtime {

/// Which children are restarted after one has failed.
enum class restart_policy {
  /// The failed child alone.
  one_for_one,
  /// The failed child and those added after it.
  rest_for_one,
};

/// Limits restarts within a sliding window; the caller passes the time.
class restart_budget {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  /// @param limit restarts allowed within any `window`.
  explicit restart_budget(std::size_t limit = 5, std::chrono::seconds window =
                                                     std::chrono::seconds(60));

  /// Takes one restart from the budget.
  /// @return false if the budget is exhausted; it is left unchanged then.
  bool try_take(time_point now);

 private:
  std::size_t limit_;
  std::chrono::seconds window_;
  std::deque<time_point> restart_times_;
};

/// Creates the function of a child; called again for every restart, so that
/// each run starts with new state. An error or an exception counts as a
/// failure of the child.
using child_factory = std::function<absl::StatusOr<task_function>()>;

struct child_spec {
  std::string name;
  child_factory factory;
  /// A failure of this child stops the supervisor without a restart.
  bool fatal = false;
};

struct supervisor_options {
  restart_policy policy = restart_policy::one_for_one;
  restart_budget budget = restart_budget();
  /// Called before each restart, on the thread of `run`; may be empty.
  std::function<void(std::string_view child, const absl::Status& cause)>
      on_restart;
};

/// Starts children in order, restarts those that fail and stops all of them
/// in reverse order.
///
/// A child whose function returns `OkStatus` has finished and is not started
/// again, except together with an earlier child under `rest_for_one`.
class supervisor {
 public:
  explicit supervisor(supervisor_options options = {});
  ~supervisor();
  supervisor(const supervisor&) = delete;
  supervisor& operator=(const supervisor&) = delete;

  /// Adds a child; only before `run`.
  void add(child_spec spec);

  /// Runs the children until all have finished, `stop` is called or a failed
  /// child cannot be restarted. All children have stopped when it returns.
  /// @return `OkStatus` after a clean stop; otherwise the failure of a fatal
  ///   child, the failure that exceeded the restart budget, or the first
  ///   failure of a child while it was being stopped.
  absl::Status run();

  /// Starts a graceful stop: each child is asked to stop once those added
  /// after it have ended. May be called from any thread, also before `run`.
  void stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace vanillaladder::runtime
