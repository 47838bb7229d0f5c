#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

#include "batch/detail/scheduler_state.h"
#include "batch/scheduler.h"

namespace vanillaladder::batch {

namespace detail {

void step_state::append_progress_removals(
    std::vector<topic_record>& removals) const {
  bool any = false;
  for (int part = progress_part_of(spec->count - 1); part >= 0; --part) {
    any = any || has_progress(part);
    // Part 0 may hold all tasks, as written by an earlier version.
    if (has_progress(part) || (part == 0 && any)) {
      removals.push_back({to_string(progress_key{key, part}), ""});
    }
  }
}

bool occurrence_state::complete() const {
  return std::ranges::all_of(steps, &step_state::complete);
}

double occurrence_state::remaining_work() const {
  double work = 0;
  for (const auto& step : steps) {
    work += step.task_work * (step.spec->count - step.completed_tasks);
  }
  return work;
}

bool occurrence_state::has_runs() const {
  return std::ranges::any_of(steps, [](const auto& step) {
    return std::ranges::any_of(
        step.tasks, [](const auto& task) { return !task.runs.empty(); });
  });
}

bool job_state_entry::has_runs() const {
  return std::ranges::any_of(occurrences, &occurrence_state::has_runs);
}

bool job_state_entry::is_open(int occurrence) const {
  return std::ranges::find(occurrences, occurrence,
                           &occurrence_state::number) != occurrences.end();
}

int job_state_entry::next_occurrence() const {
  int number = completed.next_missing(0);
  while (is_open(number)) {
    number = completed.next_missing(number + 1);
  }
  return number;
}

}  // namespace detail

void scheduler::open_occurrence(job_entry& job, int number) {
  auto& occurrence = job.occurrences.emplace_back();
  occurrence.number = number;
  occurrence.steps.resize(job.spec->steps.size());
  for (std::size_t n = 0; n < occurrence.steps.size(); ++n) {
    auto& step = occurrence.steps[n];
    step.job = &job;
    step.spec = &job.spec->steps[n];
    step.key = {job.spec->id, number, static_cast<int>(n)};
    step.image = headroom_model_.number_of(step.spec->image);
    step.tasks.resize(static_cast<std::size_t>(step.spec->count));
    step.waiting_tasks = step.spec->count;
    step.remaining_chain = job.remaining_chains[n];
    step.task_work = job.task_works[n];
  }
  state_bytes_ += job.occurrence_bytes;
}

/// @return whether the next occurrence of the job may be opened, apart from the
///   memory that it takes.
bool scheduler::has_due_occurrence(const job_entry& job, unix_ms wall) const {
  if (has_ended(job.state) || job.cancelled ||
      static_cast<int>(job.occurrences.size()) >= job.max_open) {
    return false;
  }
  int next = job.next_occurrence();
  const auto& spec = *job.spec;
  auto due = spec.first_run_at + next * spec.interval.count();
  return next < job.total_occurrences() &&
         (spec.repeat_count == 0 || wall + options_.early_start.count() >= due);
}

/// Opens the due occurrences that fit into the memory, those of the jobs that
/// came first before others.
void scheduler::open_due_occurrences(time_point now, unix_ms wall) {
  std::vector<job_entry*> due;
  for (auto& [id, job] : jobs_) {
    if (has_due_occurrence(*job, wall)) {
      due.push_back(job.get());
    }
  }
  std::ranges::stable_sort(due, {}, &job_entry::known_since);
  std::size_t deferred = 0;
  for (auto* job : due) {
    while (has_due_occurrence(*job, wall)) {
      if (state_bytes_ + job->occurrence_bytes > options_.max_state_bytes) {
        ++deferred;
        break;
      }
      open_occurrence(*job, job->next_occurrence());
      if (job->spec->repeat_count > 0) {
        set_deadlines(*job, now);
      }
    }
  }
  if (deferred != deferred_jobs_) {
    log_event(absl::StrCat("jobs_deferred count=", deferred, " state_bytes=",
                           state_bytes_, " limit=", options_.max_state_bytes));
    deferred_jobs_ = deferred;
  }
}

/// Stops to keep the state of an occurrence that has completed. Its record as
/// one of the completed is stored before its progress is removed.
void scheduler::close_occurrence(job_entry& job, int number) {
  auto found = std::ranges::find(job.occurrences, number,
                                 &detail::occurrence_state::number);
  for (const auto& step : found->steps) {
    step.append_progress_removals(progress_removals_);
  }
  job.occurrences.erase(found);
  state_bytes_ -= job.occurrence_bytes;
  if (!job.completed.contains(number)) {
    job.completed.insert(number);
    job.completed_dirty = true;
  }
}

/// Closes the complete occurrences of a recurring job, which would add up.
void scheduler::close_complete_occurrences(job_entry& job) {
  if (job.spec->repeat_count == 0) {
    return;
  }
  std::vector<int> complete;
  for (const auto& occurrence : job.occurrences) {
    if (occurrence.complete() && !occurrence.has_runs()) {
      complete.push_back(occurrence.number);
    }
  }
  for (int number : complete) {
    close_occurrence(job, number);
  }
}

bool scheduler::restore_completed(const model::job_id& id,
                                  const occurrence_set& completed) {
  auto* job = find_job(id);
  if (job == nullptr) {
    return false;
  }
  mark_begun(*job);
  // Others may have been found complete by their progress.
  job->completed.insert(completed);
  std::vector<int> closed;
  for (const auto& occurrence : job->occurrences) {
    if (completed.contains(occurrence.number)) {
      closed.push_back(occurrence.number);
    }
  }
  for (int number : closed) {
    drop_runs(*job, number);
    close_occurrence(*job, number);
  }
  complete_job_if_done(*job);
  return true;
}

/// Drops the runs of an occurrence that is known to be complete.
void scheduler::drop_runs(job_entry& job, int number) {
  for (auto& occurrence : job.occurrences) {
    if (occurrence.number != number) {
      continue;
    }
    for (auto& step : occurrence.steps) {
      for (int n = 0; n < step.spec->count; ++n) {
        auto runs = step.tasks[static_cast<std::size_t>(n)].runs;
        for (const auto& run : runs) {
          remove_run(step, n, run.number);
        }
      }
    }
  }
}

}  // namespace vanillaladder::batch
