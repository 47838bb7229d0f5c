#include <utility>

#include "coordination/detail/envelope.h"
#include "records_types.h"

namespace vanillaladder::coordination {
namespace {

using detail::checked_narrowing;

// Thrift has no unsigned types; these conversions keep the bits.
std::int64_t bits(std::uint64_t value) {
  return static_cast<std::int64_t>(value);
}

std::uint64_t bits(std::int64_t value) {
  return static_cast<std::uint64_t>(value);
}

wire::owner_claimed to_wire(const owner_claimed& in) {
  wire::owner_claimed out;
  out.owner = in.owner;
  out.incarnation = bits(in.incarnation);
  return out;
}

owner_claimed from_wire(const wire::owner_claimed& in) {
  return {in.owner, bits(in.incarnation)};
}

std::vector<wire::task_progress> to_wire(const std::vector<task_progress>& in) {
  std::vector<wire::task_progress> out;
  out.reserve(in.size());
  for (const auto& task : in) {
    wire::task_progress& added = out.emplace_back();
    added.task = task.task;
    added.state = static_cast<std::int32_t>(task.state);
    added.attempt = task.attempt;
    if (!task.checkpoint.empty()) {
      added.__set_checkpoint(task.checkpoint);
    }
  }
  return out;
}

std::vector<task_progress> from_wire(const std::vector<wire::task_progress>& in,
                                     checked_narrowing& narrow) {
  std::vector<task_progress> out;
  out.reserve(in.size());
  for (const auto& task : in) {
    out.push_back({narrow.number<std::uint32_t>(task.task),
                   narrow.enumerator(task.state, task_state::cancelled),
                   narrow.number<std::uint32_t>(task.attempt),
                   task.checkpoint});
  }
  return out;
}

wire::job_submitted to_wire(const job_submitted& in) {
  wire::job_submitted out;
  out.id = in.id;
  out.team = in.team;
  out.class_name = in.class_name;
  out.tasks = in.tasks;
  out.cpu_millis = in.resources.cpu_millis;
  out.memory_mib = in.resources.memory_mib;
  out.accelerators = in.resources.accelerators;
  out.command = in.command;
  out.expected_run_ms = in.expected_run.count();
  if (in.home) {
    out.__set_home(*in.home);
  }
  if (in.moves > 0) {
    out.__set_moves(in.moves);
  }
  if (!in.progress.empty()) {
    out.__set_progress(to_wire(in.progress));
  }
  return out;
}

job_submitted from_wire(const wire::job_submitted& in,
                        checked_narrowing& narrow) {
  job_submitted out;
  out.id = in.id;
  out.team = in.team;
  out.class_name = in.class_name;
  out.tasks = narrow.number<std::uint32_t>(in.tasks);
  out.resources = {in.cpu_millis, in.memory_mib, in.accelerators};
  out.command = in.command;
  out.expected_run = model::milliseconds(in.expected_run_ms);
  if (in.__isset.home) {
    out.home = narrow.number<model::shard_id>(in.home);
  }
  out.moves = narrow.number<std::uint32_t>(in.moves);
  out.progress = from_wire(in.progress, narrow);
  return out;
}

wire::tasks_started to_wire(const tasks_started& in) {
  wire::tasks_started out;
  out.starts.reserve(in.starts.size() * 4);
  for (const auto& start : in.starts) {
    for (std::uint32_t number :
         {start.job, start.task, start.worker, start.attempt}) {
      out.starts.push_back(number);
    }
  }
  return out;
}

tasks_started from_wire(const wire::tasks_started& in,
                        checked_narrowing& narrow) {
  tasks_started out;
  auto number_at = [&](std::size_t index) {
    return narrow.number<std::uint32_t>(in.starts[index]);
  };
  for (std::size_t i = 0; i + 3 < in.starts.size(); i += 4) {
    out.starts.push_back(
        {number_at(i), number_at(i + 1), number_at(i + 2), number_at(i + 3)});
  }
  return out;
}

wire::tasks_ended to_wire(const tasks_ended& in) {
  wire::tasks_ended out;
  for (const auto& end : in.ends) {
    wire::task_end& added = out.ends.emplace_back();
    added.job = end.job;
    added.task = end.task;
    added.attempt = end.attempt;
    added.outcome = static_cast<std::int32_t>(end.outcome);
    if (!end.checkpoint.empty()) {
      added.__set_checkpoint(end.checkpoint);
    }
  }
  return out;
}

tasks_ended from_wire(const wire::tasks_ended& in, checked_narrowing& narrow) {
  tasks_ended out;
  for (const auto& end : in.ends) {
    out.ends.push_back({narrow.number<job_number>(end.job),
                        narrow.number<std::uint32_t>(end.task),
                        narrow.number<std::uint32_t>(end.attempt),
                        narrow.enumerator(end.outcome, task_outcome::lost),
                        end.checkpoint});
  }
  return out;
}

wire::key_claimed to_wire(const key_claimed& in) {
  wire::key_claimed out;
  out.key = bits(in.key);
  out.instance = in.instance;
  out.incarnation = bits(in.incarnation);
  out.nonce = bits(in.nonce);
  return out;
}

key_claimed from_wire(const wire::key_claimed& in) {
  return {bits(in.key), in.instance, bits(in.incarnation), bits(in.nonce)};
}

wire::key_finished to_wire(const key_finished& in) {
  wire::key_finished out;
  out.key = bits(in.key);
  out.nonce = bits(in.nonce);
  out.outcome = static_cast<std::int32_t>(in.outcome);
  out.status = static_cast<std::int32_t>(in.status);
  return out;
}

key_finished from_wire(const wire::key_finished& in,
                       checked_narrowing& narrow) {
  return {bits(in.key), bits(in.nonce),
          narrow.enumerator(in.outcome, key_outcome::not_run),
          static_cast<std::uint32_t>(in.status)};
}

wire::job_entry to_wire(const job_entry& in) {
  wire::job_entry out;
  out.job = to_wire(in.job);
  out.submitted_at = in.submitted_at;
  out.cancelled = in.cancelled;
  if (in.delegated_to) {
    out.__set_delegated_to(*in.delegated_to);
  }
  for (const auto& task : in.tasks) {
    wire::task_entry& added = out.tasks.emplace_back();
    added.state = static_cast<std::int32_t>(task.state);
    added.attempt = task.attempt;
    added.worker = task.worker;
    if (!task.checkpoint.empty()) {
      added.__set_checkpoint(task.checkpoint);
    }
  }
  out.finished = in.finished;
  out.failed = in.failed;
  out.ended = in.ended;
  return out;
}

job_entry from_wire(const wire::job_entry& in, checked_narrowing& narrow) {
  job_entry out;
  out.job = from_wire(in.job, narrow);
  out.submitted_at = in.submitted_at;
  out.cancelled = in.cancelled;
  if (in.__isset.delegated_to) {
    out.delegated_to = narrow.number<model::shard_id>(in.delegated_to);
  }
  for (const auto& task : in.tasks) {
    out.tasks.push_back({narrow.enumerator(task.state, task_state::cancelled),
                         narrow.number<std::uint32_t>(task.attempt),
                         narrow.number<worker_number>(task.worker),
                         task.checkpoint});
  }
  out.finished = narrow.number<std::uint32_t>(in.finished);
  out.failed = narrow.number<std::uint32_t>(in.failed);
  out.ended = in.ended;
  return out;
}

wire::key_claim_entry to_wire(const key_claim_entry& in) {
  wire::key_claim_entry out;
  out.claim = to_wire(in.claim);
  out.claimed_at = in.claimed_at;
  if (in.finished) {
    out.__set_finished(to_wire(*in.finished));
  }
  return out;
}

key_claim_entry from_wire(const wire::key_claim_entry& in,
                          checked_narrowing& narrow) {
  key_claim_entry out{from_wire(in.claim), in.claimed_at, std::nullopt};
  if (in.__isset.finished) {
    out.finished = from_wire(in.finished, narrow);
  }
  return out;
}

wire::shard_snapshot to_wire(const shard_snapshot& in) {
  wire::shard_snapshot out;
  out.covers = in.covers;
  out.epoch = bits(in.epoch);
  if (in.owner) {
    out.__set_owner(to_wire(*in.owner));
  }
  out.owned_since = in.owned_since;
  out.next_job = in.next_job;
  for (const auto& [number, job] : in.jobs) {
    out.jobs.emplace(number, to_wire(job));
  }
  out.ended_jobs.assign(in.ended_jobs.begin(), in.ended_jobs.end());
  out.workers = in.workers;
  for (const auto& [key, entry] : in.keys) {
    out.keys.emplace(bits(key), to_wire(entry));
  }
  for (const auto& [instance, history] : in.writers) {
    out.writers.emplace(instance, detail::to_wire(history));
  }
  return out;
}

shard_snapshot from_wire(const wire::shard_snapshot& in,
                         checked_narrowing& narrow) {
  shard_snapshot out;
  out.covers = in.covers;
  out.epoch = bits(in.epoch);
  if (in.__isset.owner) {
    out.owner = from_wire(in.owner);
  }
  out.owned_since = in.owned_since;
  out.next_job = narrow.number<job_number>(in.next_job);
  for (const auto& [number, job] : in.jobs) {
    out.jobs.emplace(narrow.number<job_number>(number), from_wire(job, narrow));
  }
  for (auto number : in.ended_jobs) {
    out.ended_jobs.push_back(narrow.number<job_number>(number));
  }
  out.workers = in.workers;
  for (const auto& [key, entry] : in.keys) {
    out.keys.emplace(bits(key), from_wire(entry, narrow));
  }
  for (const auto& [instance, history] : in.writers) {
    out.writers.emplace(instance, detail::from_wire(history));
  }
  return out;
}

struct body_writer {
  wire::shard_record& out;

  void operator()(const owner_claimed& body) const {
    out.__set_claimed(to_wire(body));
  }
  void operator()(const owner_released&) const { out.__set_released({}); }
  void operator()(const job_submitted& body) const {
    out.__set_submitted(to_wire(body));
  }
  void operator()(const job_delegated& body) const {
    wire::job_delegated delegated;
    delegated.job = body.job;
    delegated.to = body.to;
    if (body.confirmed) {
      delegated.__set_confirmed(true);
    }
    out.__set_delegated(delegated);
  }
  void operator()(const job_cancelled& body) const {
    out.__set_cancelled_job(body.job);
  }
  void operator()(const tasks_started& body) const {
    out.__set_started(to_wire(body));
  }
  void operator()(const tasks_ended& body) const {
    out.__set_ended(to_wire(body));
  }
  void operator()(const key_claimed& body) const {
    out.__set_key_claim(to_wire(body));
  }
  void operator()(const key_finished& body) const {
    out.__set_key_finish(to_wire(body));
  }
  void operator()(const keys_expired& body) const {
    out.__set_keys_claimed_until(body.claimed_until);
  }
  void operator()(const worker_registered& body) const {
    out.__set_worker(body.worker);
  }
  void operator()(const shard_snapshot& body) const {
    out.__set_snapshot(to_wire(body));
  }
};

int body_count(const wire::shard_record& in) {
  const auto& set = in.__isset;
  return int{set.claimed} + int{set.released} + int{set.submitted} +
         int{set.delegated} + int{set.cancelled_job} + int{set.started} +
         int{set.ended} + int{set.key_claim} + int{set.key_finish} +
         int{set.keys_claimed_until} + int{set.worker} + int{set.snapshot};
}

shard_body read_job_body(const wire::shard_record& in,
                         checked_narrowing& narrow) {
  if (in.__isset.submitted) {
    return from_wire(in.submitted, narrow);
  }
  if (in.__isset.delegated) {
    return job_delegated{
        narrow.number<job_number>(in.delegated.job),
        narrow.number<model::shard_id>(in.delegated.to),
        in.delegated.__isset.confirmed && in.delegated.confirmed};
  }
  if (in.__isset.cancelled_job) {
    return job_cancelled{narrow.number<job_number>(in.cancelled_job)};
  }
  if (in.__isset.started) {
    return from_wire(in.started, narrow);
  }
  return from_wire(in.ended, narrow);
}

shard_body read_body(const wire::shard_record& in, checked_narrowing& narrow) {
  if (in.__isset.claimed) {
    return from_wire(in.claimed);
  }
  if (in.__isset.released) {
    return owner_released{};
  }
  if (in.__isset.key_claim) {
    return from_wire(in.key_claim);
  }
  if (in.__isset.key_finish) {
    return from_wire(in.key_finish, narrow);
  }
  if (in.__isset.keys_claimed_until) {
    return keys_expired{in.keys_claimed_until};
  }
  if (in.__isset.worker) {
    return worker_registered{in.worker};
  }
  if (in.__isset.snapshot) {
    return from_wire(in.snapshot, narrow);
  }
  return read_job_body(in, narrow);
}

}  // namespace

std::string encode(const shard_record& record) {
  wire::shard_record out;
  out.id = detail::to_wire(record.id);
  out.epoch = bits(record.epoch);
  std::visit(body_writer{out}, record.body);
  return detail::encode_envelope(out);
}

absl::StatusOr<shard_record> decode_shard(std::string_view bytes) {
  wire::shard_record in;
  if (auto status = detail::decode_envelope(bytes, in); !status.ok()) {
    return status;
  }
  if (body_count(in) == 0) {
    return detail::unknown_record();
  }
  if (body_count(in) > 1 || in.started.starts.size() % 4 != 0) {
    return detail::malformed_record("body");
  }
  checked_narrowing narrow;
  shard_record record{detail::from_wire(in.id), bits(in.epoch),
                      read_body(in, narrow)};
  if (auto status = narrow.status(); !status.ok()) {
    return status;
  }
  return record;
}

}  // namespace vanillaladder::coordination
