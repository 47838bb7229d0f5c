#include <algorithm>
#include <utility>

#include "coordination/shard_state.h"

namespace vanillaladder::coordination {
namespace {

shard_result make_result(shard_verdict value) {
  shard_result out;
  out.verdict = value;
  return out;
}

shard_result make_batch_result(std::size_t size,
                               std::vector<std::size_t> rejected) {
  shard_result out;
  if (!rejected.empty()) {
    out.verdict = rejected.size() == size ? shard_verdict::wrong_state
                                          : shard_verdict::partially_accepted;
  }
  out.rejected = std::move(rejected);
  return out;
}

bool any_started(const job_entry& job) {
  return std::any_of(
      job.tasks.begin(), job.tasks.end(),
      [](const task_entry& task) { return task.state == task_state::started; });
}

bool consistent(const job_submitted& body) {
  if (body.id.empty() || body.tasks == 0 ||
      body.tasks > shard_state::max_tasks) {
    return false;
  }
  auto unordered = [](const task_progress& a, const task_progress& b) {
    return a.task >= b.task;
  };
  return std::ranges::adjacent_find(body.progress, unordered) ==
             body.progress.end() &&
         std::ranges::all_of(body.progress, [&](const task_progress& task) {
           return task.task < body.tasks && task.state != task_state::started;
         });
}

/// @return whether a later move brings a delegated job back to this shard.
bool moves_back(const job_entry& job, const job_submitted& body) {
  return job.delegated_to && body.moves > job.job.moves;
}

void cancel_pending(job_entry& job) {
  job.cancelled = true;
  for (auto& task : job.tasks) {
    if (task.state == task_state::pending) {
      task.state = task_state::cancelled;
    }
  }
}

/// @return an entry for the job, with the progress made before it moved here.
job_entry make_job_entry(model::offset offset, const job_submitted& body) {
  job_entry entry;
  entry.job = body;
  entry.job.progress.clear();
  entry.submitted_at = offset;
  entry.tasks.resize(body.tasks);
  for (const auto& moved : body.progress) {
    entry.tasks[moved.task] = {moved.state, moved.attempt, 0, moved.checkpoint};
    entry.finished += moved.state == task_state::finished ? 1 : 0;
    entry.failed += moved.state == task_state::failed ? 1 : 0;
  }
  return entry;
}

}  // namespace

shard_result shard_state::apply_body(model::offset offset,
                                     const owner_claimed& body) {
  ++data_.epoch;
  data_.owner = body;
  data_.owned_since = offset;
  return {};
}

shard_result shard_state::apply_body(model::offset /*offset*/,
                                     const owner_released&) {
  data_.owner.reset();
  return {};
}

shard_result shard_state::apply_body(model::offset offset,
                                     const job_submitted& body) {
  auto known = find_job(body.id);
  if (known && !moves_back(data_.jobs.at(*known), body)) {
    shard_result out = make_result(shard_verdict::already_exists);
    out.job = known;
    return out;
  }
  if (!consistent(body)) {
    return make_result(shard_verdict::wrong_state);
  }
  job_entry entry = make_job_entry(offset, body);
  job_number number = known ? *known : data_.next_job++;
  if (known) {
    std::erase(data_.ended_jobs, number);
    if (data_.jobs.at(number).cancelled) {
      cancel_pending(entry);
    }
  }
  job_entry& added = data_.jobs[number] = std::move(entry);
  job_index_[body.id] = number;
  end_job_if_complete(number, added);
  shard_result out;
  out.job = number;
  return out;
}

shard_result shard_state::apply_body(model::offset /*offset*/,
                                     const job_delegated& body) {
  auto found = data_.jobs.find(body.job);
  if (found == data_.jobs.end()) {
    return make_result(shard_verdict::unknown_subject);
  }
  job_entry& job = found->second;
  if (body.confirmed) {
    if (job.delegated_to != body.to || job.tasks.empty()) {
      return make_result(shard_verdict::wrong_state);
    }
    retire_job(body.job, job);
    return {};
  }
  if (job.ended || job.cancelled || job.delegated_to || any_started(job) ||
      body.to >= model::shard_count) {
    return make_result(shard_verdict::wrong_state);
  }
  job.delegated_to = body.to;
  return {};
}

shard_result shard_state::apply_body(model::offset /*offset*/,
                                     const job_cancelled& body) {
  auto found = data_.jobs.find(body.job);
  if (found == data_.jobs.end()) {
    return make_result(shard_verdict::unknown_subject);
  }
  job_entry& job = found->second;
  if (job.ended || job.cancelled) {
    return make_result(shard_verdict::wrong_state);
  }
  cancel_pending(job);
  end_job_if_complete(body.job, job);
  return {};
}

shard_result shard_state::apply_body(model::offset /*offset*/,
                                     const tasks_started& body) {
  std::vector<std::size_t> rejected;
  for (std::size_t i = 0; i < body.starts.size(); ++i) {
    if (!start_task(body.starts[i])) {
      rejected.push_back(i);
    }
  }
  return make_batch_result(body.starts.size(), std::move(rejected));
}

shard_result shard_state::apply_body(model::offset /*offset*/,
                                     const tasks_ended& body) {
  std::vector<std::size_t> rejected;
  for (std::size_t i = 0; i < body.ends.size(); ++i) {
    if (!end_task(body.ends[i])) {
      rejected.push_back(i);
    }
  }
  return make_batch_result(body.ends.size(), std::move(rejected));
}

task_entry* shard_state::find_mutable_task(job_number job, std::uint32_t task) {
  auto found = data_.jobs.find(job);
  if (found == data_.jobs.end() || task >= found->second.tasks.size()) {
    return nullptr;
  }
  return &found->second.tasks[task];
}

bool shard_state::start_task(const task_start& entry) {
  task_entry* task = find_mutable_task(entry.job, entry.task);
  if (task == nullptr || data_.jobs.at(entry.job).delegated_to ||
      task->state != task_state::pending ||
      entry.attempt != task->attempt + 1 ||
      entry.worker >= data_.workers.size()) {
    return false;
  }
  task->state = task_state::started;
  task->attempt = entry.attempt;
  task->worker = entry.worker;
  return true;
}

bool shard_state::end_task(const task_end& entry) {
  task_entry* task = find_mutable_task(entry.job, entry.task);
  if (task == nullptr || task->state != task_state::started ||
      entry.attempt != task->attempt) {
    return false;
  }
  job_entry& job = data_.jobs.at(entry.job);
  if (!entry.checkpoint.empty()) {
    task->checkpoint = entry.checkpoint;
  }
  if (entry.outcome == task_outcome::finished) {
    task->state = task_state::finished;
    ++job.finished;
  } else if (entry.outcome == task_outcome::failed) {
    task->state = task_state::failed;
    ++job.failed;
  } else {
    task->state = job.cancelled ? task_state::cancelled : task_state::pending;
  }
  end_job_if_complete(entry.job, job);
  return true;
}

void shard_state::end_job_if_complete(job_number number, job_entry& job) {
  auto unfinished = [](const task_entry& task) {
    return task.state == task_state::pending ||
           task.state == task_state::started;
  };
  // The home shard is not told when a delegated job ends.
  if (job.delegated_to ||
      std::any_of(job.tasks.begin(), job.tasks.end(), unfinished)) {
    return;
  }
  job.ended = true;
  retire_job(number, job);
}

void shard_state::retire_job(job_number number, job_entry& job) {
  job.tasks.clear();
  job.tasks.shrink_to_fit();
  data_.ended_jobs.push_back(number);
  if (data_.ended_jobs.size() > max_ended_jobs) {
    auto oldest = data_.jobs.find(data_.ended_jobs.front());
    job_index_.erase(oldest->second.job.id);
    data_.jobs.erase(oldest);
    data_.ended_jobs.erase(data_.ended_jobs.begin());
  }
}

shard_result shard_state::apply_body(model::offset offset,
                                     const key_claimed& body) {
  auto [entry, added] = data_.keys.try_emplace(
      body.key, key_claim_entry{body, offset, std::nullopt});
  if (added) {
    return {};
  }
  shard_result out = make_result(shard_verdict::already_exists);
  out.first_claim = entry->second;
  return out;
}

shard_result shard_state::apply_body(model::offset /*offset*/,
                                     const key_finished& body) {
  auto found = data_.keys.find(body.key);
  if (found == data_.keys.end() || found->second.claim.nonce != body.nonce) {
    return make_result(shard_verdict::unknown_subject);
  }
  if (found->second.finished) {
    return make_result(shard_verdict::wrong_state);
  }
  if (body.outcome == key_outcome::not_run) {
    data_.keys.erase(found);
  } else {
    found->second.finished = body;
  }
  return {};
}

shard_result shard_state::apply_body(model::offset /*offset*/,
                                     const keys_expired& body) {
  std::erase_if(data_.keys, [&](const auto& item) {
    return item.second.claimed_at <= body.claimed_until;
  });
  return {};
}

shard_result shard_state::apply_body(model::offset /*offset*/,
                                     const worker_registered& body) {
  if (auto known = find_worker(body.worker)) {
    shard_result out = make_result(shard_verdict::already_exists);
    out.worker = known;
    return out;
  }
  shard_result out;
  out.worker = static_cast<worker_number>(data_.workers.size());
  worker_index_[body.worker] = *out.worker;
  data_.workers.push_back(body.worker);
  return out;
}

shard_result shard_state::apply_body(model::offset /*offset*/,
                                     const shard_snapshot& body) {
  if (body.covers != data_.covers) {
    return make_result(shard_verdict::snapshot_skipped);
  }
  return make_result(body == data_ ? shard_verdict::snapshot_matched
                                   : shard_verdict::snapshot_differs);
}

}  // namespace vanillaladder::coordination
