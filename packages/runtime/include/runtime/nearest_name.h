#pragma once

#include <cstddef>
#include <span>
#include <string_view>

namespace vanillaladder::runtime {

/// @return the Levenshtein distance between `a` and `b`.
std::size_t edit_distance(std::string_view a, std::string_view b);

/// @return the member of `known` with the least edit distance to `name`; empty
///   if `known` is empty.
std::string_view nearest_name(std::string_view name,
                              std::span<const std::string_view> known);

}  // namespace vanillaladder::runtime
