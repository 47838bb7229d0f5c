#include "scheduling/probation.h"

#include <algorithm>

namespace vanillaladder::scheduling {
namespace {

/// Failures of a job on this many workers are attributed to the job.
constexpr std::size_t job_fault_workers = 3;

}  // namespace

void start_probation::expire(starts& worker_starts, model::time_point now) {
  std::erase_if(worker_starts, [now](const auto& entry) {
    return now - entry.second.counted_from >= window;
  });
}

bool start_probation::allows_start(const model::worker_id& worker,
                                   model::time_point now) {
  const auto found = workers_.find(worker);
  if (found == workers_.end())
    return true;
  expire(found->second, now);
  return found->second.size() < max_unconfirmed;
}

bool start_probation::on_probation(const model::worker_id& worker,
                                   model::time_point now) {
  const auto found = workers_.find(worker);
  if (found == workers_.end())
    return false;
  expire(found->second, now);
  return std::ranges::any_of(
      found->second, [](const auto& entry) { return entry.second.failed; });
}

void start_probation::record_start(const model::worker_id& worker,
                                   const attempt& id, model::time_point now) {
  workers_[worker][id] = {now, false, {}};
}

void start_probation::record_running(const model::worker_id& worker,
                                     const attempt& id, model::time_point now) {
  const auto found = workers_.find(worker);
  if (found == workers_.end())
    return;
  const auto entry = found->second.find(id);
  if (entry == found->second.end() || entry->second.failed)
    return;
  const auto required =
      on_probation(worker, now) ? confirmation_time : healthy_confirmation_time;
  if (now - entry->second.counted_from >= required)
    found->second.erase(entry);
}

void start_probation::record_success(const model::worker_id& worker,
                                     const attempt& id) {
  const auto found = workers_.find(worker);
  if (found != workers_.end())
    found->second.erase(id);
}

void start_probation::record_failure(const model::worker_id& worker,
                                     const attempt& id,
                                     const model::job_id& job,
                                     model::time_point now) {
  start& entry = workers_[worker][id];
  // The window begins at the failure: the worker may have received the start
  // well after the decision, delayed by the log append and the call.
  entry.counted_from = now;
  entry.failed = true;
  entry.job = job;
  failed_jobs_[job].insert(worker);
  if (failed_jobs_[job].size() >= job_fault_workers)
    discard_failures(job);
}

void start_probation::discard_failures(const model::job_id& job) {
  for (auto& [worker, worker_starts] : workers_) {
    std::erase_if(worker_starts, [&job](const auto& entry) {
      return entry.second.failed && entry.second.job == job;
    });
  }
}

void start_probation::forget(const model::worker_id& worker) {
  workers_.erase(worker);
}

void start_probation::forget_job(const model::job_id& job) {
  failed_jobs_.erase(job);
}

}  // namespace vanillaladder::scheduling
