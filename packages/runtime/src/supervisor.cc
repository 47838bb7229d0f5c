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
  while (!taken_.empty() && now - taken_.front() >= window_) {
    taken_.pop_front();
  }
  if (taken_.size() >= limit_) {
    return false;
  }
  taken_.push_back(now);
  return true;
}

namespace {

struct child {
  child_spec spec;
  std::unique_ptr<task> running;
  /// Set by the child's thread when its function has returned.
  std::optional<absl::Status> ended;
};

absl::StatusOr<task_function> build(const child_spec& spec) {
  try {
    return spec.factory();
  } catch (const std::exception& error) {
    return make_error(absl::StatusCode::kInternal, "start " + spec.name, "",
                      std::string("exception: ") + error.what());
  }
}

}  // namespace

struct supervisor::impl {
  void start(child& one);
  absl::Status stop_and_join(child& one);
  void stop_from(std::size_t first, absl::Status* failure);
  void end(child& one, absl::Status result);
  /// @return a child that has ended, or nothing once all have finished or a
  ///   stop is wanted.
  std::optional<std::size_t> wait_for_end();
  absl::Status recover(std::size_t index, const absl::Status& cause);

  supervisor_options options;
  std::vector<std::unique_ptr<child>> children;
  logger log{"supervisor"};
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
};

void supervisor::impl::end(child& one, absl::Status result) {
  {
    std::lock_guard lock(mutex);
    one.ended = std::move(result);
  }
  changed.notify_all();
}

void supervisor::impl::start(child& one) {
  {
    std::lock_guard lock(mutex);
    one.ended.reset();
  }
  auto function = build(one.spec);
  if (!function.ok()) {
    end(one, function.status());
    return;
  }
  one.running = std::make_unique<task>(
      one.spec.name, *std::move(function),
      [this, &one](absl::Status result) { end(one, std::move(result)); });
}

/// @return the result of a child that still ran, `OkStatus` otherwise.
absl::Status supervisor::impl::stop_and_join(child& one) {
  if (one.running == nullptr) {
    return absl::OkStatus();
  }
  one.running->request_stop();
  one.running->join();
  one.running.reset();
  std::lock_guard lock(mutex);
  return one.ended.value_or(absl::OkStatus());
}

void supervisor::impl::stop_from(std::size_t first, absl::Status* failure) {
  for (auto index = children.size(); index > first; --index) {
    auto& one = *children[index - 1];
    auto result = stop_and_join(one);
    if (!result.ok()) {
      log.warn(one.spec.name +
               " failed while stopping: " + std::string(result.message()));
      failure->Update(result);
    }
  }
}

std::optional<std::size_t> supervisor::impl::wait_for_end() {
  std::optional<std::size_t> found;
  std::unique_lock lock(mutex);
  changed.wait(lock, [&] {
    if (stopping) {
      return true;
    }
    bool all_finished = true;
    for (std::size_t index = 0; index < children.size(); ++index) {
      const auto& ended = children[index]->ended;
      if (ended && !ended->ok()) {
        found = index;
        return true;
      }
      all_finished = all_finished && ended;
    }
    return all_finished;
  });
  return found;
}

absl::Status supervisor::impl::recover(std::size_t index,
                                       const absl::Status& cause) {
  auto& failed = *children[index];
  const auto& name = failed.spec.name;
  log.error(name + " failed: " + std::string(cause.message()));
  stop_and_join(failed).IgnoreError();
  if (failed.spec.fatal) {
    return cause;
  }
  if (!options.budget.try_take(std::chrono::steady_clock::now())) {
    log.error("no restart left for " + name);
    return cause;
  }
  bool rest = options.policy == restart_policy::rest_for_one;
  auto last = rest ? children.size() : index + 1;
  for (auto at = last; at > index; --at) {
    // A second failure in the same group is answered by the same restart.
    stop_and_join(*children[at - 1]).IgnoreError();
  }
  if (options.on_restart) {
    options.on_restart(name, cause);
  }
  for (auto at = index; at < last; ++at) {
    start(*children[at]);
  }
  return absl::OkStatus();
}

supervisor::supervisor(supervisor_options options)
    : impl_(std::make_unique<impl>()) {
  impl_->options = std::move(options);
}

supervisor::~supervisor() = default;

void supervisor::add(child_spec spec) {
  impl_->children.push_back(std::make_unique<child>());
  impl_->children.back()->spec = std::move(spec);
}

absl::Status supervisor::run() {
  for (const auto& one : impl_->children) {
    impl_->start(*one);
  }
  absl::Status outcome;
  while (auto index = impl_->wait_for_end()) {
    absl::Status cause;
    {
      std::lock_guard lock(impl_->mutex);
      cause = *impl_->children[*index]->ended;
    }
    outcome = impl_->recover(*index, cause);
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
  impl_->changed.notify_all();
}

}  // namespace vanillaladder::runtime
