#include "cli/change_file.h"

#include <toml++/toml.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

#include "coordination/config_schema.h"
#include "runtime/error.h"
#include "runtime/nearest_name.h"

namespace vanillaladder::cli {
namespace {

/// Reads a change and collects every problem in it.
class change_reader {
 public:
  explicit change_reader(const std::string& name) { change_.source = name; }

  void read(const toml::table& document) {
    for (const auto& [name, node] : document) {
      read_field(name, node);
    }
  }

  absl::StatusOr<change> result() {
    auto schema = check_change(change_);
    if (!schema.ok()) {
      problems_ += problems_.empty() ? "" : "\n";
      problems_ += std::string(schema.message());
    }
    return problems_.empty() ? absl::StatusOr<change>(std::move(change_))
                             : absl::InvalidArgumentError(problems_);
  }

 private:
  void read_field(const toml::key& name, const toml::node& node) {
    auto field = name.str();
    if (field == "id") {
      read_text(name, node, change_.id);
    } else if (field == "author") {
      read_text(name, node, change_.author);
    } else if (field == "branch") {
      read_text(name, node, change_.branch);
    } else if (field == "version") {
      read_number(name, node, change_.version);
    } else if (field == "seen_revision") {
      read_number(name, node, change_.seen_revision);
    } else if (field == "set" && node.is_table()) {
      read_keys("", *node.as_table());
    } else if (field == "remove" && node.is_array()) {
      read_removed(name, *node.as_array());
    } else {
      add_unknown(name);
    }
  }

  void add(const toml::source_position& at, std::string_view key,
           std::string_view message, std::string_view allowed) {
    problems_.append(problems_.empty() ? "" : "\n").append(change_.source);
    problems_ += ":" + std::to_string(at.line) + ": ";
    problems_.append(key).append(": ").append(message);
    problems_.append("; allowed: ").append(allowed);
  }

  void add_unknown(const toml::key& name) {
    static constexpr std::array<std::string_view, 7> known{
        "id", "author", "branch", "version", "seen_revision", "set", "remove"};
    if (std::ranges::find(known, name.str()) != known.end()) {
      add(name.source().begin, name.str(), "value is not allowed",
          name.str() == "set" ? "a table of keys" : "an array of keys");
      return;
    }
    std::string message = "unknown field, did you mean ";
    message.append(runtime::nearest_name(name.str(), known)).append("?");
    add(name.source().begin, name.str(), message,
        "id, author, branch, version, seen_revision, set, remove");
  }

  void read_text(const toml::key& name, const toml::node& node,
                 std::string& target) {
    if (auto value = node.value_exact<std::string>()) {
      target = *value;
    } else {
      add(name.source().begin, name.str(), "value is not allowed", "a string");
    }
  }

  void read_number(const toml::key& name, const toml::node& node,
                   std::optional<std::int64_t>& target) {
    target = node.value_exact<std::int64_t>();
    if (!target || *target < 0) {
      add(name.source().begin, name.str(), "value is not allowed",
          "an integer from 0");
    }
  }

  /// Joins the names of nested tables, which is how TOML reads dotted keys.
  void read_keys(const std::string& prefix, const toml::table& keys) {
    for (const auto& [name, node] : keys) {
      auto key = prefix + std::string(name.str());
      if (const auto* nested = node.as_table()) {
        read_keys(key + ".", *nested);
      } else if (auto text = node.value_exact<std::string>()) {
        set(key, *text, name);
      } else if (auto number = node.value_exact<std::int64_t>()) {
        set(key, std::to_string(*number), name);
      } else {
        add(name.source().begin, key, "value is not allowed",
            "an integer or a string");
      }
    }
  }

  void set(const std::string& key, const std::string& value,
           const toml::key& name) {
    change_.set[key] = value;
    change_.lines[key] = name.source().begin.line;
  }

  void read_removed(const toml::key& name, const toml::array& keys) {
    for (const auto& node : keys) {
      if (auto key = node.value_exact<std::string>()) {
        change_.remove.push_back(*key);
        change_.lines[*key] = node.source().begin.line;
      } else {
        add(name.source().begin, name.str(), "value is not allowed",
            "an array of keys");
      }
    }
  }

  change change_;
  std::string problems_;
};

void add_schema_error(const change& edit,
                      const std::optional<coordination::schema_error>& error,
                      std::string& problems) {
  if (!error) {
    return;
  }
  problems.append(problems.empty() ? "" : "\n");
  problems +=
      source_location(edit, error->key) + error->key + ": " + error->message;
  problems +=
      error->nearest.empty() ? "" : ", did you mean " + error->nearest + "?";
  problems += "; allowed: " + error->allowed;
}

}  // namespace

absl::StatusOr<change> parse_change(std::string_view text,
                                    const std::string& name) {
  change_reader reader(name);
  try {
    reader.read(toml::parse(text, name));
  } catch (const toml::parse_error& error) {
    std::string message = name + ":";
    message += std::to_string(error.source().begin.line) + ": ";
    return absl::InvalidArgumentError(
        message.append(error.description()).append("; allowed: TOML 1.0"));
  }
  return reader.result();
}

absl::StatusOr<change> load_change(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file) {
    return runtime::make_error(absl::StatusCode::kNotFound, "read change", "",
                               "cannot read " + path);
  }
  return parse_change(text, path);
}

absl::Status add_assignment(change& target, std::string_view assignment) {
  auto equals = assignment.find('=');
  if (equals == std::string_view::npos || equals == 0) {
    return absl::InvalidArgumentError("--set " + std::string(assignment) +
                                      ": no value; allowed: KEY=VALUE");
  }
  target.set[std::string(assignment.substr(0, equals))] =
      assignment.substr(equals + 1);
  return absl::OkStatus();
}

absl::Status check_change(const change& edit) {
  std::string problems;
  for (const auto& [key, value] : edit.set) {
    add_schema_error(edit, coordination::check_setting(key, value), problems);
  }
  for (const auto& key : edit.remove) {
    add_schema_error(edit, coordination::check_key(key), problems);
  }
  return problems.empty() ? absl::OkStatus()
                          : absl::InvalidArgumentError(problems);
}

std::string source_location(const change& edit, const std::string& key) {
  if (edit.source.empty()) {
    return "";
  }
  auto line = edit.lines.find(key);
  return edit.source + ":" +
         (line == edit.lines.end() ? "" : std::to_string(line->second) + ":") +
         " ";
}

std::string effective_id(const change& edit) {
  if (!edit.id.empty()) {
    return edit.id;
  }
  // A separator that no key, name or value can contain.
  constexpr char separator = '\n';
  std::string content = edit.author + separator + edit.branch + separator +
                        std::to_string(edit.version.value_or(0)) + separator +
                        std::to_string(edit.seen_revision.value_or(0));
  for (const auto& [key, value] : edit.set) {
    content += separator;
    content.append(key).append("=").append(value);
  }
  for (const auto& key : edit.remove) {
    content += separator;
    content += key;
  }
  return edit.author + "-" +
         std::to_string(XXH64(content.data(), content.size(), 0));
}

}  // namespace vanillaladder::cli
