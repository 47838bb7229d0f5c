#include "batch/job.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace vanillaladder::batch {

std::string_view name_of(job_state state) {
  switch (state) {
    case job_state::queued:
      return "queued";
    case job_state::running:
      return "running";
    case job_state::completed:
      return "completed";
    case job_state::failed:
      return "failed";
    case job_state::cancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string to_string(const task_key& key) {
  return absl::StrCat(key.step.job, ".", key.step.occurrence, ".",
                      key.step.step, ".", key.index);
}

std::optional<task_key> parse_task_key(std::string_view text) {
  std::vector<std::string> parts =
      absl::StrSplit(absl::string_view(text.data(), text.size()), '.');
  task_key key;
  if (parts.size() != 4 || parts[0].empty() ||
      !absl::SimpleAtoi(parts[1], &key.step.occurrence) ||
      !absl::SimpleAtoi(parts[2], &key.step.step) ||
      !absl::SimpleAtoi(parts[3], &key.index)) {
    return std::nullopt;
  }
  key.step.job = std::move(parts[0]);
  if (key.step.occurrence < 0 || key.step.step < 0 || key.index < 0 ||
      to_string(key) != text) {
    return std::nullopt;
  }
  return key;
}

std::string find_problem(const job_spec& spec) {
  if (spec.steps.empty()) {
    return "a job must have at least one step";
  }
  if (spec.repeat_count < 0 || spec.repeat_count > max_occurrences) {
    return absl::StrCat("a job must not repeat more than ", max_occurrences,
                        " times");
  }
  if (spec.repeat_count > 0 && spec.interval.count() < 0) {
    return "the interval of a job must not be negative";
  }
  if (spec.repeat_count > 0 &&
      (spec.first_run_at < 0 || spec.first_run_at > max_unix_time ||
       spec.interval > max_interval)) {
    return "the times of a job are out of range";
  }
  std::int64_t tasks = 0;
  for (std::size_t n = 0; n < spec.steps.size(); ++n) {
    const auto& step = spec.steps[n];
    if (step.count < 1) {
      return absl::StrCat("step ", n, " must have at least one task");
    }
    tasks += step.count;
    if (tasks > max_tasks_per_job) {
      return absl::StrCat("a job must not have more than ", max_tasks_per_job,
                          " tasks");
    }
    if (step.estimated_run_time.count() < 0 ||
        step.estimated_run_time > max_estimated_run_time) {
      return absl::StrCat("step ", n, " has an invalid estimated run time");
    }
    if (step.required_resources.cpu_millis < 0 ||
        step.required_resources.memory_mib < 0 ||
        step.required_resources.accelerators < 0) {
      return absl::StrCat("step ", n, " has a negative resource requirement");
    }
    if (step.required_resources.cpu_millis > max_task_resource ||
        step.required_resources.memory_mib > max_task_resource ||
        step.required_resources.accelerators > max_task_resource) {
      return absl::StrCat("step ", n, " requires more than any worker has");
    }
    if (step.response_time_target.count() < 0 ||
        step.response_time_target > max_estimated_run_time) {
      return absl::StrCat("step ", n, " has an invalid response time target");
    }
    for (int earlier : step.depends_on) {
      if (earlier < 0 || earlier >= static_cast<int>(n)) {
        return absl::StrCat("step ", n, " depends on step ", earlier,
                            ", which does not precede it");
      }
    }
  }
  return {};
}

}  // namespace vanillaladder::batch
