#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace vanillaladder::batch {

/// Takes one line for each decision, as "event key=value ...".
using decision_log = std::function<void(std::string line)>;

}  // namespace vanillaladder::batch
