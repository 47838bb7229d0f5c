#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "runtime/log.h"

namespace vanillaladder::runtime {

/// Section `[instance]`.
struct instance_settings {
  /// Required; letters, digits, `-`, `_` and `.`.
  std::string id;
  /// Failure domain; required.
  std::string domain;
  std::string rack;
  /// Branch whose `branch.<name>.*` configuration keys apply to this instance.
  std::string branch;
};

/// Section `[listen]`; port 0 picks a free port.
struct listen_settings {
  std::string address = "127.0.0.1";
  std::uint16_t caller_port = 0;
  std::uint16_t operator_port = 0;
  std::uint16_t peer_port = 0;
};

/// Sections `[log]` and `[instances]`; both keys are required.
struct endpoint_settings {
  std::string address;
  std::uint16_t port = 0;
};

/// Section `[limits]`.
struct limit_settings {
  std::size_t max_request_bytes = 1U << 20;
  std::size_t max_response_bytes = 16U << 20;
  /// Maximum time since the view was last verified to be current.
  std::chrono::milliseconds fresh_limit{2000};
  /// Duration of a worker's lease.
  std::chrono::milliseconds lease{10000};
  /// Maximum duration of an attempt of an interactive request.
  std::chrono::milliseconds request_timeout{30000};
  /// Maximum time for which leases are renewed without contact to the log or a
  /// majority.
  std::chrono::seconds blind_renewal_limit{7200};
  /// How long a leaving daemon keeps accepting requests, so that the load
  /// balancer has time to stop routing to it.
  std::chrono::milliseconds drain_delay{5000};
};

/// Settings of one daemon.
struct daemon_settings {
  instance_settings instance;
  listen_settings listen;
  endpoint_settings log;
  endpoint_settings instances;
  limit_settings limits;
  log_level logging_level = log_level::info;
  /// Section `[trace]`, key `folder`: folder for decision traces; empty
  /// disables them.
  std::string trace_folder;
};

/// Reads settings from TOML text.
/// @param name source name used in errors, such as the file's path.
/// @return `InvalidArgument` with one line `name:line: key: problem; allowed:
///   ...` for every problem found.
absl::StatusOr<daemon_settings> parse_settings(std::string_view text,
                                               std::string_view name);

/// Reads settings from a file.
/// @return as `parse_settings`, or `NotFound` if the file cannot be read.
absl::StatusOr<daemon_settings> load_settings(const std::string& path);

}  // namespace vanillaladder::runtime
