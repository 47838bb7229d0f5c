#include "control/job_api.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <set>

#include "control/wire_convert.h"
#include "coordination/shard_state.h"
#include "runtime/error.h"

namespace vanillaladder::control {
namespace {

using nlohmann::json;

constexpr std::int64_t max_integer = 1'000'000'000;
constexpr std::size_t max_command_bytes = 4096;
constexpr std::size_t max_name_bytes = 100;
constexpr std::size_t shard_prefix_bytes = 4;  // "s07-"

absl::Status invalid(std::string_view field, std::string_view allowed) {
  return runtime::make_error(
      absl::StatusCode::kInvalidArgument, "parse job", "",
      std::string(field) + ": allowed: " + std::string(allowed));
}

bool is_valid_name(std::string_view text, std::size_t max_bytes) {
  return !text.empty() && text.size() <= max_bytes &&
         std::ranges::all_of(text, [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

absl::Status read_integer(const json& object, const char* field,
                          std::int64_t min, std::int64_t& value) {
  auto found = object.find(field);
  if (found == object.end()) {
    return absl::OkStatus();
  }
  if (!found->is_number_integer()) {
    return invalid(field, "an integer");
  }
  // A number above the signed range would wrap around and pass the range check.
  bool wraps = found->is_number_unsigned() &&
               found->get<std::uint64_t>() > std::uint64_t{max_integer};
  value = wraps ? max_integer + 1 : found->get<std::int64_t>();
  if (value < min || value > max_integer) {
    return invalid(field,
                   std::to_string(min) + ".." + std::to_string(max_integer));
  }
  return absl::OkStatus();
}

absl::Status read_name(const json& object, const char* field,
                       std::size_t max_bytes, std::string& value) {
  auto found = object.find(field);
  if (found == object.end() || !found->is_string() ||
      !is_valid_name(found->get_ref<const std::string&>(), max_bytes)) {
    return invalid(field, "letters, digits, '-', '_' and '.', at most " +
                              std::to_string(max_bytes) + " characters");
  }
  value = found->get<std::string>();
  return absl::OkStatus();
}

absl::Status check_fields(const json& object,
                          const std::set<std::string>& known) {
  for (const auto& item : object.items()) {
    if (!known.contains(item.key())) {
      return invalid(item.key(), "this field is not known");
    }
  }
  return absl::OkStatus();
}

absl::Status read_resources(const json& object, model::resources& size) {
  auto found = object.find("resources");
  if (found == object.end() || !found->is_object()) {
    return invalid("resources",
                   "an object with cpu_millis, memory_mib, accelerators");
  }
  auto status =
      check_fields(*found, {"cpu_millis", "memory_mib", "accelerators"});
  status.Update(read_integer(*found, "cpu_millis", 1, size.cpu_millis));
  status.Update(read_integer(*found, "memory_mib", 0, size.memory_mib));
  status.Update(read_integer(*found, "accelerators", 0, size.accelerators));
  if (status.ok() && size.cpu_millis == 0) {
    return invalid("resources.cpu_millis", "at least 1");
  }
  return status;
}

/// Entries are arrays `[task, state, attempt, checkpoint]` to keep the body
/// short, since a job may have thousands of tasks.
absl::Status read_progress(const json& object, job_request& job) {
  auto found = object.find("progress");
  if (found == object.end()) {
    return absl::OkStatus();
  }
  auto is_unsigned = [](const json& value) {
    return value.is_number_unsigned();
  };
  for (const auto& entry : *found) {
    if (!entry.is_array() || entry.size() != 4 || !is_unsigned(entry[0]) ||
        !is_unsigned(entry[1]) || !is_unsigned(entry[2]) ||
        !entry[3].is_string() ||
        entry[1] > static_cast<int>(coordination::task_state::cancelled)) {
      return invalid("progress", "[task, state, attempt, checkpoint]");
    }
    job.progress.push_back({entry[0].get<std::uint32_t>(),
                            entry[1].get<coordination::task_state>(),
                            entry[2].get<std::uint32_t>(),
                            entry[3].get<std::string>()});
  }
  return absl::OkStatus();
}

absl::StatusOr<job_request> read_job(const json& object) {
  job_request job;
  std::string key;
  std::int64_t tasks = 1;
  absl::Status status;
  status.Update(read_name(object, "id", max_job_key_bytes, key));
  status.Update(read_name(object, "team", max_name_bytes, job.team));
  status.Update(read_name(object, "class", max_name_bytes, job.job_class));
  status.Update(read_integer(object, "tasks", 1, tasks));
  status.Update(read_resources(object, job.size));
  status.Update(
      read_integer(object, "expected_run_ms", 0, job.expected_run_ms));
  if (!status.ok()) {
    return status;
  }
  if (tasks > coordination::shard_state::max_tasks) {
    return invalid(
        "tasks", "1.." + std::to_string(coordination::shard_state::max_tasks));
  }
  auto command = object.find("command");
  if (command != object.end()) {
    if (!command->is_string() ||
        command->get_ref<const std::string&>().size() > max_command_bytes) {
      return invalid("command", "a string of at most " +
                                    std::to_string(max_command_bytes) +
                                    " bytes");
    }
    job.command = command->get<std::string>();
  }
  job.tasks = static_cast<std::uint32_t>(tasks);
  job.id = coordination::make_job_id(key);
  return job;
}

absl::StatusOr<json> parse_object(std::string_view body,
                                  const std::set<std::string>& extra_fields) {
  auto object = json::parse(body, nullptr, false);
  if (!object.is_object()) {
    return invalid("body", "a JSON object");
  }
  std::set<std::string> known = {
      "id",      "team",      "class",          "tasks",
      "command", "resources", "expected_run_ms"};
  known.insert(extra_fields.begin(), extra_fields.end());
  auto status = check_fields(object, known);
  if (!status.ok()) {
    return status;
  }
  return object;
}

}  // namespace

absl::StatusOr<job_request> parse_job(std::string_view body) {
  auto object = parse_object(body, {});
  return object.ok() ? read_job(*object) : object.status();
}

absl::StatusOr<job_request> parse_delegated_job(std::string_view body) {
  auto object = parse_object(body, {"moves", "progress"});
  if (!object.ok()) {
    return object.status();
  }
  auto job = read_job(*object);
  if (!job.ok()) {
    return job;
  }
  std::int64_t moves = 0;
  auto status = read_integer(*object, "moves", 0, moves);
  status.Update(read_progress(*object, *job));
  if (!status.ok()) {
    return status;
  }
  job->moves = static_cast<std::uint32_t>(moves);
  return job;
}

std::string format_job(const job_request& job) {
  json progress = json::array();
  for (const auto& task : job.progress) {
    progress.push_back({task.task, task.state, task.attempt, task.checkpoint});
  }
  return json({{"id", job.id.substr(shard_prefix_bytes)},
               {"team", job.team},
               {"class", job.job_class},
               {"tasks", job.tasks},
               {"resources",
                {{"cpu_millis", job.size.cpu_millis},
                 {"memory_mib", job.size.memory_mib},
                 {"accelerators", job.size.accelerators}}},
               {"command", job.command},
               {"expected_run_ms", job.expected_run_ms},
               {"moves", job.moves},
               {"progress", std::move(progress)}})
      .dump();
}

std::optional<std::string> key_of_job(std::string_view id) {
  if (id.size() <= shard_prefix_bytes) {
    return std::nullopt;
  }
  std::string key(id.substr(shard_prefix_bytes));
  if (!is_valid_name(key, max_job_key_bytes) ||
      coordination::make_job_id(key) != id) {
    return std::nullopt;
  }
  return key;
}

http::response submit_response(const job_request& job, submit_result result,
                               std::string_view reason) {
  switch (result) {
    case submit_result::created:
      return http::json_response(201, json({{"id", job.id}}).dump());
    case submit_result::already_exists:
      return http::json_response(200, json({{"id", job.id}}).dump());
    case submit_result::unschedulable:
      return error_response(422, reason);
    case submit_result::not_run:
      return not_run_response(reason.empty() ? "shard-not-ready" : reason);
    case submit_result::unknown:
      break;
  }
  return unknown_response(reason.empty() ? "not-read-back" : reason);
}

http::response cancel_response(std::string_view id, cancel_result result) {
  switch (result) {
    case cancel_result::cancelled:
      return http::json_response(
          200, json({{"id", id}, {"result", "cancelled"}}).dump());
    case cancel_result::no_such_job:
      return error_response(404, "no such job");
    case cancel_result::not_run:
      return not_run_response("shard-not-ready");
    case cancel_result::unknown:
      break;
  }
  return unknown_response("not-read-back");
}

std::string format_status(const job_status& status) {
  bool unfinished =
      status.pending + status.starting + status.running + status.evicting > 0;
  const char* state = "finished";
  if (unfinished || status.delegated_to >= 0) {
    bool started = status.running + status.starting + status.evicting > 0;
    state = started ? "running" : "pending";
  } else if (status.cancel_requested) {
    state = "cancelled";
  } else if (status.failed > 0) {
    state = "failed";
  }
  json body = {{"id", status.id},
               {"team", status.team},
               {"class", status.job_class},
               {"state", state},
               {"tasks",
                {{"pending", status.pending},
                 {"starting", status.starting},
                 {"running", status.running},
                 {"evicting", status.evicting},
                 {"finished", status.finished},
                 {"failed", status.failed},
                 {"cancelled", status.cancelled}}}};
  if (status.delegated_to >= 0) {
    body["delegated_to"] = status.delegated_to;
  }
  return body.dump();
}

http::response error_response(int status, std::string_view message) {
  return http::json_response(status, json({{"error", message}}).dump());
}

}  // namespace vanillaladder::control
