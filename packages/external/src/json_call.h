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

/// One HTTP exchange with a JSON answer.
struct json_call {
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

/// Checks the status and the syntax of an answer; an empty one counts as an
/// empty object.
absl::StatusOr<nlohmann::json> read_answer(const std::string& step,
                                           const std::string& peer,
                                           const http::response& answer);

/// `send_call` and `read_answer` in one.
void send_json(http::client& client, json_call call, json_callback done);

/// @return the peer with its address, as errors name it.
std::string peer_name(const json_call& call);

/// @return the error for an answer that does not have the agreed form.
absl::Status malformed(std::string_view step, std::string_view peer,
                       std::string_view message);

/// Reads a typed value out of an answer.
/// @param decode throws a `std::exception` if the answer is malformed.
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
    return malformed(step, peer, error.what());
  }
}

/// Reads an integer within a range.
/// @throws std::exception if it is absent, no integer or out of range.
std::int64_t integer_at(const nlohmann::json& object, const char* key,
                        std::int64_t low, std::int64_t high);

/// Reads an integer that is 0 if absent.
std::int64_t optional_amount(const nlohmann::json& object, const char* key);

/// Reads a string that is empty if absent.
std::string optional_string(const nlohmann::json& object, const char* key);

/// Reads `cpu_millis`, `memory_mib` and `accelerators`; absent ones are 0.
model::resources resources_in(const nlohmann::json& object);

/// @return `text` with everything but unreserved characters as %XX.
std::string percent_encode(std::string_view text);

}  // namespace vanillaladder::external::detail
