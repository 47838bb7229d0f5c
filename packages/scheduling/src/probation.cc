#include "scheduling/probation.h"

#include <algorithm>

namespace vanillaladder::scheduling {
namespace {

/// A job that failed on this many workers is at fault itself.
constexpr std::size_t workers_to_blame_job = 3;

}  // namespace

void start_probation::expire(starts& of_worker, model::time_point now) {
  std::erase_if(of_worker, [now](const auto& entry) {
    return now - entry.second.at >= window;
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
  const auto needed =
      on_probation(worker, now) ? confirmation_time : trusted_confirmation_time;
  if (now - entry->second.at >= needed)
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
  // Counted from the failure, since the worker may have got the start later
  // than it was decided: the log and the call take their time.
  entry.at = now;
  entry.failed = true;
  entry.job = job;
  failed_jobs_[job].insert(worker);
  if (failed_jobs_[job].size() >= workers_to_blame_job)
    absolve(job);
}

void start_probation::absolve(const model::job_id& job) {
  for (auto& [worker, list] : workers_) {
    std::erase_if(list, [&job](const auto& entry) {
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
