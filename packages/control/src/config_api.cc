#include "control/config_api.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "control/job_api.h"
#include "control/wire_convert.h"

namespace vanillaladder::control {
namespace {

using nlohmann::json;

constexpr std::size_t max_string_bytes = 200;
constexpr std::size_t max_keys = 10000;

/// Parses the fields of a change and collects the errors in them.
class change_parser {
 public:
  explicit change_parser(std::string_view body)
      : object_(json::parse(body, nullptr, false)) {
    if (!object_.is_object()) {
      object_ = json::object();
      add_error({"body", "not a JSON object", "an object", ""});
    }
  }

  std::string string_field(const char* field, bool required) {
    auto found = object_.find(field);
    if (found == object_.end() && !required) {
      return {};
    }
    if (found == object_.end() || !found->is_string() ||
        found->get_ref<const std::string&>().empty() ||
        found->get_ref<const std::string&>().size() > max_string_bytes) {
      add_error(
          {field, "missing or not a string",
           "a string of 1 to " + std::to_string(max_string_bytes) + " bytes",
           ""});
      return {};
    }
    return found->get<std::string>();
  }

  std::uint64_t integer_field(const char* field) {
    auto found = object_.find(field);
    if (found == object_.end() || !found->is_number_unsigned()) {
      add_error({field, "missing or not a non-negative integer",
                 "an integer from 0", ""});
      return 0;
    }
    return found->get<std::uint64_t>();
  }

  coordination::config_keys keys_to_set() {
    coordination::config_keys keys;
    auto found = object_.find("set");
    if (found == object_.end()) {
      return keys;
    }
    if (!found->is_object() || found->size() > max_keys) {
      add_error(
          {"set", "not an object or too many keys", "at most 10000 keys", ""});
      return keys;
    }
    for (const auto& item : found->items()) {
      auto value = text_of(item.value());
      if (auto error = coordination::check_setting(item.key(), value)) {
        add_error(*error);
      }
      keys[item.key()] = value;
    }
    return keys;
  }

  std::vector<std::string> keys_to_remove() {
    std::vector<std::string> keys;
    auto found = object_.find("remove");
    if (found == object_.end()) {
      return keys;
    }
    if (!found->is_array()) {
      add_error({"remove", "not a list of keys", "a list of keys", ""});
      return keys;
    }
    for (const auto& item : *found) {
      auto key = text_of(item);
      if (auto error = coordination::check_key(key)) {
        add_error(*error);
      }
      keys.push_back(key);
    }
    return keys;
  }

  void check_fields(std::initializer_list<std::string_view> known) {
    for (const auto& item : object_.items()) {
      if (std::ranges::find(known, item.key()) == known.end()) {
        add_error({item.key(), "unknown field", "a field of the API", ""});
      }
    }
  }

  void check_not_empty(const coordination::config_keys& set,
                       const std::vector<std::string>& remove) {
    if (set.empty() && remove.empty()) {
      add_error({"set", "the patch changes nothing", "at least one key", ""});
    }
  }

  /// @return the response that rejects the change, if it has errors.
  std::optional<http::response> rejection() const {
    if (errors_.empty()) {
      return std::nullopt;
    }
    return http::json_response(
        422, json({{"result", "invalid"}, {"errors", errors_}}).dump());
  }

 private:
  static std::string text_of(const json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
  }

  void add_error(const coordination::schema_error& error) {
    json entry = {{"key", error.key},
                  {"message", error.message},
                  {"allowed", error.allowed}};
    if (!error.nearest.empty()) {
      entry["nearest"] = error.nearest;
    }
    errors_.push_back(std::move(entry));
  }

  json object_;
  json errors_ = json::array();
};

json optional_text(const std::optional<std::string>& value) {
  return value ? json(*value) : json(nullptr);
}

json conflict_json(const coordination::key_conflict& conflict) {
  return {{"key", conflict.key},
          {"yours", optional_text(conflict.yours)},
          {"your_author", conflict.your_author},
          {"theirs", optional_text(conflict.theirs)},
          {"their_author", conflict.their_author},
          {"their_patch", conflict.their_patch}};
}

std::string_view reason_of(coordination::control_verdict verdict) {
  switch (verdict) {
    case coordination::control_verdict::conflict:
      return "key-conflict";
    case coordination::control_verdict::stale_version:
      return "stale-version";
    case coordination::control_verdict::stale_revision:
      return "stale-revision";
    default:
      return "not-valid";
  }
}

}  // namespace

parsed_change parse_version(std::string_view body) {
  change_parser parser(body);
  parser.check_fields(
      {"version", "base_version", "base_revision", "author", "set", "remove"});
  coordination::version_created change;
  change.version = parser.integer_field("version");
  change.base_version = parser.integer_field("base_version");
  change.base_revision = parser.integer_field("base_revision");
  change.author = parser.string_field("author", true);
  change.set = parser.keys_to_set();
  change.remove = parser.keys_to_remove();
  if (auto rejected = parser.rejection()) {
    return *rejected;
  }
  return coordination::control_body(change);
}

parsed_change parse_patch(std::string_view body) {
  change_parser parser(body);
  parser.check_fields(
      {"id", "author", "branch", "version", "seen_revision", "set", "remove"});
  coordination::patch_published change;
  change.id = parser.string_field("id", true);
  change.author = parser.string_field("author", true);
  change.branch = parser.string_field("branch", false);
  change.version = parser.integer_field("version");
  change.seen_revision = parser.integer_field("seen_revision");
  change.set = parser.keys_to_set();
  change.remove = parser.keys_to_remove();
  parser.check_not_empty(change.set, change.remove);
  if (auto rejected = parser.rejection()) {
    return *rejected;
  }
  return coordination::control_body(change);
}

http::response change_response(const publish_result& result, bool confirmed) {
  using coordination::append_outcome;
  if (result.outcome == append_outcome::unknown) {
    return unknown_response("log-unavailable");
  }
  if (result.outcome == append_outcome::invalid && result.offset < 0) {
    return not_run_response("log-unavailable");
  }
  const auto& decision = result.decision;
  json body = {{"version", decision.version},
               {"revision", decision.revision},
               {"offset", decision.decided_at}};
  if (result.outcome == append_outcome::invalid) {
    body["result"] = "conflict";
    body["reason"] = reason_of(decision.verdict);
    body["conflicts"] = json::array();
    for (const auto& conflict : decision.conflicts) {
      body["conflicts"].push_back(conflict_json(conflict));
    }
    return http::json_response(409, body.dump());
  }
  if (!confirmed) {
    return unknown_response("no-majority");
  }
  body["result"] = "accepted";
  return http::json_response(200, body.dump());
}

http::response config_response(const coordination::control_state& state,
                               std::string_view branch) {
  return http::json_response(200, json({{"version", state.version()},
                                        {"revision", state.revision()},
                                        {"offset", state.applied()},
                                        {"keys", state.document()},
                                        {"effective", state.effective(branch)}})
                                      .dump());
}

http::response version_response(const coordination::control_state& state,
                                std::string_view number) {
  std::uint64_t version = 0;
  const auto* end = number.data() + number.size();
  auto parsed = std::from_chars(number.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return error_response(404, "no such version");
  }
  auto keys = state.find_version(version);
  if (!keys) {
    return error_response(404, "no such version");
  }
  return http::json_response(
      200, json({{"version", version}, {"keys", *keys}}).dump());
}

http::response status_response(const std::vector<instance_status>& instances) {
  auto list = json::array();
  for (const auto& instance : instances) {
    list.push_back({{"instance", instance.id},
                    {"domain", instance.domain},
                    {"version", instance.version},
                    {"revision", instance.revision},
                    {"applied_offset", instance.applied_offset},
                    {"since_offset", instance.since_offset},
                    {"view", !instance.reachable ? "silent"
                             : instance.fresh    ? "fresh"
                                                 : "stale"}});
  }
  return http::json_response(200, json({{"instances", list}}).dump());
}

}  // namespace vanillaladder::control
