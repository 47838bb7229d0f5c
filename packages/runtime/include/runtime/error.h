#pragma once

#include <absl/status/status.h>

#include <string>
#include <string_view>

/// Errors that carry the step and the peer at which they arose.
namespace vanillaladder::runtime {

/// Builds an error status.
/// @param code absl status code; must not be `kOk`.
/// @param step what was being done, such as "append to control stream".
/// @param peer whom it was done with, such as "log 127.0.0.1:7000"; may be
///   empty for local errors.
/// @param message what went wrong.
/// @return a status whose message names all three.
absl::Status make_error(absl::StatusCode code, std::string_view step,
                        std::string_view peer, std::string_view message);

/// @return the step of an error from `make_error`, empty otherwise.
std::string error_step(const absl::Status& status);

/// @return the peer of an error from `make_error`, empty otherwise.
std::string error_peer(const absl::Status& status);

/// @return the message of a status; Abseil's own string view type is not
///   `std::string_view` in Debian's build.
std::string error_message(const absl::Status& status);

}  // namespace vanillaladder::runtime
