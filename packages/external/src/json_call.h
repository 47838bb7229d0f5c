#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <exception>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "external/error.h"
#include "http/client.h"
#include "model/types.h"

namespace vanillaladder::external::detail {

/// An HTTP request with a JSON answer.
struct json_call {
  /// Name of the operation in errors.
  std::string step;
  /// Kind and name of the peer, without its address.
  std::string peer;
  std::string address;
  std::uint16_t port = 0;
  std::string method;
  std::string target;
  std::vector<http::header> headers;
  /// Sent as the body unless null.
  nlohmann::json body;
  http::client_options options;
};

using json_callback = std::function<void(absl::StatusOr<nlohmann::json>)>;

/// Sends a call.
/// @param done gets the response, or a `make_call_error`.
void send_call(http::client& client, json_call call,
               std::function<void(absl::StatusOr<http::response>)> done);

/// Checks the status and the syntax of an answer. An empty body is read as an
/// empty object.
absl::StatusOr<nlohmann::json> read_answer(const std::string& step,
                                           const std::string& peer,
                                           const http::response& answer);

/// Sends a call and passes the result of `read_answer` to `done`.
void send_json(http::client& client, json_call call, json_callback done);

/// @return the peer and its address for error messages.
std::string peer_name(const json_call& call);

/// @return the error for an answer that violates the protocol.
absl::Status malformed_answer_error(std::string_view step,
                                    std::string_view peer,
                                    std::string_view message);

/// Decodes an answer.
/// @param decode must throw a `std::exception` if the answer is malformed.
template <typename Decode>
auto decode_answer(const absl::StatusOr<nlohmann::json>& answer,
                   std::string_view step, std::string_view peer, Decode decode)
    -> absl::StatusOr<decltype(decode(*answer))> {
  if (!answer.ok()) {
    return answer.status();
  }
  try {
    return decode(*answer);
  } catch (const std::exception& error) {
    return malformed_answer_error(step, peer, error.what());
  }
}

/// Reads an integer within a range.
/// @throws std::exception if it is absent, not an integer or out of range.
std::int64_t integer_at(const nlohmann::json& object, const char* key,
                        std::int64_t min, std::int64_t max);

/// Reads an integer that is 0 if absent.
std::int64_t optional_amount(const nlohmann::json& object, const char* key);

/// Reads a string that is empty if absent.
std::string optional_string(const nlohmann::json& object, const char* key);

/// Reads `cpu_millis`, `memory_mib` and `accelerators`; absent ones are 0.
model::resources decode_resources(const nlohmann::json& object);

/// @return `text` with all but the unreserved characters of RFC 3986
/// percent-encoded.
std::string percent_encode(std::string_view text);

}  // namespace vanillaladder::external::detail
