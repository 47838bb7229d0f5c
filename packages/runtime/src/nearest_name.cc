#include "runtime/nearest_name.h"

#include <algorithm>
#include <vector>

namespace vanillaladder::runtime {

std::size_t edit_distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      auto substitution_cost = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution_cost});
    }
  }
  return row[b.size()];
}

std::string_view nearest_name(std::string_view name,
                              std::span<const std::string_view> known) {
  auto nearest = std::min_element(
      known.begin(), known.end(), [&](std::string_view a, std::string_view b) {
        return edit_distance(name, a) < edit_distance(name, b);
      });
  return nearest == known.end() ? std::string_view() : *nearest;
}

}  // namespace vanillaladder::runtime
