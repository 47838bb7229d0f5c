#include "worker.h"

#include <algorithm>
#include <cmath>

namespace vanillaladder::bench {
namespace {

using external::task_state;

/// Age of the measurements that a worker reports.
constexpr milliseconds usage_lag{5'000};

double ms_between(time_point from, time_point to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

model::resources larger(const model::resources& a, const model::resources& b) {
  return {std::max(a.cpu_millis, b.cpu_millis),
          std::max(a.memory_mib, b.memory_mib), 0};
}

model::resources use_of(const worker::run& task) {
  const double first = task.need.memory_part_at_start;
  const double part =
      first + (1 - first) * std::min(1.0, task.done_ms / task.need.alone_ms);
  auto use = task.need.use;
  use.memory_mib = std::llround(part * static_cast<double>(use.memory_mib));
  return use;
}

std::int64_t percent_of(double rate) {
  return std::llround(100 / rate);
}

}  // namespace

std::vector<worker::run> worker::advance(time_point now) {
  const double passed = ms_between(updated_, now);
  updated_ = now;
  std::vector<run> ended;
  note_use();
  for (auto& [id, task] : runs) {
    if (task.state != task_state::running)
      continue;
    const auto cores = static_cast<double>(task.need.use.cpu_millis) / 1000;
    const double worked =
        std::min(passed * task.rate, task.need.alone_ms - task.done_ms);
    task.done_ms += worked;
    const double used = passed * cores * task.share;
    task.cpu_ms += used;
    cpu_ms += used;
    work_ms += worked * cores;
    if (task.done_ms >= task.need.alone_ms - 0.001) {
      task.state = task_state::finished;
      ended.push_back(task);
    }
  }
  if (!ended.empty())
    tasks_changed(now);
  return ended;
}

std::optional<time_point> worker::next_end() const {
  std::optional<double> left;
  for (const auto& [id, task] : runs) {
    if (task.state != task_state::running)
      continue;
    const double own = (task.need.alone_ms - task.done_ms) / task.rate;
    left = left ? std::min(*left, own) : own;
  }
  if (!left)
    return std::nullopt;
  return updated_ + milliseconds(std::llround(std::ceil(*left)));
}

bool worker::start(const external::task_start& task, const task_need& need,
                   time_point now) {
  const auto lease = leases.find(task.lease);
  if (lease == leases.end() || lease->second <= now)
    return false;
  starts.push_back(now);
  run& added = runs[task.id];
  added.start = task;
  added.need = need;
  added.since = now;
  added.done_ms = task.checkpoint.empty() ? 0 : std::stod(task.checkpoint);
  if (fails_everything)
    added.state = task_state::failed;
  tasks_changed(now);
  return true;
}

bool worker::stop(const control::attempt_id& id, time_point now) {
  run* const task = running(id);
  if (task == nullptr)
    return false;
  ++stopped;
  task->start.checkpoint = std::to_string(task->done_ms);
  task->state = task_state::stopped;
  tasks_changed(now);
  return true;
}

bool worker::throttle(const control::attempt_id& id, int percent,
                      time_point now) {
  run* const task = running(id);
  if (task == nullptr)
    return false;
  task->throttle = percent;
  tasks_changed(now);
  return true;
}

worker::run* worker::running(const control::attempt_id& id) {
  const auto found = runs.find(id);
  return found != runs.end() && found->second.state == task_state::running
             ? &found->second
             : nullptr;
}

std::size_t worker::running_count() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(runs, [](const auto& entry) {
        return entry.second.state == task_state::running;
      }));
}

/// @return what all running tasks use now.
model::resources worker::note_use() {
  model::resources used;
  for (const auto& [id, task] : runs)
    if (task.state == task_state::running)
      used += use_of(task);
  used_excess = larger(used_excess, used - info.capacity);
  return used;
}

void worker::tasks_changed(time_point now) {
  changed_ = now;
  std::map<model::class_id, int> counts;
  model::resources declared;
  for (const auto& [id, task] : runs) {
    if (task.state != task_state::running)
      continue;
    ++counts[task.need.job_class];
    declared += task.start.size;
  }
  declared_excess = larger(declared_excess, declared - info.capacity);
  const auto used = note_use();
  const double share =
      std::min(1.0, static_cast<double>(info.capacity.cpu_millis) /
                        std::max(1.0, static_cast<double>(used.cpu_millis)));
  for (auto& [id, task] : runs) {
    double slowdown = 1;
    for (const auto& [by, count] : counts)
      slowdown += slowdowns->at(task.need.job_class).at(by) *
                  (count - (by == task.need.job_class ? 1 : 0));
    task.rate_before = task.rate;
    task.share = share * task.throttle / 100;
    task.rate = task.share / slowdown;
  }
}

external::worker_report worker::report(time_point now) const {
  external::worker_report out;
  for (const auto& [id, expires] : leases)
    out.leases.push_back({id, {}, milliseconds(0)});
  const bool settled = now - changed_ >= usage_lag;
  out.usage.age = usage_lag;
  for (const auto& [id, task] : runs) {
    external::usage_report usage;
    usage.age = usage_lag;
    if (now - task.since >= usage_lag) {
      usage.used = use_of(task);
      usage.slowdown_percent =
          percent_of(settled ? task.rate : task.rate_before);
      out.usage.used += usage.used;
    }
    out.tasks.push_back(
        {id, task.state, task.start.lease, task.start.checkpoint, usage});
  }
  return out;
}

}  // namespace vanillaladder::bench
