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

/// What the headers of a caller's request say.
struct caller_request {
  std::string service;
  model::class_id request_class;
  model::team_id team;
  /// Absent if the class decides.
  std::optional<milliseconds> deadline;
  bool idempotent = false;
  std::string key;
};

/// @return nothing if a header has a value that is not allowed.
std::optional<caller_request> parse_caller_request(const http::request& message,
                                                   milliseconds max_deadline);

/// @return the hash under which the key of a request is claimed.
std::uint64_t hash_key(const caller_request& caller);
/// @return the hash of method, target and body.
std::uint64_t digest_of(const http::request& message);

/// @return the response that says a request was not run.
http::response refusal_response(scheduling::refusal_reason reason);
/// @return a response without a result.
http::response outcome_response(int status, key_outcome outcome,
                                std::string_view reason);
/// Marks a backend server's response as answered and removes what only the
/// daemon may state.
http::response answered_response(http::response from_backend);

/// @return how an exchange with a backend server ended.
scheduling::attempt_end classify(const http::client_result& result);
/// @return how an exchange with a peer ended.
scheduling::attempt_end classify(const forward_result& result);

}  // namespace vanillaladder::serving::detail
