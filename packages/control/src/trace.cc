#include "control/trace.h"

#include <istream>
#include <optional>
#include <utility>

#include "runtime/error.h"
#include "trace_json.h"

namespace vanillaladder::control {
namespace {

using nlohmann::json;

/// Serializes a variant as an array of its index and its value.
template <class Variant>
json to_tagged(const Variant& value) {
  return std::visit(
      [&](const auto& body) {
        return json::array({value.index(), json(body)});
      },
      value);
}

template <std::size_t Index = 0>
event parse_event(std::size_t index, const json& body) {
  if constexpr (Index == std::variant_size_v<event>) {
    throw std::invalid_argument("unknown event index");
  } else {
    if (index == Index) {
      return body.get<std::variant_alternative_t<Index, event>>();
    }
    return parse_event<Index + 1>(index, body);
  }
}

json to_json_list(std::span<const action> action_list) {
  auto list = json::array();
  for (const auto& item : action_list) {
    list.push_back(to_tagged(item));
  }
  return list;
}

absl::Status replay_error(std::uint64_t line, std::string_view message) {
  return runtime::make_error(absl::StatusCode::kFailedPrecondition,
                             "replay line " + std::to_string(line), "",
                             message);
}

/// Checks that the attempt numbers of each task increase with every start that
/// one machine sends.
class attempt_checker {
 public:
  /// @return a description of the violation, if any.
  std::optional<std::string> check(std::span<const action> action_list,
                                   replay_result& result) {
    for (const auto& item : action_list) {
      const auto* start = std::get_if<actions::start_task>(&item);
      if (start == nullptr) {
        continue;
      }
      ++result.starts;
      const auto& id = start->start.id;
      if (id.attempt <= last_started_attempts_[id.task]) {
        return "attempt " + std::to_string(id.attempt) + " of " + id.task +
               " is not newer than the last started attempt";
      }
      last_started_attempts_[id.task] = id.attempt;
    }
    return std::nullopt;
  }

 private:
  std::map<std::string, std::uint32_t> last_started_attempts_;
};

void count_evictions(const event& input, replay_result& result) {
  const auto* read = std::get_if<events::log_read>(&input);
  if (read == nullptr) {
    return;
  }
  for (const auto& stored : read->read.records) {
    auto record = coordination::decode_shard(stored.bytes);
    const auto* ended =
        record.ok() ? std::get_if<coordination::tasks_ended>(&record->body)
                    : nullptr;
    if (ended == nullptr) {
      continue;
    }
    for (const auto& end : ended->ends) {
      result.evicted_records +=
          end.outcome == coordination::task_outcome::evicted;
    }
  }
}

shard_machine make_machine(const json& header) {
  if (header.at("trace") != trace_format) {
    throw std::invalid_argument("unsupported trace format");
  }
  shard_limits limits;
  limits.lease_ms = header.at("lease_ms").get<std::int64_t>();
  limits.blind_renewal_limit_ms =
      header.at("blind_renewal_limit_ms").get<std::int64_t>();
  return shard_machine(header.at("shard").get<model::shard_id>(),
                       header.at("instance").get<model::instance_id>(),
                       header.at("incarnation").get<model::incarnation>(),
                       limits);
}

}  // namespace

trace_writer::trace_writer(const std::string& folder, model::shard_id shard,
                           const model::instance_id& instance,
                           model::incarnation incarnation,
                           const shard_limits& limits)
    : file_(folder + "/" + std::to_string(shard) + "-" + instance + "-" +
            std::to_string(incarnation) + ".jsonl") {
  file_ << json({{"trace", trace_format},
                 {"shard", shard},
                 {"instance", instance},
                 {"incarnation", incarnation},
                 {"lease_ms", limits.lease_ms},
                 {"blind_renewal_limit_ms", limits.blind_renewal_limit_ms}})
               .dump()
        << std::endl;
}

void trace_writer::write(const event& input, model::time_point now,
                         std::span<const action> action_list) {
  if (!file_) {
    return;
  }
  json line = {{"now", now},
               {"event", to_tagged(input)},
               {"actions", to_json_list(action_list)}};
  // Flushes after each line, so that a killed process leaves complete lines.
  file_ << line.dump() << std::endl;
}

absl::StatusOr<replay_result> replay_trace(std::istream& trace) {
  std::string text;
  std::uint64_t line = 1;
  replay_result result;
  attempt_checker checker;
  try {
    std::getline(trace, text);
    auto machine = make_machine(json::parse(text));
    while (std::getline(trace, text)) {
      ++line;
      auto step = json::parse(text);
      const auto& tagged = step.at("event");
      auto input = parse_event(tagged.at(0).get<std::size_t>(), tagged.at(1));
      auto action_list =
          machine.step(input, step.at("now").get<model::time_point>());
      ++result.steps;
      count_evictions(input, result);
      if (auto violation = checker.check(action_list, result)) {
        return replay_error(line, *violation);
      }
      auto actual = to_json_list(action_list);
      if (actual != step.at("actions")) {
        return replay_error(line, "actions differ: recorded " +
                                      step.at("actions").dump() +
                                      ", replayed " + actual.dump());
      }
    }
    for (const auto& [number, job] : machine.state().jobs()) {
      result.finished += job.finished;
      result.failed += job.failed;
    }
  } catch (const std::exception& error) {
    return replay_error(line, error.what());
  }
  return result;
}

}  // namespace vanillaladder::control
