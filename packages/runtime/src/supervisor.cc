#include "runtime/supervisor.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "runtime/error.h"
#include "runtime/log.h"

namespace vanillaladder::runtime {

restart_budget::restart_budget(std::size_t limit, std::chrono::seconds window)
    : limit_(limit), window_(window) {}

bool restart_budget::try_take(time_point now) {
  while (!restart_times_.empty() && now - restart_times_.front() >= window_) {
    restart_times_.pop_front();
  }
  if (restart_times_.size() >= limit_) {
    return false;
  }
  restart_times_.push_back(now);
  return true;
}

namespace {

struct child_state {
  child_spec spec;
  std::unique_ptr<task> running_task;
  /// Set on the thread of the child when its function has returned.
  std::optional<absl::Status> exit_status;
};

absl::StatusOr<task_function> create_function(const child_spec& spec) {
  try {
    return spec.factory();
  } catch (const std::exception& error) {
    return make_error(absl::StatusCode::kInternal, "start " + spec.name, "",
                      std::string("exception: ") + error.what());
  }
}

}  // namespace

struct supervisor::impl {
  void start_child(child_state& child);
  absl::Status stop_and_join(child_state& child);
  void stop_from(std::size_t first, absl::Status* failure);
  void record_exit(child_state& child, absl::Status result);
  /// @return the index of a failed child, or `std::nullopt` once all have
  ///   finished or a stop was requested.
  std::optional<std::size_t> wait_for_exit();
  absl::Status handle_failure(std::size_t index, const absl::Status& cause);

  supervisor_options options;
  std::vector<std::unique_ptr<child_state>> children;
  logger log{"supervisor"};
  std::mutex mutex;
  std::condition_variable state_changed;
  bool stopping = false;
};

void supervisor::impl::record_exit(child_state& child, absl::Status result) {
  {
    std::lock_guard lock(mutex);
    child.exit_status = std::move(result);
  }
  state_changed.notify_all();
}

void supervisor::impl::start_child(child_state& child) {
  {
    std::lock_guard lock(mutex);
    child.exit_status.reset();
  }
  auto function = create_function(child.spec);
  if (!function.ok()) {
    record_exit(child, function.status());
    return;
  }
  child.running_task =
      std::make_unique<task>(child.spec.name, *std::move(function),
                             [this, &child](absl::Status result) {
                               record_exit(child, std::move(result));
                             });
}

/// @return the exit status of the child if it had a task, otherwise `OkStatus`.
absl::Status supervisor::impl::stop_and_join(child_state& child) {
  if (child.running_task == nullptr) {
    return absl::OkStatus();
  }
  child.running_task->request_stop();
  child.running_task->join();
  child.running_task.reset();
  std::lock_guard lock(mutex);
  return child.exit_status.value_or(absl::OkStatus());
}

void supervisor::impl::stop_from(std::size_t first, absl::Status* failure) {
  for (auto index = children.size(); index > first; --index) {
    auto& child = *children[index - 1];
    auto result = stop_and_join(child);
    if (!result.ok()) {
      log.warn(child.spec.name +
               " failed while stopping: " + std::string(result.message()));
      failure->Update(result);
    }
  }
}

std::optional<std::size_t> supervisor::impl::wait_for_exit() {
  std::optional<std::size_t> failed_index;
  std::unique_lock lock(mutex);
  state_changed.wait(lock, [&] {
    if (stopping) {
      return true;
    }
    bool all_finished = true;
    for (std::size_t index = 0; index < children.size(); ++index) {
      const auto& exit_status = children[index]->exit_status;
      if (exit_status && !exit_status->ok()) {
        failed_index = index;
        return true;
      }
      all_finished = all_finished && exit_status;
    }
    return all_finished;
  });
  return failed_index;
}

absl::Status supervisor::impl::handle_failure(std::size_t index,
                                              const absl::Status& cause) {
  auto& failed_child = *children[index];
  const auto& name = failed_child.spec.name;
  log.error(name + " failed: " + std::string(cause.message()));
  stop_and_join(failed_child).IgnoreError();
  if (failed_child.spec.fatal) {
    return cause;
  }
  if (!options.budget.try_take(std::chrono::steady_clock::now())) {
    log.error("restart budget exhausted for " + name);
    return cause;
  }
  bool restart_rest = options.policy == restart_policy::rest_for_one;
  auto last = restart_rest ? children.size() : index + 1;
  for (auto position = last; position > index; --position) {
    // This restart also covers any other failure in the same group.
    stop_and_join(*children[position - 1]).IgnoreError();
  }
  if (options.on_restart) {
    options.on_restart(name, cause);
  }
  for (auto position = index; position < last; ++position) {
    start_child(*children[position]);
  }
  return absl::OkStatus();
}

supervisor::supervisor(supervisor_options options)
    : impl_(std::make_unique<impl>()) {
  impl_->options = std::move(options);
}

supervisor::~supervisor() = default;

void supervisor::add(child_spec spec) {
  impl_->children.push_back(std::make_unique<child_state>());
  impl_->children.back()->spec = std::move(spec);
}

absl::Status supervisor::run() {
  for (const auto& child : impl_->children) {
    impl_->start_child(*child);
  }
  absl::Status outcome;
  while (auto index = impl_->wait_for_exit()) {
    absl::Status cause;
    {
      std::lock_guard lock(impl_->mutex);
      cause = *impl_->children[*index]->exit_status;
    }
    outcome = impl_->handle_failure(*index, cause);
    if (!outcome.ok()) {
      break;
    }
  }
  impl_->stop_from(0, &outcome);
  return outcome;
}

void supervisor::stop() {
  {
    std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
  }
  impl_->state_changed.notify_all();
}

}  // namespace vanillaladder::runtime
