#include "batch/job_records.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <limits>
#include <memory>

#include "batch_records_types.h"

namespace vanillaladder::batch {
namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

template <class Record>
std::string write_record(const Record& record) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol protocol(buffer);
  record.write(&protocol);
  return buffer->getBufferAsString();
}

template <class Record>
absl::StatusOr<Record> read_record(std::string_view value,
                                   std::string_view what) {
  Record record;
  try {
    std::string bytes(value);
    auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(bytes.data()),
        static_cast<std::uint32_t>(bytes.size()));
    auto limit = static_cast<std::int32_t>(bytes.size());
    TCompactProtocol protocol(buffer, limit, limit);
    record.read(&protocol);
  } catch (const std::exception& error) {
    return absl::DataLossError(
        absl::StrCat("decode ", std::string(what), ": ", error.what()));
  }
  return record;
}

wire::step to_wire(const step_spec& step) {
  wire::step out;
  out.count = step.count;
  out.cpu_millis = step.required_resources.cpu_millis;
  out.memory_mib = step.required_resources.memory_mib;
  out.accelerators = step.required_resources.accelerators;
  out.estimate_ms = step.estimated_run_time.count();
  out.after.assign(step.depends_on.begin(), step.depends_on.end());
  out.checkpoints = step.checkpoints;
  out.gang = step.gang;
  out.same_rack = step.same_rack;
  out.speculative = step.speculative;
  out.lasting = step.long_running;
  out.fills = step.best_effort;
  out.required_label = step.required_label;
  out.data_rack = step.data_rack;
  out.image = step.image;
  out.per_worker_limit = step.per_worker_limit;
  out.max_away = step.max_unavailable;
  out.target_ms = step.response_time_target.count();
  return out;
}

step_spec from_wire(wire::step&& in) {
  step_spec step;
  step.count = in.count;
  step.required_resources = {in.cpu_millis, in.memory_mib, in.accelerators};
  step.estimated_run_time = milliseconds(in.estimate_ms);
  step.depends_on.assign(in.after.begin(), in.after.end());
  step.checkpoints = in.checkpoints;
  step.gang = in.gang;
  step.same_rack = in.same_rack;
  step.speculative = in.speculative;
  step.long_running = in.lasting;
  step.best_effort = in.fills;
  step.required_label = std::move(in.required_label);
  step.data_rack = std::move(in.data_rack);
  step.image = std::move(in.image);
  step.per_worker_limit = in.per_worker_limit;
  step.max_unavailable = in.max_away;
  step.response_time_target = milliseconds(in.target_ms);
  return step;
}

/// @return whether the next number can still be counted.
bool is_count(int value) {
  return value >= 0 && value < std::numeric_limits<int>::max();
}

bool is_valid(const task_record& task) {
  return task.index >= 0 && task.index < max_tasks_per_job &&
         is_count(task.last_run) && is_count(task.failures) &&
         std::ranges::all_of(task.runs, [](const run_record& run) {
           return is_count(run.number) && run.incarnation >= 0 &&
                  run.incarnation <= max_unix_time;
         });
}

char prefix_of(record_kind kind) {
  switch (kind) {
    case record_kind::job:
      return 'j';
    case record_kind::cancellation:
      return 'c';
    case record_kind::state:
      return 's';
  }
  return '?';
}

}  // namespace

std::string to_string(const job_record_key& key) {
  std::string text = key.job;
  text.insert(0, 1, '/');
  text.insert(0, 1, prefix_of(key.kind));
  return text;
}

std::optional<job_record_key> parse_job_record_key(std::string_view text) {
  if (text.size() < 3 || text[1] != '/') {
    return std::nullopt;
  }
  for (auto kind :
       {record_kind::job, record_kind::cancellation, record_kind::state}) {
    if (text[0] == prefix_of(kind)) {
      return job_record_key{kind, std::string(text.substr(2))};
    }
  }
  return std::nullopt;
}

std::string to_string(const step_key& key) {
  return absl::StrCat(key.job, "/", key.occurrence, "/", key.step);
}

std::optional<step_key> parse_step_key(std::string_view text) {
  std::vector<std::string> parts =
      absl::StrSplit(absl::string_view(text.data(), text.size()), '/');
  step_key key;
  if (parts.size() != 3 || parts[0].empty() ||
      !absl::SimpleAtoi(parts[1], &key.occurrence) ||
      !absl::SimpleAtoi(parts[2], &key.step)) {
    return std::nullopt;
  }
  key.job = std::move(parts[0]);
  if (key.occurrence < 0 || key.step < 0 || to_string(key) != text) {
    return std::nullopt;
  }
  return key;
}

std::string to_string(const progress_key& key) {
  auto text = to_string(key.step);
  if (key.part > 0) {
    absl::StrAppend(&text, "/", key.part);
  }
  return text;
}

std::optional<progress_key> parse_progress_key(std::string_view text) {
  if (auto step = parse_step_key(text)) {
    return progress_key{std::move(*step), 0};
  }
  auto slash = text.rfind('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  progress_key key;
  auto step = parse_step_key(text.substr(0, slash));
  auto part = text.substr(slash + 1);
  if (!step || !absl::SimpleAtoi(absl::string_view(part.data(), part.size()),
                                 &key.part)) {
    return std::nullopt;
  }
  key.step = std::move(*step);
  if (key.part < 1 || to_string(key) != text) {
    return std::nullopt;
  }
  return key;
}

namespace {

constexpr std::string_view completed_suffix = "/done";

}  // namespace

std::string to_string(const completed_key& key) {
  return key.job + std::string(completed_suffix);
}

std::optional<completed_key> parse_completed_key(std::string_view text) {
  if (!text.ends_with(completed_suffix)) {
    return std::nullopt;
  }
  completed_key key{
      std::string(text.substr(0, text.size() - completed_suffix.size()))};
  bool is_id = !key.job.empty() && key.job.find('/') == std::string::npos;
  return is_id ? std::optional(std::move(key)) : std::nullopt;
}

std::string encode(const job_spec& spec) {
  wire::job out;
  out.queue = spec.queue;
  out.payload = spec.payload;
  for (const auto& step : spec.steps) {
    out.steps.push_back(to_wire(step));
  }
  out.repeat_count = spec.repeat_count;
  out.first_run_unix_ms = spec.first_run_at;
  out.interval_ms = spec.interval.count();
  out.accepted_unix_ms = spec.accepted_at;
  out.policy.service_name = spec.policy.service;
  out.policy.priority = spec.policy.priority;
  out.policy.max_attempts = spec.policy.max_attempts;
  out.policy.stretch = spec.policy.stretch;
  out.policy.target_latency_ms = spec.policy.target_latency.count();
  if (!spec.organisation.empty()) {
    out.__set_organisation(spec.organisation);
  }
  return write_record(out);
}

absl::StatusOr<job_spec> decode_job(const model::job_id& id,
                                    std::string_view value) {
  auto in = read_record<wire::job>(value, "job");
  if (!in.ok()) {
    return in.status();
  }
  job_spec spec;
  spec.id = id;
  spec.queue = std::move(in->queue);
  spec.payload = std::move(in->payload);
  for (auto& step : in->steps) {
    spec.steps.push_back(from_wire(std::move(step)));
  }
  spec.repeat_count = in->repeat_count;
  spec.first_run_at = in->first_run_unix_ms;
  spec.interval = milliseconds(in->interval_ms);
  spec.accepted_at = in->accepted_unix_ms;
  spec.policy = {std::move(in->policy.service_name), in->policy.priority,
                 in->policy.max_attempts, in->policy.stretch,
                 milliseconds(in->policy.target_latency_ms)};
  spec.organisation = std::move(in->organisation);
  if (auto problem = find_problem(spec); !problem.empty()) {
    return absl::DataLossError(absl::StrCat("decode job: ", problem));
  }
  return spec;
}

std::string encode(const job_status& status) {
  wire::job_state out;
  out.state = static_cast<std::int32_t>(status.state);
  out.since_unix_ms = status.changed_at;
  out.queue = status.queue;
  return write_record(out);
}

absl::StatusOr<job_status> decode_status(std::string_view value) {
  auto in = read_record<wire::job_state>(value, "job state");
  if (!in.ok()) {
    return in.status();
  }
  if (in->state < 0 ||
      in->state > static_cast<std::int32_t>(job_state::cancelled)) {
    return absl::DataLossError("decode job state: unknown state");
  }
  return job_status{static_cast<job_state>(in->state), in->since_unix_ms,
                    std::move(in->queue)};
}

std::string encode(const std::vector<task_record>& tasks, unix_ms stored_at) {
  wire::step_progress out;
  if (stored_at != 0) {
    out.__set_stored_unix_ms(stored_at);
  }
  for (const auto& task : tasks) {
    auto& to = out.tasks.emplace_back();
    to.index = task.index;
    to.done = task.done;
    to.last_run = task.last_run;
    to.failures = task.failures;
    to.checkpoint = task.checkpoint;
    for (const auto& run : task.runs) {
      auto& to_run = to.runs.emplace_back();
      to_run.number = run.number;
      to_run.worker = run.worker;
      to_run.life = run.incarnation;
      if (run.is_settled) {
        to_run.__set_settled(true);
      }
    }
  }
  return write_record(out);
}

absl::StatusOr<step_progress> decode_progress(std::string_view value) {
  auto in = read_record<wire::step_progress>(value, "step progress");
  if (!in.ok()) {
    return in.status();
  }
  step_progress progress;
  if (in->__isset.stored_unix_ms) {
    progress.stored_at = in->stored_unix_ms;
  }
  for (auto& from : in->tasks) {
    task_record task{from.index,
                     from.done,
                     from.last_run,
                     from.failures,
                     std::move(from.checkpoint),
                     {}};
    for (auto& run : from.runs) {
      task.runs.push_back({run.number, std::move(run.worker), run.life,
                           run.__isset.settled && run.settled});
    }
    if (!is_valid(task)) {
      return absl::DataLossError("decode step progress: number out of range");
    }
    progress.tasks.push_back(std::move(task));
  }
  return progress;
}

}  // namespace vanillaladder::batch
