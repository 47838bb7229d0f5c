#pragma once

#include <vector>

#include "http/message.h"

struct lws;

namespace vanillaladder::http::detail {

/// Reads the known headers of the message that `connection` has received.
std::vector<header> read_headers(lws* connection);

}  // namespace vanillaladder::http::detail
