#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "coordination/records.h"

namespace vanillaladder::coordination {

enum class key_type { integer, choice };

/// Type, range and default of the keys that match a pattern.
struct key_rule {
  /// Key with at most one `<name>` placeholder.
  std::string_view pattern;
  key_type type = key_type::integer;
  /// Range of an integer, both ends included.
  std::int64_t min = 0;
  std::int64_t max = 0;
  /// Allowed values of a choice, separated by `|`.
  std::string_view choices;
  /// Default value; empty if an absent key means "no limit".
  std::string_view default_value;
};

/// Why a key or a value is not allowed.
struct schema_error {
  std::string key;
  std::string message;
  /// Allowed values of the key, such as "1..30000".
  std::string allowed;
  /// Known key with the smallest edit distance, if the key is unknown.
  std::string nearest;

  bool operator==(const schema_error&) const = default;
};

/// @return all rules; none has the `branch.<name>.` prefix.
std::span<const key_rule> schema_rules();

/// @return the rule for a key, or null if the key is unknown; the rule for
///   `branch.<name>.<key>` is that for `<key>`.
const key_rule* find_rule(std::string_view key);

/// Validates a key and the value that a patch sets it to.
/// @return the error, or nothing if the value is allowed.
std::optional<schema_error> check_setting(std::string_view key,
                                          std::string_view value);

/// Validates a key that a patch removes.
/// @return the error, or nothing if the key is known.
std::optional<schema_error> check_key(std::string_view key);

/// Typed lookups in a configuration document without branch prefixes, such as
/// the result of `control_state::effective`. A value that the schema of this
/// release does not allow is treated as absent.
class config_view {
 public:
  explicit config_view(config_keys keys) : keys_(std::move(keys)) {}

  /// @return the value or the default; empty if the key has neither, or is not
  ///   an integer key of the schema.
  std::optional<std::int64_t> integer(std::string_view key) const;
  /// @return the value or the default; empty if the key is not a choice key of
  ///   the schema.
  std::string choice(std::string_view key) const;

  /// @return `integer` of `<family>.<name>.<field>`.
  std::optional<std::int64_t> integer(std::string_view family,
                                      std::string_view name,
                                      std::string_view field) const;
  /// @return `choice` of `<family>.<name>.<field>`.
  std::string choice(std::string_view family, std::string_view name,
                     std::string_view field) const;

  /// @return whether operators have taken the failure domain out of service.
  bool domain_out(std::string_view domain) const;

  const config_keys& keys() const { return keys_; }

 private:
  const std::string* find_value(std::string_view key) const;

  config_keys keys_;
};

}  // namespace vanillaladder::coordination
