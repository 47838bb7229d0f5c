#include "runtime/task.h"

#include <exception>
#include <utility>

#include "runtime/error.h"

namespace vanillaladder::runtime {

absl::Status run_guarded(const std::string& name, const task_function& run,
                         std::stop_token stop) {
  try {
    return run(std::move(stop));
  } catch (const std::exception& error) {
    return make_error(absl::StatusCode::kInternal, name, "",
                      std::string("exception: ") + error.what());
  } catch (...) {
    return make_error(absl::StatusCode::kInternal, name, "",
                      "exception of unknown type");
  }
}

task::task(std::string name, task_function run,
           std::function<void(absl::Status)> on_end)
    : name_(std::move(name)),
      thread_([name = name_, run = std::move(run),
               on_end = std::move(on_end)](std::stop_token stop) mutable {
        auto result = run_guarded(name, run, std::move(stop));
        // Destroy the function's state first, so that its sockets and files
        // are closed before `on_end` starts a successor.
        run = nullptr;
        on_end(std::move(result));
      }) {}

void task::request_stop() {
  thread_.request_stop();
}

void task::join() {
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace vanillaladder::runtime
