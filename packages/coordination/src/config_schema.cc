#include "coordination/config_schema.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <numeric>
#include <vector>

#include "coordination/detail/text.h"

namespace vanillaladder::coordination {
namespace {

using detail::concat;

constexpr std::string_view placeholder = "<name>";
constexpr std::string_view branch_prefix = "branch.";
constexpr std::int64_t unbounded = std::numeric_limits<std::int64_t>::max();

constexpr key_rule integer_rule(std::string_view pattern, std::int64_t min,
                                std::int64_t max,
                                std::string_view default_value) {
  return {pattern, key_type::integer, min, max, {}, default_value};
}

constexpr key_rule choice_rule(std::string_view pattern,
                               std::string_view choices,
                               std::string_view default_value) {
  return {pattern, key_type::choice, 0, 0, choices, default_value};
}

// An absent max_wait_ms defaults to the deadline_ms of the same class.
constexpr std::array rules = {
    integer_rule("class.<name>.deadline_ms", 1, 30000, "1000"),
    integer_rule("class.<name>.max_wait_ms", 0, 86400000, ""),
    integer_rule("class.<name>.weight", 1, 1000, "10"),
    choice_rule("class.<name>.kind", "interactive|urgent|batch", "interactive"),
    integer_rule("team.<name>.weight", 1, 1000, "10"),
    integer_rule("team.<name>.quota_cpu_millis", 0, unbounded, ""),
    integer_rule("team.<name>.quota_memory_mib", 0, unbounded, ""),
    integer_rule("team.<name>.quota_accelerators", 0, unbounded, ""),
    choice_rule("domain.<name>.state", "in|out", "in"),
    choice_rule("instance.<name>.state", "active|draining|dead", "active"),
    integer_rule("admission.max_queued", 1, 100000, "10000"),
    integer_rule("queue.alpha", 0, 100, "0"),
    integer_rule("routing.max_ejected_percent", 0, 100, "30"),
    integer_rule("routing.probe_interval_ms", 100, 60000, "1000"),
    integer_rule("retry.budget_percent", 0, 100, "10"),
    integer_rule("retry.max_attempts", 1, 5, "3"),
    integer_rule("placement.reserve_percent", 0, 90, "5"),
    integer_rule("placement.max_class_slowdown_percent", 100, 1000, "120"),
    integer_rule("drain.max_checkpoints_per_second", 1, 1000, "20"),
};

/// @return `<key>` of `branch.<name>.<key>`, other keys unchanged; empty if the
///   name or the key is missing.
std::string_view strip_branch_prefix(std::string_view key) {
  if (!key.starts_with(branch_prefix)) {
    return key;
  }
  key.remove_prefix(branch_prefix.size());
  auto dot = key.find('.');
  return dot == std::string_view::npos || dot == 0 ? std::string_view()
                                                   : key.substr(dot + 1);
}

bool valid_name(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
           c == ':';
  });
}

/// @return the part of the key that replaces `<name>`, if the key matches the
///   pattern.
std::optional<std::string_view> match(std::string_view pattern,
                                      std::string_view key) {
  auto placeholder_start = pattern.find(placeholder);
  if (placeholder_start == std::string_view::npos) {
    return pattern == key ? std::optional(std::string_view()) : std::nullopt;
  }
  auto prefix = pattern.substr(0, placeholder_start);
  auto suffix = pattern.substr(placeholder_start + placeholder.size());
  if (key.size() <= prefix.size() + suffix.size() || !key.starts_with(prefix) ||
      !key.ends_with(suffix)) {
    return std::nullopt;
  }
  auto name =
      key.substr(prefix.size(), key.size() - prefix.size() - suffix.size());
  return valid_name(name) ? std::optional(name) : std::nullopt;
}

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  for (auto end = text.find(separator); end != std::string_view::npos;
       end = text.find(separator)) {
    parts.push_back(text.substr(0, end));
    text.remove_prefix(end + 1);
  }
  parts.push_back(text);
  return parts;
}

std::size_t edit_distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, diagonal + 1});
    }
  }
  return row.back();
}

/// Replaces the placeholder by the name at the same place in the unknown key,
/// so that the name does not add to the edit distance.
std::string fill_placeholder(std::string_view pattern, std::string_view key) {
  auto parts = split(key, '.');
  std::string filled(pattern);
  auto placeholder_start = filled.find(placeholder);
  if (placeholder_start != std::string::npos && parts.size() > 2) {
    filled.replace(placeholder_start, placeholder.size(), parts[1]);
  }
  return filled;
}

std::string nearest_key(std::string_view key) {
  std::string best;
  std::size_t best_distance = std::numeric_limits<std::size_t>::max();
  // Bounds the cost of the edit distance; a longer key is not a misspelling.
  constexpr std::size_t max_compared_chars = 200;
  std::string_view base_key =
      strip_branch_prefix(key).substr(0, max_compared_chars);
  for (const auto& rule : rules) {
    std::string filled = fill_placeholder(rule.pattern, base_key);
    std::size_t distance = edit_distance(base_key, filled);
    if (distance < best_distance) {
      best_distance = distance;
      best = std::move(filled);
    }
  }
  return best;
}

std::string allowed_text(const key_rule& rule) {
  if (rule.type == key_type::choice) {
    return std::string(rule.choices);
  }
  if (rule.max == unbounded) {
    return concat({std::to_string(rule.min), " or more"});
  }
  return concat({std::to_string(rule.min), "..", std::to_string(rule.max)});
}

std::optional<std::int64_t> parse(const key_rule& rule,
                                  std::string_view value) {
  std::int64_t number = 0;
  const char* end = value.data() + value.size();
  auto parsed = std::from_chars(value.data(), end, number);
  bool in_range = number >= rule.min && number <= rule.max;
  return parsed.ec == std::errc() && parsed.ptr == end && in_range
             ? std::optional(number)
             : std::nullopt;
}

bool is_allowed(const key_rule& rule, std::string_view value) {
  if (rule.type == key_type::integer) {
    return parse(rule, value).has_value();
  }
  auto words = split(rule.choices, '|');
  return std::find(words.begin(), words.end(), value) != words.end();
}

}  // namespace

std::span<const key_rule> schema_rules() {
  return rules;
}

const key_rule* find_rule(std::string_view key) {
  std::string_view base_key = strip_branch_prefix(key);
  auto found = std::find_if(rules.begin(), rules.end(), [&](const auto& rule) {
    return match(rule.pattern, base_key).has_value();
  });
  return found == rules.end() ? nullptr : &*found;
}

std::optional<schema_error> check_setting(std::string_view key,
                                          std::string_view value) {
  if (auto unknown = check_key(key)) {
    return unknown;
  }
  const key_rule& rule = *find_rule(key);
  if (is_allowed(rule, value)) {
    return std::nullopt;
  }
  return schema_error{std::string(key),
                      concat({"value '", value, "' is not allowed"}),
                      allowed_text(rule),
                      {}};
}

std::optional<schema_error> check_key(std::string_view key) {
  if (find_rule(key) != nullptr) {
    return std::nullopt;
  }
  std::string nearest = nearest_key(key);
  return schema_error{
      std::string(key),
      concat({"unknown key; the nearest known key is ", nearest}), nearest,
      nearest};
}

const std::string* config_view::find_value(std::string_view key) const {
  auto found = keys_.find(std::string(key));
  return found == keys_.end() ? nullptr : &found->second;
}

std::optional<std::int64_t> config_view::integer(std::string_view key) const {
  const key_rule* rule = find_rule(key);
  if (rule == nullptr || rule->type != key_type::integer) {
    return std::nullopt;
  }
  if (const auto* value = find_value(key)) {
    if (auto number = parse(*rule, *value)) {
      return number;
    }
  }
  if (rule->pattern == "class.<name>.max_wait_ms") {
    auto name = match(rule->pattern, strip_branch_prefix(key));
    return integer("class", *name, "deadline_ms");
  }
  return rule->default_value.empty() ? std::nullopt
                                     : parse(*rule, rule->default_value);
}

std::string config_view::choice(std::string_view key) const {
  const key_rule* rule = find_rule(key);
  if (rule == nullptr || rule->type != key_type::choice) {
    return {};
  }
  const auto* value = find_value(key);
  return value != nullptr && is_allowed(*rule, *value)
             ? *value
             : std::string(rule->default_value);
}

std::optional<std::int64_t> config_view::integer(std::string_view family,
                                                 std::string_view name,
                                                 std::string_view field) const {
  return integer(concat({family, ".", name, ".", field}));
}

std::string config_view::choice(std::string_view family, std::string_view name,
                                std::string_view field) const {
  return choice(concat({family, ".", name, ".", field}));
}

bool config_view::domain_out(std::string_view domain) const {
  return choice("domain", domain, "state") == "out";
}

}  // namespace vanillaladder::coordination
