#include "batch/job_directory.h"

#include <absl/strings/numbers.h>

#include <utility>

namespace vanillaladder::batch {

job_state job_directory::entry::visible_state() const {
  if (cancelled && status.state != job_state::completed &&
      status.state != job_state::failed) {
    return job_state::cancelled;
  }
  return status.state;
}

job_directory::change job_directory::apply(std::string_view key,
                                           std::string_view value) {
  auto parsed = parse_job_record_key(key);
  if (!parsed) {
    return change::unreadable;
  }
  const auto& id = parsed->job;
  if (value.empty()) {
    remove(parsed->kind, id);
    return change::none;
  }
  switch (parsed->kind) {
    case record_kind::job:
      return add_job(id, value);
    case record_kind::cancellation:
      return cancel(id, value);
    case record_kind::state:
      return set_status(id, value);
  }
  return change::unreadable;
}

void job_directory::remove(record_kind kind, const model::job_id& id) {
  auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  if (kind == record_kind::state) {
    adjust_pending(found->second, -1);
    drop_spec(found->second);
    entries_.erase(found);
  } else if (kind == record_kind::job) {
    adjust_pending(found->second, -1);
    drop_spec(found->second);
  }
}

void job_directory::keep_spec(entry& job, job_spec&& spec) {
  job.spec = std::make_shared<const job_spec>(std::move(spec));
  auto bytes = memory_of(*job.spec);
  jobs_bytes_ += bytes;
  recurring_bytes_ += job.spec->repeat_count > 0 ? bytes : 0;
}

void job_directory::drop_spec(entry& job) {
  if (job.spec != nullptr) {
    auto bytes = memory_of(*job.spec);
    jobs_bytes_ -= bytes;
    recurring_bytes_ -= job.spec->repeat_count > 0 ? bytes : 0;
    job.spec.reset();
  }
}

job_directory::change job_directory::add_job(const model::job_id& id,
                                             std::string_view value) {
  if (auto found = entries_.find(id);
      found != entries_.end() && found->second.spec != nullptr) {
    return change::none;
  }
  auto spec = decode_job(id, value);
  if (!spec.ok()) {
    return change::unreadable;
  }
  auto& job = entries_[id];
  job.status.queue = spec->queue;
  keep_spec(job, std::move(*spec));
  adjust_pending(job, 1);
  return has_ended(job.status.state) ? change::duplicate_job
                                     : change::job_added;
}

job_directory::change job_directory::cancel(const model::job_id& id,
                                            std::string_view value) {
  auto& job = entries_[id];
  // Earlier versions wrote "1", a time long ago.
  if (!absl::SimpleAtoi(absl::string_view(value.data(), value.size()),
                        &job.cancelled_at)) {
    job.cancelled_at = 0;
  }
  if (job.cancelled || has_ended(job.status.state)) {
    return change::none;
  }
  adjust_pending(job, -1);
  job.cancelled = true;
  adjust_pending(job, 1);
  return change::job_cancelled;
}

job_directory::change job_directory::set_status(const model::job_id& id,
                                                std::string_view value) {
  auto status = decode_status(value);
  if (!status.ok()) {
    return change::unreadable;
  }
  auto& job = entries_[id];
  if (has_ended(job.status.state) || job.status.state == status->state) {
    return change::none;
  }
  adjust_pending(job, -1);
  job.status = std::move(*status);
  adjust_pending(job, 1);
  return change::state_changed;
}

int job_directory::retain(const std::set<std::string>& keys) {
  int changed = 0;
  for (auto each = entries_.begin(); each != entries_.end();) {
    auto current = each++;
    auto exists = [&](record_kind kind) {
      return keys.contains(to_string(job_record_key{kind, current->first}));
    };
    auto& job = current->second;
    bool has_spec = exists(record_kind::job);
    bool has_state = exists(record_kind::state);
    bool has_cancellation = exists(record_kind::cancellation);
    if (!has_spec && !has_state && !has_cancellation) {
      adjust_pending(job, -1);
      drop_spec(job);
      entries_.erase(current);
      ++changed;
      continue;
    }
    bool loses_spec = !has_spec && job.spec != nullptr;
    bool loses_state = !has_state && job.status.state != job_state::queued;
    bool loses_cancellation = !has_cancellation && job.cancelled;
    if (!loses_spec && !loses_state && !loses_cancellation) {
      continue;
    }
    ++changed;
    adjust_pending(job, -1);
    if (loses_spec) {
      drop_spec(job);
    }
    if (loses_state) {
      // The id was submitted again after the state of its earlier job was
      // removed.
      job.status = {};
      if (job.spec != nullptr) {
        job.status.queue = job.spec->queue;
      }
    }
    if (loses_state || loses_cancellation) {
      // A cancellation is not taken over while the job counts as ended.
      job.cancelled = has_cancellation;
    }
    adjust_pending(job, 1);
  }
  return changed;
}

bool job_directory::is_pending(const entry& counted) {
  return counted.spec != nullptr && counted.spec->repeat_count == 0 &&
         counted.visible_state() == job_state::queued;
}

void job_directory::adjust_pending(const entry& counted, int delta) {
  if (is_pending(counted)) {
    pending_[counted.status.queue] += delta;
  }
}

const job_directory::entry* job_directory::find(std::string_view id) const {
  auto found = entries_.find(absl::string_view(id.data(), id.size()));
  return found == entries_.end() ? nullptr : &found->second;
}

int job_directory::pending(std::string_view queue) const {
  auto found = pending_.find(absl::string_view(queue.data(), queue.size()));
  return found == pending_.end() ? 0 : found->second;
}

void job_directory::for_each(
    const std::function<void(const model::job_id&, const entry&)>& visit)
    const {
  for (const auto& [id, each] : entries_) {
    visit(id, each);
  }
}

}  // namespace vanillaladder::batch
