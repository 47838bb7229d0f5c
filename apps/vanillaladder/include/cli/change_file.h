#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillaladder::cli {

/// A patch or a version as an operator writes it.
struct change {
  std::string id;
  std::string author;
  std::string branch;
  std::optional<std::int64_t> version;
  std::optional<std::int64_t> seen_revision;
  std::map<std::string, std::string> set;
  std::vector<std::string> remove;
  /// Name of the file, empty for a change from the command line.
  std::string source;
  /// Line in the file at which a key is set or removed.
  std::map<std::string, std::int64_t> lines;
};

/// Reads a change from TOML text and checks its keys against the schema.
/// @param name named in errors, such as the file's path.
/// @return `InvalidArgument` with one line `name:line: key: problem; allowed:
///   ...` for every problem.
absl::StatusOr<change> parse_change(std::string_view text,
                                    const std::string& name);

/// Reads a change from a file.
/// @return as `parse_change`, or `NotFound` if the file cannot be read.
absl::StatusOr<change> load_change(const std::string& path);

/// Adds an assignment "key=value" from the command line to `target`.
absl::Status add_assignment(change& target, std::string_view assignment);

/// Checks the keys and values of a change against the schema.
absl::Status check_change(const change& edit);

/// @return the prefix "file:line: " for errors about a key, without the parts
/// that are unknown.
std::string source_location(const change& edit, const std::string& key);

/// @return the id, or one derived from the content, so that repeating the same
///   command repeats the same patch.
std::string effective_id(const change& edit);

}  // namespace vanillaladder::cli
