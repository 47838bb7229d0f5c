#pragma once

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "coordination/records.h"

namespace vanillaladder::coordination {

/// Checks a property with a fixed seed, so that every run tests the same cases.
template <class Testable>
void check_property(const std::string& description, std::uint64_t seed,
                    Testable&& testable, int cases = 100) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = cases;
  rc::detail::TestMetadata metadata;
  metadata.id = description;
  metadata.description = description;
  auto result = rc::detail::checkTestable(std::forward<Testable>(testable),
                                          metadata, params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  INFO(description << ", seed " << seed << ": " << text.str());
  CHECK(result.template is<rc::detail::SuccessResult>());
}

/// @return a random number below `limit`, drawn by the property under test.
inline std::uint32_t random_below(std::size_t limit) {
  return *rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(
                                   0, static_cast<std::uint32_t>(limit)));
}

inline model::time_point at_ms(std::int64_t ms) {
  return model::time_point(model::milliseconds(ms));
}

inline model::member_info member(const std::string& id,
                                 model::incarnation incarnation = 1) {
  return {id, incarnation, "127.0.0.1", 1, 2, "domain-a"};
}

}  // namespace vanillaladder::coordination
