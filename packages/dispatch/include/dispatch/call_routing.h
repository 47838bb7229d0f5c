#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

#include "dispatch/fleet_config.h"

namespace vanillaladder::dispatch {

struct access_options {
  /// Whether a key that was taken away must be refused within
  /// `revocation_limit` also while the store cannot be read.
  bool strict_revocation = false;
  std::chrono::milliseconds revocation_limit{5000};
};

/// What a call presents.
struct call_credentials {
  std::string_view host;
  std::string_view path;
  /// The key of the caller's organisation; empty if it presents none.
  std::string_view key;
};

/// The call may use the queue.
struct admitted_call {
  const queue_route* queue = nullptr;
  /// Organisation of the caller; empty if it needs none.
  std::string organisation;
};
/// There is no such queue.
struct unknown_queue {};
/// The key is missing or unknown.
struct unknown_key {};
/// The copy of the configuration is too old to decide.
struct stale_config {};

using call_route =
    std::variant<admitted_call, unknown_queue, unknown_key, stale_config>;

/// Age up to which a copy may show that a queue or a key does not exist. A new
/// configuration must be in force everywhere after 2 s.
constexpr std::chrono::milliseconds max_refusal_age{1500};
/// How much earlier than `revocation_limit` keys are no longer accepted; covers
/// the rest of the processing of a call.
constexpr std::chrono::milliseconds revocation_margin{250};

/// Decides whether a call may use a queue. Does no I/O and reads no clock.
/// @param age time since the copy was known to be complete.
call_route route_call(const config_view& config, const call_credentials& call,
                      std::chrono::milliseconds age,
                      const access_options& options);

}  // namespace vanillaladder::dispatch
