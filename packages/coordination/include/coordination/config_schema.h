#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "coordination/records.h"

namespace vanillaladder::coordination {

enum class key_type { integer, choice };

/// One row of the schema.
struct key_rule {
  /// Key with at most one `<name>` placeholder.
  std::string_view pattern;
  key_type type = key_type::integer;
  /// Range of an integer, both ends included.
  std::int64_t min = 0;
  std::int64_t max = 0;
  /// Allowed words of a choice, separated by `|`.
  std::string_view choices;
  /// Default value; empty if an absent key means "no limit".
  std::string_view default_value;
};

/// Why a key or a value is not allowed.
struct schema_error {
  std::string key;
  std::string message;
  /// What the key allows, such as "1..30000".
  std::string allowed;
  /// Known key with the smallest edit distance, if the key is unknown.
  std::string nearest;

  bool operator==(const schema_error&) const = default;
};

/// @return all rules, without the `branch.<name>.` forms.
std::span<const key_rule> schema_rules();

/// @return the rule for a key; `branch.<name>.<key>` has the rule of `<key>`;
///   null if the key is unknown.
const key_rule* find_rule(std::string_view key);

/// Checks a key that a patch sets.
/// @return nothing if it is allowed.
std::optional<schema_error> check_setting(std::string_view key,
                                          std::string_view value);

/// Checks a key that a patch removes.
/// @return nothing if the key is known.
std::optional<schema_error> check_key(std::string_view key);

/// Typed look-ups in a document without branch prefixes, such as
/// `control_state::effective` returns. A value that this release's schema
/// refuses counts as absent.
class config_view {
 public:
  explicit config_view(config_keys keys) : keys_(std::move(keys)) {}

  /// @return the value or the default; empty if the key has neither, or is not
  ///   an integer key of the schema.
  std::optional<std::int64_t> integer(std::string_view key) const;
  /// @return the word or the default; empty if not a choice key of the schema.
  std::string choice(std::string_view key) const;

  /// @return `integer` of `<family>.<name>.<field>`.
  std::optional<std::int64_t> integer(std::string_view family,
                                      std::string_view name,
                                      std::string_view field) const;
  /// @return `choice` of `<family>.<name>.<field>`.
  std::string choice(std::string_view family, std::string_view name,
                     std::string_view field) const;

  /// @return whether operators have taken the domain out.
  bool domain_out(std::string_view domain) const;

  const config_keys& keys() const { return keys_; }

 private:
  const std::string* stored(std::string_view key) const;

  config_keys keys_;
};

}  // namespace vanillaladder::coordination
