#pragma once

#include <string>

#include "check_property.h"
#include "coordination/records.h"

namespace vanillaladder::coordination {

using testing::check_property;
using testing::random_below;

inline model::time_point at_ms(std::int64_t ms) {
  return model::time_point(model::milliseconds(ms));
}

inline model::member_info member(const std::string& id,
                                 model::incarnation incarnation = 1) {
  return {id, incarnation, "127.0.0.1", 1, 2, "domain-a"};
}

}  // namespace vanillaladder::coordination
