#include "batch/reservations.h"

#include <algorithm>
#include <vector>

namespace vanillaladder::batch {

std::optional<time_point> reservations::earliest_fit(
    const model::resources& free, std::span<const expected_release> releases,
    const model::resources& need, time_point now) {
  if (model::fits_in(need, free)) {
    return now;
  }
  std::vector<expected_release> sorted(releases.begin(), releases.end());
  std::ranges::sort(sorted, {}, &expected_release::at);
  auto available = free;
  for (const auto& release : sorted) {
    if (release.at > now + horizon) {
      break;
    }
    available += release.amount;
    if (model::fits_in(need, available)) {
      return std::max(release.at, now);
    }
  }
  return std::nullopt;
}

void reservations::reserve(std::string_view worker, time_point from,
                           const model::resources& spare) {
  reserved_.insert_or_assign(std::string(worker), reservation{from, spare});
}

bool reservations::delays(std::string_view worker, const model::resources& need,
                          time_point ends_at) const {
  auto found = reserved_.find(worker);
  return found != reserved_.end() && ends_at > found->second.from &&
         !model::fits_in(need, found->second.spare);
}

void reservations::on_start(std::string_view worker,
                            const model::resources& need, time_point ends_at) {
  auto found = reserved_.find(worker);
  if (found != reserved_.end() && ends_at > found->second.from) {
    found->second.spare -= need;
  }
}

}  // namespace vanillaladder::batch
