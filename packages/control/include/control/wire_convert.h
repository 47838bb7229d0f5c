#pragma once

#include "control/shard_messages.h"
#include "http/message.h"
#include "peer_types.h"

/// Conversions between wire structs and the types of other packages.
namespace vanillaladder::control {

wire::http_request to_wire(const http::request& message);
http::request from_wire(const wire::http_request& message);

/// @return a completed result with the response in it.
wire::http_result to_wire(const http::response& answer);
/// @return the response of a completed result, or a 503 that says whether the
///   call was not run or its outcome is unknown.
http::response from_wire(const wire::http_result& result);

/// @return a 503 for something that was not run.
http::response not_run_response(std::string_view reason);
/// @return a 503 for something whose outcome is unknown.
http::response unknown_response(std::string_view reason);

wire::shard_load to_wire(model::shard_id shard,
                         const events::shards_changed::room& room);
events::shards_changed::room from_wire(const wire::shard_load& load);

}  // namespace vanillaladder::control
