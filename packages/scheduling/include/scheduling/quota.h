#pragma once

#include <cstdint>
#include <map>

#include "model/types.h"

namespace vanillaladder::scheduling {

/// Weight and quota of a team; a negative quota dimension is unlimited.
struct team_limits {
  std::int64_t weight = 10;
  model::resources quota{-1, -1, -1};
};

/// Resource usage of each team, for quotas and weighted dominant resource
/// fairness.
class team_quotas {
 public:
  /// Replaces the limits of all teams; teams not listed get the defaults.
  void set_limits(std::map<model::team_id, team_limits> limits);
  /// Sets the total capacity on which shares are based.
  void set_capacity(const model::resources& total) { capacity_ = total; }

  /// Adds a reservation to the usage of a team.
  void charge(const model::team_id& team, const model::resources& size);
  /// Subtracts a reservation from the usage of a team.
  void release(const model::team_id& team, const model::resources& size);

  /// @return whether the team may reserve `size` more. A team without
  ///   reservations may always start one task within `total_quota`, its quota
  ///   over all shards, since the quota of one shard can be smaller than a
  ///   task.
  [[nodiscard]] bool allows(const model::team_id& team,
                            const model::resources& size,
                            const model::resources& total_quota) const;

  /// @return the team's dominant share (the largest over all dimensions)
  ///   divided by its weight; the team with the smallest value is served next.
  [[nodiscard]] double weighted_dominant_share(
      const model::team_id& team) const;

  /// @return the sum of the team's reservations.
  [[nodiscard]] model::resources used(const model::team_id& team) const;

 private:
  [[nodiscard]] team_limits limits_of(const model::team_id& team) const;

  std::map<model::team_id, team_limits> limits_;
  std::map<model::team_id, model::resources> used_;
  model::resources capacity_;
};

/// @return `quota` divided by `parts`, rounded up; unlimited dimensions stay
///   unlimited.
model::resources divide_quota(const model::resources& quota,
                              std::int64_t parts);

/// @return whether `size` is within `quota`, where a negative dimension is
///   unlimited.
bool within_quota(const model::resources& size, const model::resources& quota);

}  // namespace vanillaladder::scheduling
