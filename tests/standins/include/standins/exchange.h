#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>

#include "http/server.h"

namespace vanillaladder::standins {

using responder_ptr = std::shared_ptr<http::responder>;

/// Answers with a JSON body.
void reply(const responder_ptr& answer, int status, const nlohmann::json& body);

/// @return the integer in query parameter `name`, or `fallback`.
std::int64_t query_integer(std::string_view target, std::string_view name,
                           std::int64_t fallback);

/// @return the body as an object; an empty one if it is empty.
/// @throws std::exception if it is not a JSON object.
nlohmann::json body_object(const http::request& message);

/// @return the part of `path` between `prefix` and `suffix`, if it has both.
std::string_view middle_of(std::string_view path, std::string_view prefix,
                           std::string_view suffix);

}  // namespace vanillaladder::standins
