#pragma once

#include <absl/status/status.h>

#include <string_view>

#include "http/client.h"

/// Typed interfaces to the outside systems: log service, workers and instance
/// list, and an HTTP client for each.
namespace vanillaladder::external {

/// Builds an error that tells whether the request may have taken effect.
/// @param step what was being done, such as "append to control".
/// @param peer whom it was done with, such as "log 127.0.0.1:7000".
absl::Status make_call_error(absl::StatusCode code, http::failure_phase phase,
                             std::string_view step, std::string_view peer,
                             std::string_view message);

/// @return whether the request behind an error may have taken effect. Errors
///   that do not tell count as possibly sent.
bool possibly_sent(const absl::Status& status);

}  // namespace vanillaladder::external
