#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace vanillaladder::batch {

/// Receives one line per decision, in the form "event key=value ...".
using decision_log = std::function<void(std::string line)>;

}  // namespace vanillaladder::batch
