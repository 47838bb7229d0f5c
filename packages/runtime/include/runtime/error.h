#pragma once

#include <absl/status/status.h>

#include <string>
#include <string_view>

/// Error statuses that carry the failed step and the peer involved.
namespace vanillaladder::runtime {

/// Builds an error status.
/// @param code absl status code; must not be `kOk`.
/// @param step operation that failed, such as "append to control stream".
/// @param peer remote endpoint, such as "log 127.0.0.1:7000"; empty for local
///   errors.
/// @param message what went wrong.
/// @return a status whose message contains step, peer and message.
absl::Status make_error(absl::StatusCode code, std::string_view step,
                        std::string_view peer, std::string_view message);

/// @return the step of an error from `make_error`, empty otherwise.
std::string error_step(const absl::Status& status);

/// @return the peer of an error from `make_error`, empty otherwise.
std::string error_peer(const absl::Status& status);

/// @return the message of a status as a `std::string`; in Debian's build,
///   Abseil's string view type is not `std::string_view`.
std::string error_message(const absl::Status& status);

}  // namespace vanillaladder::runtime
