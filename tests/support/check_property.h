#pragma once

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <sstream>
#include <string>
#include <utility>

namespace vanillaladder::testing {

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

/// @return one of the values, drawn by the property under test.
template <class Range>
const auto& random_element(const Range& values) {
  return values[random_below(values.size())];
}

/// @return up to 40 random bytes, drawn by the property under test.
inline std::string random_bytes() {
  std::string bytes(random_below(41), '\0');
  for (auto& each : bytes) {
    each = static_cast<char>(random_below(256));
  }
  return bytes;
}

/// @return the text with a few random bytes changed, added, lost or repeated.
inline std::string damage_bytes(std::string text) {
  for (auto left = 1 + random_below(3); left > 0; --left) {
    auto at = random_below(text.size() + 1);
    switch (random_below(6)) {
      case 0:
        text.resize(at);
        break;
      case 1:
        text.insert(at, random_bytes());
        break;
      case 2:
        text += random_bytes();
        break;
      case 3:
        text.erase(at, random_below(9));
        break;
      case 4:
        text.insert(at, text.substr(random_below(at + 1), random_below(41)));
        break;
      default:
        if (at < text.size()) {
          text[at] = static_cast<char>(random_below(256));
        }
    }
  }
  return text;
}

}  // namespace vanillaladder::testing
