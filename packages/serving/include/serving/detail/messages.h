#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/client.h"
#include "http/message.h"
#include "scheduling/request_state.h"
#include "serving/ports.h"
#include "serving/view.h"

namespace vanillaladder::serving::detail {

/// Parameters of a caller's request, parsed from method, target and headers.
struct caller_request {
  std::string service;
  model::class_id request_class;
  model::team_id team;
  /// Absent if the deadline of the class applies.
  std::optional<milliseconds> deadline;
  bool idempotent = false;
  std::string key;
};

/// @return the parsed parameters; nothing if a header has an invalid value.
std::optional<caller_request> parse_caller_request(const http::request& message,
                                                   milliseconds max_deadline);

/// @return the hash under which the request's key is claimed.
std::uint64_t hash_key(const caller_request& caller);
/// @return the hash of method, target and body.
std::uint64_t digest_of(const http::request& message);

/// @return a refusal with the outcome "not run".
http::response refusal_response(scheduling::refusal_reason reason);
/// @return an empty response with outcome and reason headers.
http::response outcome_response(int status, key_outcome outcome,
                                std::string_view reason);
/// Marks a backend server's response as answered, and removes the headers that
/// only the daemon may set.
http::response answered_response(http::response from_backend);

/// @return the result of an exchange with a backend server.
scheduling::attempt_end classify(const http::client_result& result);
/// @return the result of an exchange with a peer.
scheduling::attempt_end classify(const forward_result& result);

}  // namespace vanillaladder::serving::detail
