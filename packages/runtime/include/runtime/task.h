#pragma once

#include <absl/status/status.h>

#include <functional>
#include <stop_token>
#include <string>
#include <thread>

namespace vanillaladder::runtime {

/// Function run by a task. Must return soon after a stop is requested; a loop
/// that blocks elsewhere registers a `std::stop_callback` that wakes it.
/// @return `OkStatus` on completion, otherwise the cause of the failure. An
///   exception counts as a failure.
using task_function = std::function<absl::Status(std::stop_token)>;

/// Runs a function and turns an exception into an `Internal` error.
/// @param name step reported in the error.
absl::Status run_guarded(const std::string& name, const task_function& run,
                         std::stop_token stop);

/// Owns a thread that runs one function until it returns.
class task {
 public:
  /// Starts the thread.
  /// @param name name of the task in errors.
  /// @param on_end called once on the task's thread with the function's
  ///   result; must not destroy the task.
  task(std::string name, task_function run,
       std::function<void(absl::Status)> on_end);
  /// Requests a stop and waits for the thread to exit.
  ~task() = default;
  task(const task&) = delete;
  task& operator=(const task&) = delete;

  /// Asks the function to return; may be called from any thread.
  void request_stop();
  /// Waits until the function and `on_end` have returned.
  void join();
  const std::string& name() const { return name_; }

 private:
  std::string name_;
  std::jthread thread_;
};

}  // namespace vanillaladder::runtime
