#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "dispatch/call_routing.h"
#include "external/keyed_store.h"
#include "http/connection_limits.h"

namespace vanillaladder::dispatch {

/// An IP address and a port.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const endpoint&) const = default;
};

/// Settings of a scheduling daemon.
struct daemon_settings {
  /// Section `[instance]`.
  std::string instance;
  std::string domain;
  /// Section `[listen]`: endpoints for callers, readiness checks of the load
  /// balancer, and metrics.
  endpoint callers;
  endpoint ready;
  endpoint metrics;
  /// Section `[store]`: its address, and what it takes in a record and a call.
  endpoint store;
  external::store_limits store_limits;
  /// Section `[workers]`: maximum lease that a worker grants, and how early a
  /// scheduled run may start.
  std::chrono::milliseconds longest_lease{6000};
  std::chrono::milliseconds early_start{250};
  /// Maximum time that a worker takes to stop a run, and the time that a run
  /// takes to resume from a checkpoint.
  std::chrono::milliseconds run_stop_time{200};
  std::chrono::milliseconds restore_time{600};
  /// Section `[jobs]`: how long the state of an ended job can be queried.
  std::chrono::milliseconds state_retention{120000};
  /// Section `[limits]`.
  unsigned max_descriptors = 4000;
  /// Memory of the machine that this daemon may use, in MiB.
  std::size_t memory_mib = 160;
  /// Processor capacity of this daemon: share of a core, and speed of that core
  /// relative to the usual one. Daemons with high capacity are preferred as
  /// leader.
  double processor_share = 1;
  double processor_speed = 1;
  /// Section `[placement]`: whether room is held for tasks that wait.
  bool look_ahead = false;
  /// Section `[access]`.
  access_options access;
  /// Maximum time that a shutdown may take.
  std::chrono::milliseconds stop_limit{6000};
};

/// @return the limits of the callers' connections. Most descriptors are kept
/// for
///   the store and the workers, of which the leader has up to three connections
///   each, and an eighth of the memory holds requests.
http::connection_limits caller_limits(const daemon_settings& settings);

/// Reads settings from TOML text.
/// @param name source of the text in error messages, such as the path of the
///   file.
/// @return `InvalidArgument` with one line per problem; unknown keys are
///   problems.
/// @param overrides values "SECTION.KEY=VALUE" that go before those of the
///   text; one without a value removes the key.
absl::StatusOr<daemon_settings> parse_settings(
    std::string_view text, std::string_view name,
    std::span<const std::string> overrides = {});
/// Reads settings from a file.
/// @return an error as of `parse_settings`, or `NotFound`.
absl::StatusOr<daemon_settings> load_settings(
    const std::string& path, std::span<const std::string> overrides = {});

}  // namespace vanillaladder::dispatch
