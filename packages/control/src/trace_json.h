#pragma once

#include <absl/strings/escaping.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "control/shard_messages.h"

// JSON serialization of the events and actions of shard machines. The macros of
// nlohmann/json must be used in the namespace of each type.

namespace nlohmann {

template <>
struct adl_serializer<std::chrono::milliseconds> {
  static void to_json(json& output, const std::chrono::milliseconds& value) {
    output = value.count();
  }
  static void from_json(const json& input, std::chrono::milliseconds& value) {
    value = std::chrono::milliseconds(input.get<std::int64_t>());
  }
};

template <>
struct adl_serializer<vanillaladder::model::time_point> {
  using time_point = vanillaladder::model::time_point;
  static void to_json(json& output, const time_point& value) {
    output = value.time_since_epoch().count();
  }
  static void from_json(const json& input, time_point& value) {
    value = time_point(time_point::duration(input.get<std::int64_t>()));
  }
};

}  // namespace nlohmann

namespace vanillaladder::model {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(resources, cpu_millis, memory_mib,
                                   accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_info, id, address, port, domain, rack,
                                   capacity, state)

}  // namespace vanillaladder::model

namespace vanillaladder::external {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_id, task, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_start, lease, id, size, command,
                                   checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(usage_report, used, age, slowdown_percent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_report, id, state, lease, checkpoint,
                                   usage)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(lease_report, lease, holder, remaining)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_report, leases, tasks, usage)

}  // namespace vanillaladder::external

namespace vanillaladder::coordination {

inline std::string to_base64(const std::string& bytes) {
  return absl::Base64Escape(bytes);
}

inline std::string from_base64(const std::string& text) {
  std::string bytes;
  if (!absl::Base64Unescape(text, &bytes)) {
    throw std::invalid_argument("invalid base64 data");
  }
  return bytes;
}

inline void to_json(nlohmann::json& output, const stored_record& value) {
  output = {{"at", value.offset}, {"bytes", to_base64(value.bytes)}};
}

inline void from_json(const nlohmann::json& input, stored_record& value) {
  value.offset = input.at("at").get<model::offset>();
  value.bytes = from_base64(input.at("bytes").get<std::string>());
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(read_result, first, next, records)

inline void to_json(nlohmann::json& output, const append_batch& value) {
  output = {{"number", value.number}, {"records", nlohmann::json::array()}};
  for (const auto& record : value.records) {
    output["records"].push_back(to_base64(record));
  }
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_progress, task, state, attempt,
                                   checkpoint)

// A body is serialized as a base64 log record that contains it.
inline void to_json(nlohmann::json& output, const shard_body& value) {
  shard_record record;
  record.body = value;
  output = to_base64(encode(record));
}

inline void from_json(const nlohmann::json& input, shard_body& value) {
  auto record = decode_shard(from_base64(input.get<std::string>()));
  if (!record.ok()) {
    throw std::invalid_argument("invalid shard record");
  }
  value = std::move(record->body);
}

}  // namespace vanillaladder::coordination

namespace vanillaladder::control {

/// `moves` and `progress` are omitted for jobs that were not delegated, and are
/// missing in traces recorded before jobs were delegated with their progress.
inline void to_json(nlohmann::json& output, const job_request& value) {
  output = {{"id", value.id},
            {"team", value.team},
            {"job_class", value.job_class},
            {"tasks", value.tasks},
            {"size", value.size},
            {"command", value.command},
            {"expected_run_ms", value.expected_run_ms}};
  if (value.moves > 0) {
    output["moves"] = value.moves;
    output["progress"] = value.progress;
  }
}

inline void from_json(const nlohmann::json& input, job_request& value) {
  input.at("id").get_to(value.id);
  input.at("team").get_to(value.team);
  input.at("job_class").get_to(value.job_class);
  input.at("tasks").get_to(value.tasks);
  input.at("size").get_to(value.size);
  input.at("command").get_to(value.command);
  input.at("expected_run_ms").get_to(value.expected_run_ms);
  value.moves = input.value("moves", 0U);
  value.progress = input.value("progress", value.progress);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(team_policy, weight, quota)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(batch_policy, domains_out, draining, dead,
                                   class_kinds, teams, reserve_percent,
                                   max_class_slowdown_percent,
                                   max_checkpoints_per_second)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(job_status, id, team, job_class, pending,
                                   starting, running, evicting, finished,
                                   failed, cancelled, cancel_requested,
                                   delegated_to)

}  // namespace vanillaladder::control

namespace vanillaladder::control::events {

/// Serializes a type without members as an empty JSON object.
#define VL_EMPTY_JSON(type)                                  \
  inline void to_json(nlohmann::json& output, const type&) { \
    output = nlohmann::json::object();                       \
  }                                                          \
  inline void from_json(const nlohmann::json&, type&) {}

VL_EMPTY_JSON(tick)
VL_EMPTY_JSON(drain_requested)
VL_EMPTY_JSON(claim_shard)
VL_EMPTY_JSON(release_shard)
#undef VL_EMPTY_JSON

inline void to_json(nlohmann::json& output, const append_body& value) {
  output["token"] = value.token;
  coordination::to_json(output["body"], value.body);
}

inline void from_json(const nlohmann::json& input, append_body& value) {
  value.token = input.at("token").get<request_token>();
  coordination::from_json(input.at("body"), value.body);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(log_read, read)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(append_answered, number, at)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(append_failed, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_call_done, call, outcome, lease,
                                   checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(worker_listed, call, report)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(workers_changed, workers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(policy_changed, policy)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(members_changed, members)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(view_freshness_changed, fresh, log_reachable,
                                   log_reachable_by_peer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(shards_changed::room, free, largest_worker)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(shards_changed, shards)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(submit_job, token, job, delegated)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cancel_job, token, job)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(query_job, token, job)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(delegation_done, job, moves, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(delegated_cancel_done, job, outcome)

}  // namespace vanillaladder::control::events

namespace vanillaladder::control::actions {

// Replay compares actions in their JSON form, so no `from_json` is needed.
inline void to_json(nlohmann::json& output, const append& value) {
  coordination::to_json(output, value.batch);
}
inline void to_json(nlohmann::json& output, const body_resolved& value) {
  output = {{"token", value.token}, {"outcome", value.outcome}};
}
inline void to_json(nlohmann::json& output, const acquire_lease& value) {
  output = {{"call", value.call},
            {"worker", value.worker},
            {"holder", value.holder},
            {"duration_ms", value.duration_ms}};
}
inline void to_json(nlohmann::json& output, const renew_lease& value) {
  output = {
      {"call", value.call}, {"worker", value.worker}, {"lease", value.lease}};
}
inline void to_json(nlohmann::json& output, const delete_lease& value) {
  output = {
      {"call", value.call}, {"worker", value.worker}, {"lease", value.lease}};
}
inline void to_json(nlohmann::json& output, const list_worker& value) {
  output = {{"call", value.call}, {"worker", value.worker}};
}
inline void to_json(nlohmann::json& output, const start_task& value) {
  output = {
      {"call", value.call}, {"worker", value.worker}, {"start", value.start}};
}
inline void to_json(nlohmann::json& output, const adopt_task& value) {
  output = {{"call", value.call},
            {"worker", value.worker},
            {"id", value.id},
            {"lease", value.lease}};
}
inline void to_json(nlohmann::json& output, const checkpoint_task& value) {
  output = {{"call", value.call}, {"worker", value.worker}, {"id", value.id}};
}
inline void to_json(nlohmann::json& output, const throttle_task& value) {
  output = {{"call", value.call},
            {"worker", value.worker},
            {"id", value.id},
            {"percent", value.percent}};
}
inline void to_json(nlohmann::json& output, const stop_task& value) {
  output = {{"call", value.call}, {"worker", value.worker}, {"id", value.id}};
}
inline void to_json(nlohmann::json& output, const acknowledge_end& value) {
  output = {{"call", value.call}, {"worker", value.worker}, {"id", value.id}};
}
inline void to_json(nlohmann::json& output, const reply_submit& value) {
  output = {{"token", value.token},
            {"result", value.result},
            {"reason", value.reason}};
}
inline void to_json(nlohmann::json& output, const reply_cancel& value) {
  output = {{"token", value.token}, {"result", value.result}};
}
inline void to_json(nlohmann::json& output, const reply_query& value) {
  output = {
      {"token", value.token}, {"found", value.found}, {"status", value.status}};
}
inline void to_json(nlohmann::json& output, const delegate_job& value) {
  output = {{"shard", value.shard}, {"job", value.job}};
}
inline void to_json(nlohmann::json& output, const cancel_delegated& value) {
  output = {{"shard", value.shard}, {"job", value.job}};
}
inline void to_json(nlohmann::json& output, const set_next_tick& value) {
  output = {{"at", value.at}};
}
inline void to_json(nlohmann::json& output, const count& value) {
  output = {
      {"name", value.name}, {"reason", value.reason}, {"amount", value.amount}};
}

}  // namespace vanillaladder::control::actions
