#pragma once

#include <absl/strings/escaping.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "control/shard_messages.h"

// JSON forms of the events and actions of shard machines. The macros of the
// JSON library need the namespace of each type.

namespace nlohmann {

template <>
struct adl_serializer<std::chrono::milliseconds> {
  static void to_json(json& to, const std::chrono::milliseconds& from) {
    to = from.count();
  }
  static void from_json(const json& from, std::chrono::milliseconds& to) {
    to = std::chrono::milliseconds(from.get<std::int64_t>());
  }
};

template <>
struct adl_serializer<vanillaladder::model::time_point> {
  using time_point = vanillaladder::model::time_point;
  static void to_json(json& to, const time_point& from) {
    to = from.time_since_epoch().count();
  }
  static void from_json(const json& from, time_point& to) {
    to = time_point(time_point::duration(from.get<std::int64_t>()));
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
    throw std::invalid_argument("not base64");
  }
  return bytes;
}

inline void to_json(nlohmann::json& to, const stored_record& from) {
  to = {{"at", from.offset}, {"bytes", to_base64(from.bytes)}};
}

inline void from_json(const nlohmann::json& from, stored_record& to) {
  to.offset = from.at("at").get<model::offset>();
  to.bytes = from_base64(from.at("bytes").get<std::string>());
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(read_result, first, next, records)

inline void to_json(nlohmann::json& to, const append_batch& from) {
  to = {{"number", from.number}, {"records", nlohmann::json::array()}};
  for (const auto& record : from.records) {
    to["records"].push_back(to_base64(record));
  }
}

/// A body travels inside a record, whose encoding is the log's.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_progress, task, state, attempt,
                                   checkpoint)

inline void to_json(nlohmann::json& to, const shard_body& from) {
  shard_record record;
  record.body = from;
  to = to_base64(encode(record));
}

inline void from_json(const nlohmann::json& from, shard_body& to) {
  auto record = decode_shard(from_base64(from.get<std::string>()));
  if (!record.ok()) {
    throw std::invalid_argument("not a shard record");
  }
  to = std::move(record->body);
}

}  // namespace vanillaladder::coordination

namespace vanillaladder::control {

/// Traces from before jobs moved with their progress have neither member.
inline void to_json(nlohmann::json& to, const job_request& from) {
  to = {{"id", from.id},
        {"team", from.team},
        {"job_class", from.job_class},
        {"tasks", from.tasks},
        {"size", from.size},
        {"command", from.command},
        {"expected_run_ms", from.expected_run_ms}};
  if (from.moves > 0) {
    to["moves"] = from.moves;
    to["progress"] = from.progress;
  }
}

inline void from_json(const nlohmann::json& from, job_request& to) {
  from.at("id").get_to(to.id);
  from.at("team").get_to(to.team);
  from.at("job_class").get_to(to.job_class);
  from.at("tasks").get_to(to.tasks);
  from.at("size").get_to(to.size);
  from.at("command").get_to(to.command);
  from.at("expected_run_ms").get_to(to.expected_run_ms);
  to.moves = from.value("moves", 0U);
  to.progress = from.value("progress", to.progress);
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

/// Gives a type without members a JSON form.
#define VL_EMPTY_JSON(type)                              \
  inline void to_json(nlohmann::json& to, const type&) { \
    to = nlohmann::json::object();                       \
  }                                                      \
  inline void from_json(const nlohmann::json&, type&) {}

VL_EMPTY_JSON(tick)
VL_EMPTY_JSON(drain_requested)
VL_EMPTY_JSON(claim_shard)
VL_EMPTY_JSON(release_shard)
#undef VL_EMPTY_JSON

inline void to_json(nlohmann::json& to, const append_body& from) {
  to["token"] = from.token;
  coordination::to_json(to["body"], from.body);
}

inline void from_json(const nlohmann::json& from, append_body& to) {
  to.token = from.at("token").get<request_token>();
  coordination::from_json(from.at("body"), to.body);
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

/// Actions are only written, so they need one direction.
inline void to_json(nlohmann::json& to, const append& from) {
  coordination::to_json(to, from.batch);
}
inline void to_json(nlohmann::json& to, const body_resolved& from) {
  to = {{"token", from.token}, {"outcome", from.outcome}};
}
inline void to_json(nlohmann::json& to, const acquire_lease& from) {
  to = {{"call", from.call},
        {"worker", from.worker},
        {"holder", from.holder},
        {"duration_ms", from.duration_ms}};
}
inline void to_json(nlohmann::json& to, const renew_lease& from) {
  to = {{"call", from.call}, {"worker", from.worker}, {"lease", from.lease}};
}
inline void to_json(nlohmann::json& to, const delete_lease& from) {
  to = {{"call", from.call}, {"worker", from.worker}, {"lease", from.lease}};
}
inline void to_json(nlohmann::json& to, const list_worker& from) {
  to = {{"call", from.call}, {"worker", from.worker}};
}
inline void to_json(nlohmann::json& to, const start_task& from) {
  to = {{"call", from.call}, {"worker", from.worker}, {"start", from.start}};
}
inline void to_json(nlohmann::json& to, const adopt_task& from) {
  to = {{"call", from.call},
        {"worker", from.worker},
        {"id", from.id},
        {"lease", from.lease}};
}
inline void to_json(nlohmann::json& to, const checkpoint_task& from) {
  to = {{"call", from.call}, {"worker", from.worker}, {"id", from.id}};
}
inline void to_json(nlohmann::json& to, const throttle_task& from) {
  to = {{"call", from.call},
        {"worker", from.worker},
        {"id", from.id},
        {"percent", from.percent}};
}
inline void to_json(nlohmann::json& to, const stop_task& from) {
  to = {{"call", from.call}, {"worker", from.worker}, {"id", from.id}};
}
inline void to_json(nlohmann::json& to, const acknowledge_end& from) {
  to = {{"call", from.call}, {"worker", from.worker}, {"id", from.id}};
}
inline void to_json(nlohmann::json& to, const reply_submit& from) {
  to = {
      {"token", from.token}, {"result", from.result}, {"reason", from.reason}};
}
inline void to_json(nlohmann::json& to, const reply_cancel& from) {
  to = {{"token", from.token}, {"result", from.result}};
}
inline void to_json(nlohmann::json& to, const reply_query& from) {
  to = {{"token", from.token}, {"found", from.found}, {"status", from.status}};
}
inline void to_json(nlohmann::json& to, const delegate_job& from) {
  to = {{"shard", from.shard}, {"job", from.job}};
}
inline void to_json(nlohmann::json& to, const cancel_delegated& from) {
  to = {{"shard", from.shard}, {"job", from.job}};
}
inline void to_json(nlohmann::json& to, const set_next_tick& from) {
  to = {{"at", from.at}};
}
inline void to_json(nlohmann::json& to, const count& from) {
  to = {{"name", from.name}, {"reason", from.reason}, {"amount", from.amount}};
}

}  // namespace vanillaladder::control::actions
