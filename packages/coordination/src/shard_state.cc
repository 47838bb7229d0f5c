#include "coordination/shard_state.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "coordination/detail/text.h"
#include "coordination/record_history.h"

namespace vanillaladder::coordination {
namespace {

shard_result make_result(shard_verdict value) {
  shard_result out;
  out.verdict = value;
  return out;
}

bool consistent(const job_entry& job, std::size_t workers) {
  if (job.tasks.empty()) {
    return job.ended || job.delegated_to.has_value();
  }
  return job.tasks.size() == job.job.tasks &&
         std::all_of(job.tasks.begin(), job.tasks.end(),
                     [&](const task_entry& task) {
                       return task.state != task_state::started ||
                              task.worker < workers;
                     });
}

bool consistent(const shard_snapshot& data) {
  auto job_exists = [&](job_number number) {
    return data.jobs.contains(number);
  };
  auto job_is_consistent = [&](const auto& item) {
    return item.first < data.next_job &&
           consistent(item.second, data.workers.size());
  };
  return data.covers >= -1 && data.writers.size() <= max_writers &&
         data.ended_jobs.size() <= shard_state::max_ended_jobs &&
         std::all_of(data.ended_jobs.begin(), data.ended_jobs.end(),
                     job_exists) &&
         std::all_of(data.jobs.begin(), data.jobs.end(), job_is_consistent);
}

}  // namespace

model::shard_id home_shard(std::string_view key) {
  return static_cast<model::shard_id>(key_hash(key) %
                                      model::placement_shard_count);
}

std::uint64_t key_hash(std::string_view key) {
  return XXH64(key.data(), key.size(), 0);
}

model::shard_id worker_shard(std::string_view worker) {
  return home_shard(worker);
}

model::job_id make_job_id(std::string_view key) {
  auto shard = home_shard(key);
  std::string number = std::to_string(shard);
  return detail::concat({shard < 10 ? "s0" : "s", number, "-", key});
}

bool shard_result::valid() const {
  return verdict == shard_verdict::accepted ||
         verdict == shard_verdict::partially_accepted ||
         verdict == shard_verdict::snapshot_matched ||
         verdict == shard_verdict::snapshot_skipped;
}

shard_result shard_state::apply(model::offset offset,
                                const shard_record& record) {
  // A snapshot describes the state before the record that carries it.
  if (const auto* body = std::get_if<shard_snapshot>(&record.body)) {
    shard_result compared = apply_body(offset, *body);
    register_record(data_.writers, record.id, offset);
    skip(offset);
    return compared;
  }
  record_id_status id_status =
      register_record(data_.writers, record.id, offset);
  skip(offset);
  if (id_status == record_id_status::duplicate) {
    return make_result(shard_verdict::duplicate_record);
  }
  if (id_status == record_id_status::stale_incarnation) {
    return make_result(shard_verdict::stale_incarnation);
  }
  bool is_claim = std::holds_alternative<owner_claimed>(record.body);
  bool written_by_owner = owned_by(record.id.instance, record.id.incarnation);
  if (record.epoch != data_.epoch + (is_claim ? 1 : 0) ||
      (!is_claim && !written_by_owner)) {
    return make_result(shard_verdict::stale_epoch);
  }
  return std::visit([&](const auto& body) { return apply_body(offset, body); },
                    record.body);
}

void shard_state::skip(model::offset offset) {
  data_.covers = std::max(data_.covers, offset);
}

bool shard_state::owned_by(const model::instance_id& instance,
                           model::incarnation incarnation) const {
  return data_.owner && data_.owner->owner == instance &&
         data_.owner->incarnation == incarnation;
}

const job_entry* shard_state::find_job(job_number job) const {
  auto found = data_.jobs.find(job);
  return found == data_.jobs.end() ? nullptr : &found->second;
}

std::optional<job_number> shard_state::find_job(const model::job_id& id) const {
  auto found = job_index_.find(id);
  return found == job_index_.end() ? std::nullopt
                                   : std::optional(found->second);
}

const task_entry* shard_state::find_task(job_number job,
                                         std::uint32_t task) const {
  const job_entry* entry = find_job(job);
  return entry == nullptr || task >= entry->tasks.size() ? nullptr
                                                         : &entry->tasks[task];
}

std::vector<task_start> shard_state::running_attempts() const {
  std::vector<task_start> out;
  for (const auto& [number, job] : data_.jobs) {
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
      const task_entry& task = job.tasks[i];
      if (task.state == task_state::started) {
        out.push_back({number, i, task.worker, task.attempt});
      }
    }
  }
  return out;
}

std::optional<worker_number> shard_state::find_worker(
    const model::worker_id& id) const {
  auto found = worker_index_.find(id);
  return found == worker_index_.end() ? std::nullopt
                                      : std::optional(found->second);
}

const key_claim_entry* shard_state::find_key(std::uint64_t key) const {
  auto found = data_.keys.find(key);
  return found == data_.keys.end() ? nullptr : &found->second;
}

void shard_state::rebuild_indexes() {
  for (const auto& [number, job] : data_.jobs) {
    job_index_[job.job.id] = number;
  }
  for (std::size_t i = 0; i < data_.workers.size(); ++i) {
    worker_index_[data_.workers[i]] = static_cast<worker_number>(i);
  }
}

absl::StatusOr<shard_state> shard_state::from_snapshot(
    const shard_snapshot& snapshot) {
  if (!consistent(snapshot)) {
    return absl::InvalidArgumentError("load shard snapshot: inconsistent");
  }
  shard_state state;
  state.data_ = snapshot;
  state.rebuild_indexes();
  return state;
}

}  // namespace vanillaladder::coordination
