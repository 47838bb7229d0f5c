#pragma once

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

#include "control/shard_messages.h"
#include "http/message.h"

/// JSON bodies of the jobs API.
namespace vanillaladder::control {

/// Maximum length of the job key that a caller chooses.
inline constexpr std::size_t max_job_key_bytes = 200;

/// Parses the body of `POST /v1/jobs`.
/// @return the job with its id, or `InvalidArgument` with the invalid field and
///   its allowed values.
absl::StatusOr<job_request> parse_job(std::string_view body);

/// Parses a job that another shard's owner delegates; the body may also have
/// `moves` and `progress`.
/// @return the same as `parse_job`.
absl::StatusOr<job_request> parse_delegated_job(std::string_view body);

/// @return a body that `parse_delegated_job` parses into the same job.
std::string format_job(const job_request& job);

/// @return the caller's key in a job id, or none if the id is malformed.
std::optional<std::string> key_of_job(std::string_view id);

/// @return the response to a submission.
http::response submit_response(const job_request& job, submit_result result,
                               std::string_view reason);
http::response cancel_response(std::string_view id, cancel_result result);

/// @return a job's state as JSON.
std::string format_status(const job_status& status);

/// @return a response with one error message.
http::response error_response(int status, std::string_view message);

}  // namespace vanillaladder::control
