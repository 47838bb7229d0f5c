#include "dispatch/settings.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <toml++/toml.h>

#include <cmath>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <vector>

namespace vanillaladder::dispatch {
namespace {

/// Reads one value. Returns a description of the allowed values if it is
/// invalid, otherwise an empty string.
using value_reader = std::function<std::string(const toml::node&)>;

struct key_spec {
  bool required = false;
  value_reader read;
};

value_reader text_reader(std::string& target) {
  return [&target](const toml::node& node) -> std::string {
    auto value = node.value_exact<std::string>();
    if (!value || value->empty()) {
      return "a non-empty string";
    }
    target = *value;
    return "";
  };
}

value_reader endpoint_reader(endpoint& target) {
  return [&target](const toml::node& node) -> std::string {
    auto value = node.value_exact<std::string>().value_or("");
    auto colon = value.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string::npos || colon == 0 ||
        !absl::SimpleAtoi(value.substr(colon + 1), &port) || port > 65535) {
      return "\"address:port\"";
    }
    target = {value.substr(0, colon), static_cast<std::uint16_t>(port)};
    return "";
  };
}

/// Reads a number of milliseconds; a fraction is rounded up.
value_reader milliseconds_reader(std::chrono::milliseconds& target,
                                 std::int64_t min, std::int64_t max) {
  return [&target, min, max](const toml::node& node) -> std::string {
    auto value = std::ceil(node.value<double>().value_or(-1));
    if (!(value >= static_cast<double>(min) &&
          value <= static_cast<double>(max))) {
      return absl::StrCat("milliseconds from ", min, " to ", max);
    }
    target = std::chrono::milliseconds(static_cast<std::int64_t>(value));
    return "";
  };
}

/// Reads a number of seconds, which may be a fraction.
value_reader seconds_reader(std::chrono::milliseconds& target, double min,
                            double max) {
  return [&target, min, max](const toml::node& node) -> std::string {
    auto value = node.value<double>().value_or(-1);
    if (!(value >= min && value <= max)) {
      return absl::StrCat("seconds from ", min, " to ", max);
    }
    target = std::chrono::milliseconds(std::llround(1000 * value));
    return "";
  };
}

value_reader flag_reader(bool& target) {
  return [&target](const toml::node& node) -> std::string {
    auto value = node.value_exact<bool>();
    target = value.value_or(false);
    return value ? "" : "true or false";
  };
}

value_reader size_reader(std::size_t& target, std::size_t min,
                         std::size_t max) {
  return [&target, min, max](const toml::node& node) -> std::string {
    auto value = node.value<double>().value_or(-1);
    if (!(value >= static_cast<double>(min) &&
          value <= static_cast<double>(max))) {
      return absl::StrCat("a number from ", min, " to ", max);
    }
    target = static_cast<std::size_t>(value);
    return "";
  };
}

value_reader positive_number_reader(double& target, double max) {
  return [&target, max](const toml::node& node) -> std::string {
    auto value = node.value<double>().value_or(0);
    if (!(value > 0 && value <= max)) {
      return absl::StrCat("a number above 0, up to ", max);
    }
    target = value;
    return "";
  };
}

std::map<std::string, key_spec> known_keys(daemon_settings& settings) {
  return {
      {"instance.id", {true, text_reader(settings.instance)}},
      {"instance.domain", {true, text_reader(settings.domain)}},
      {"listen.callers", {true, endpoint_reader(settings.callers)}},
      {"listen.ready", {true, endpoint_reader(settings.ready)}},
      {"listen.metrics", {true, endpoint_reader(settings.metrics)}},
      {"store.address", {true, endpoint_reader(settings.store)}},
      // A record of progress must fit.
      {"store.max_record_bytes",
       {false, size_reader(settings.store_limits.max_record_bytes, 1U << 17,
                           1U << 30)}},
      {"store.max_call_bytes",
       {false,
        size_reader(settings.store_limits.max_call_bytes, 1U << 17, 1U << 30)}},
      {"workers.longest_lease_ms",
       {true, milliseconds_reader(settings.longest_lease, 1000, 600000)}},
      {"workers.early_start_ms",
       {false, milliseconds_reader(settings.early_start, 0, 60000)}},
      {"workers.run_stop_ms",
       {false, milliseconds_reader(settings.run_stop_time, 0, 60000)}},
      {"workers.restore_ms",
       {false, milliseconds_reader(settings.restore_time, 0, 600000)}},
      {"jobs.state_retention_ms",
       {false, milliseconds_reader(settings.state_retention, 1000, 86400000)}},
      {"jobs.state_retention_s",
       {false, seconds_reader(settings.state_retention, 1, 86400)}},
      {"placement.look_ahead", {false, flag_reader(settings.look_ahead)}},
      {"access.strict_revocation",
       {false, flag_reader(settings.access.strict_revocation)}},
      {"access.revocation_limit_ms",
       {false,
        milliseconds_reader(settings.access.revocation_limit, 1000, 600000)}},
      {"limits.stop_s", {false, seconds_reader(settings.stop_limit, 0.5, 600)}},
      {"limits.stop_ms",
       {false, milliseconds_reader(settings.stop_limit, 500, 600000)}},
      {"limits.processor_share",
       {false, positive_number_reader(settings.processor_share, 1024)}},
      {"limits.processor_speed",
       {false, positive_number_reader(settings.processor_speed, 1024)}},
      {"limits.memory_mb",
       {false, size_reader(settings.memory_mib, 64, 1U << 20)}},
      {"limits.max_descriptors",
       {false,
        [&settings](const toml::node& node) -> std::string {
          auto value = node.value_exact<std::int64_t>().value_or(0);
          if (value < 256 || value > 1000000) {
            return "a number from 256 to 1000000";
          }
          settings.max_descriptors = static_cast<unsigned>(value);
          return "";
        }}},
  };
}

/// Applies "SECTION.KEY=VALUE" to the table.
/// @return a description of the problem, or an empty string.
std::string apply_override(toml::table& root, std::string_view text) {
  auto assignment = text.find('=');
  auto dot = text.substr(0, assignment).find('.');
  if (assignment == std::string_view::npos || dot == std::string_view::npos) {
    return absl::StrCat("--set ", std::string(text),
                        ": expected SECTION.KEY=VALUE");
  }
  auto section = text.substr(0, dot);
  auto key = text.substr(dot + 1, assignment - dot - 1);
  auto value = text.substr(assignment + 1);
  auto* table = root.insert(section, toml::table{}).first->second.as_table();
  if (table == nullptr) {
    return absl::StrCat("--set ", std::string(text), ": not a section");
  }
  table->erase(key);
  if (value.empty()) {
    return "";
  }
  try {
    auto parsed = toml::parse(absl::StrCat("v = ", std::string(value)));
    table->insert(key, *parsed.get("v"));
  } catch (const toml::parse_error&) {
    // A text without quotes.
    table->insert(key, std::string(value));
  }
  return "";
}

}  // namespace

http::connection_limits caller_limits(const daemon_settings& settings) {
  // Half of an eighth is counted: a buffer that grows is copied.
  constexpr std::size_t memory_parts = 16;
  constexpr std::size_t descriptor_parts = 4;
  http::connection_limits limits;
  limits.max_buffered_bytes = (settings.memory_mib << 20U) / memory_parts;
  limits.max_connections = settings.max_descriptors / descriptor_parts;
  return limits;
}

absl::StatusOr<daemon_settings> parse_settings(
    std::string_view text, std::string_view name,
    std::span<const std::string> overrides) {
  std::string file(name);
  toml::table root;
  try {
    root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    return absl::InvalidArgumentError(
        absl::StrCat(file, ":", error.source().begin.line, ": ",
                     std::string(error.description())));
  }
  daemon_settings settings;
  auto keys = known_keys(settings);
  std::set<std::string> seen;
  std::vector<std::string> problems;
  for (const auto& each : overrides) {
    if (auto problem = apply_override(root, each); !problem.empty()) {
      problems.push_back(std::move(problem));
    }
  }
  for (const auto& [section, node] : std::as_const(root)) {
    const auto* table = node.as_table();
    if (table == nullptr) {
      problems.push_back(absl::StrCat(file, ": ", std::string(section.str()),
                                      ": expected a section"));
      continue;
    }
    for (const auto& [key, value] : *table) {
      auto full_key =
          absl::StrCat(std::string(section.str()), ".", std::string(key.str()));
      auto known = keys.find(full_key);
      if (known == keys.end()) {
        problems.push_back(absl::StrCat(file, ":", value.source().begin.line,
                                        ": ", full_key, ": unknown key"));
        continue;
      }
      seen.insert(full_key);
      if (auto allowed = known->second.read(value); !allowed.empty()) {
        problems.push_back(absl::StrCat(file, ":", value.source().begin.line,
                                        ": ", full_key,
                                        ": allowed: ", allowed));
      }
    }
  }
  for (const auto& [key, known] : keys) {
    if (known.required && !seen.contains(key)) {
      problems.push_back(absl::StrCat(file, ": ", key, ": missing"));
    }
  }
  if (!problems.empty()) {
    return absl::InvalidArgumentError(absl::StrJoin(problems, "\n"));
  }
  return settings;
}

absl::StatusOr<daemon_settings> load_settings(
    const std::string& path, std::span<const std::string> overrides) {
  std::ifstream in(path);
  if (!in) {
    return absl::NotFoundError(absl::StrCat(path, ": cannot be read"));
  }
  std::stringstream text;
  text << in.rdbuf();
  return parse_settings(text.str(), path, overrides);
}

}  // namespace vanillaladder::dispatch
