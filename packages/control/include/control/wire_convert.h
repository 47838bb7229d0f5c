#pragma once

#include "control/shard_messages.h"
#include "http/message.h"
#include "peer_types.h"

/// Conversions between Thrift structs and types of other packages.
namespace vanillaladder::control {

wire::http_request to_wire(const http::request& message);
http::request from_wire(const wire::http_request& message);

/// @return a result with outcome `DONE` that contains the response.
wire::http_result to_wire(const http::response& response);
/// @return the response if the outcome is `DONE`, otherwise a 503 response that
///   tells whether the call was not run or its outcome is unknown.
http::response from_wire(const wire::http_result& result);

/// @return a 503 response for a request that was not run.
http::response not_run_response(std::string_view reason);
/// @return a 503 response for a request whose outcome is unknown.
http::response unknown_response(std::string_view reason);

wire::shard_load to_wire(model::shard_id shard,
                         const events::shards_changed::room& room);
events::shards_changed::room from_wire(const wire::shard_load& load);

}  // namespace vanillaladder::control
