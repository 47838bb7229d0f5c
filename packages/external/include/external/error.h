#pragma once

#include <absl/status/status.h>

#include <string_view>

#include "http/client.h"

/// Interfaces to external systems (stores and logs, workers, the instance
/// list) and HTTP clients for the log service, workers and instance list.
namespace vanillaladder::external {

/// Builds an error that records whether the request may have taken effect.
/// @param step operation that failed, such as "append to control".
/// @param peer remote side of the call, such as "log 127.0.0.1:7000".
absl::Status make_call_error(absl::StatusCode code, http::failure_phase phase,
                             std::string_view step, std::string_view peer,
                             std::string_view message);

/// @return whether the request behind an error may have taken effect. Errors
///   without this information count as possibly sent.
bool possibly_sent(const absl::Status& status);

}  // namespace vanillaladder::external
