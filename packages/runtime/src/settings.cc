#include "runtime/settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <iterator>
#include <sstream>
#include <vector>

#include "runtime/error.h"
#include "runtime/nearest_name.h"

namespace vanillaladder::runtime {
namespace {

struct problem {
  toml::source_index line = 0;
  std::string key;
  std::string message;
  std::string allowed;
};

/// Validates and stores a value.
/// @return empty on success, otherwise a description of the allowed values.
using value_setter =
    std::function<std::string(const toml::node&, daemon_settings&)>;

struct known_key {
  std::string_view section;
  std::string_view name;
  bool required = false;
  value_setter store;
};

bool is_valid_name(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  });
}

bool is_ipv4_address(const std::string& text) {
  int octet_count = 0;
  std::istringstream in(text);
  for (std::string octet; std::getline(in, octet, '.'); ++octet_count) {
    bool digits = !octet.empty() && octet.size() <= 3 &&
                  std::all_of(octet.begin(), octet.end(),
                              [](char c) { return c >= '0' && c <= '9'; });
    if (!digits || std::stoi(octet) > 255) {
      return false;
    }
  }
  return octet_count == 4 && text.back() != '.';
}

template <class Section>
value_setter name_setter(Section daemon_settings::*section,
                         std::string Section::*member, bool may_be_empty) {
  return [=](const toml::node& node, daemon_settings& settings) -> std::string {
    auto value = node.value_exact<std::string>();
    if (!value ||
        !(is_valid_name(*value) || (may_be_empty && value->empty()))) {
      return "a string of letters, digits, '-', '_' and '.'";
    }
    settings.*section.*member = *value;
    return "";
  };
}

template <class Section>
value_setter address_setter(Section daemon_settings::*section,
                            std::string Section::*member) {
  return [=](const toml::node& node, daemon_settings& settings) -> std::string {
    auto value = node.value_exact<std::string>();
    if (!value || !is_ipv4_address(*value)) {
      return "an IPv4 address such as \"127.0.0.1\"";
    }
    settings.*section.*member = *value;
    return "";
  };
}

template <class Section, class Number>
value_setter number_setter(Section daemon_settings::*section,
                           Number Section::*member, std::int64_t min,
                           std::int64_t max) {
  return [=](const toml::node& node, daemon_settings& settings) -> std::string {
    auto value = node.value_exact<std::int64_t>();
    if (!value || *value < min || *value > max) {
      return "an integer from " + std::to_string(min) + " to " +
             std::to_string(max);
    }
    settings.*section.*member = static_cast<Number>(*value);
    return "";
  };
}

std::string store_level(const toml::node& node, daemon_settings& settings) {
  using pair = std::pair<std::string_view, log_level>;
  static constexpr std::array levels{
      pair{"debug", log_level::debug}, pair{"info", log_level::info},
      pair{"warn", log_level::warn}, pair{"error", log_level::error}};
  auto value = node.value_exact<std::string>();
  for (const auto& [name, level] : levels) {
    if (value == name) {
      settings.logging_level = level;
      return "";
    }
  }
  return R"("debug", "info", "warn" or "error")";
}

std::string store_trace_folder(const toml::node& node,
                               daemon_settings& settings) {
  auto value = node.value_exact<std::string>();
  if (!value || value->empty()) {
    return "a path";
  }
  settings.trace_folder = *value;
  return "";
}

const std::vector<known_key>& known_keys() {
  using root = daemon_settings;
  using instance = instance_settings;
  using listen = listen_settings;
  using endpoint = endpoint_settings;
  using limits = limit_settings;
  static const std::vector<known_key> keys{
      {"instance", "id", true,
       name_setter(&root::instance, &instance::id, false)},
      {"instance", "domain", true,
       name_setter(&root::instance, &instance::domain, false)},
      {"instance", "rack", false,
       name_setter(&root::instance, &instance::rack, true)},
      {"instance", "branch", false,
       name_setter(&root::instance, &instance::branch, true)},
      {"listen", "address", false,
       address_setter(&root::listen, &listen::address)},
      {"listen", "caller_port", false,
       number_setter(&root::listen, &listen::caller_port, 0, 65535)},
      {"listen", "operator_port", false,
       number_setter(&root::listen, &listen::operator_port, 0, 65535)},
      {"listen", "peer_port", false,
       number_setter(&root::listen, &listen::peer_port, 0, 65535)},
      {"log", "address", true, address_setter(&root::log, &endpoint::address)},
      {"log", "port", true,
       number_setter(&root::log, &endpoint::port, 1, 65535)},
      {"instances", "address", true,
       address_setter(&root::instances, &endpoint::address)},
      {"instances", "port", true,
       number_setter(&root::instances, &endpoint::port, 1, 65535)},
      {"limits", "max_request_bytes", false,
       number_setter(&root::limits, &limits::max_request_bytes, 1024,
                     16 << 20)},
      {"limits", "max_response_bytes", false,
       number_setter(&root::limits, &limits::max_response_bytes, 1024,
                     64 << 20)},
      {"limits", "fresh_limit_ms", false,
       number_setter(&root::limits, &limits::fresh_limit, 500, 10000)},
      {"limits", "lease_ms", false,
       number_setter(&root::limits, &limits::lease, 1000, 60000)},
      {"limits", "request_timeout_ms", false,
       number_setter(&root::limits, &limits::request_timeout, 100, 120000)},
      {"limits", "blind_renewal_limit_s", false,
       number_setter(&root::limits, &limits::blind_renewal_limit, 1, 86400)},
      {"limits", "drain_delay_ms", false,
       number_setter(&root::limits, &limits::drain_delay, 0, 60000)},
      {"logging", "level", false, store_level},
      {"trace", "folder", false, store_trace_folder},
  };
  return keys;
}

std::vector<std::string_view> section_names() {
  std::vector<std::string_view> names;
  for (const auto& key : known_keys()) {
    if (names.empty() || names.back() != key.section) {
      names.push_back(key.section);
    }
  }
  return names;
}

std::vector<std::string_view> key_names(std::string_view section) {
  std::vector<std::string_view> names;
  for (const auto& key : known_keys()) {
    if (key.section == section) {
      names.push_back(key.name);
    }
  }
  return names;
}

std::string join_names(const std::vector<std::string_view>& names) {
  std::string text;
  for (auto name : names) {
    text.append(text.empty() ? "" : ", ").append(name);
  }
  return text;
}

problem unknown_name_problem(std::string_view what, const toml::key& name,
                             const std::string& full_name,
                             const std::vector<std::string_view>& known) {
  std::string message = "unknown " + std::string(what) + ", did you mean ";
  message.append(nearest_name(name.str(), known)).append("?");
  return {name.source().begin.line, full_name, message, join_names(known)};
}

/// Reads settings and collects all problems found.
class settings_reader {
 public:
  void read(const toml::table& document) {
    for (const auto& [section, node] : document) {
      read_section(section, node);
    }
    for (const auto& key : known_keys()) {
      const auto* table = document[key.section].as_table();
      if (key.required && (table == nullptr || !table->contains(key.name))) {
        auto line = table == nullptr ? 0 : table->source().begin.line;
        problems_.push_back({line, full_name(key.section, key.name),
                             "required key is missing",
                             key.store(toml::table{}, settings_)});
      }
    }
  }

  daemon_settings settings() const { return settings_; }
  std::vector<problem> problems() const { return problems_; }

 private:
  static std::string full_name(std::string_view section,
                               std::string_view name) {
    return std::string(section) + "." + std::string(name);
  }

  void read_section(const toml::key& section, const toml::node& node) {
    auto known = key_names(section.str());
    if (known.empty()) {
      problems_.push_back(unknown_name_problem(
          "section", section, std::string(section.str()), section_names()));
      return;
    }
    const auto* table = node.as_table();
    if (table == nullptr) {
      problems_.push_back({section.source().begin.line,
                           std::string(section.str()), "is not a section",
                           "[" + std::string(section.str()) + "]"});
      return;
    }
    for (const auto& [name, value] : *table) {
      read_value(section.str(), name, value, known);
    }
  }

  void read_value(std::string_view section, const toml::key& name,
                  const toml::node& value,
                  const std::vector<std::string_view>& known) {
    auto key = std::find_if(known_keys().begin(), known_keys().end(),
                            [&](const known_key& candidate) {
                              return candidate.section == section &&
                                     candidate.name == name.str();
                            });
    auto full_key = full_name(section, name.str());
    if (key == known_keys().end()) {
      problems_.push_back(unknown_name_problem("key", name, full_key, known));
      return;
    }
    auto allowed = key->store(value, settings_);
    if (!allowed.empty()) {
      problems_.push_back({name.source().begin.line, full_key,
                           "value is not allowed", allowed});
    }
  }

  daemon_settings settings_;
  std::vector<problem> problems_;
};

std::string format_problems(std::vector<problem> problems,
                            std::string_view name) {
  std::stable_sort(
      problems.begin(), problems.end(),
      [](const problem& a, const problem& b) { return a.line < b.line; });
  std::string text;
  for (const auto& entry : problems) {
    text.append(text.empty() ? "" : "\n").append(name).append(":");
    text += entry.line == 0 ? "" : std::to_string(entry.line) + ":";
    text +=
        " " + entry.key + ": " + entry.message + "; allowed: " + entry.allowed;
  }
  return text;
}

}  // namespace

absl::StatusOr<daemon_settings> parse_settings(std::string_view text,
                                               std::string_view name) {
  settings_reader reader;
  try {
    reader.read(toml::parse(text, name));
  } catch (const toml::parse_error& error) {
    std::string message(name);
    message += ":" + std::to_string(error.source().begin.line) + ": ";
    return absl::InvalidArgumentError(
        message.append(error.description()).append("; allowed: TOML 1.0"));
  }
  if (!reader.problems().empty()) {
    return absl::InvalidArgumentError(format_problems(reader.problems(), name));
  }
  return reader.settings();
}

absl::StatusOr<daemon_settings> load_settings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file) {
    return make_error(absl::StatusCode::kNotFound, "read settings", "",
                      "cannot read " + path);
  }
  return parse_settings(text, path);
}

}  // namespace vanillaladder::runtime
