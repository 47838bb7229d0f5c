#pragma once

#include <cstdint>
#include <map>

#include "model/types.h"

namespace vanillaladder::scheduling {

/// Weight and quota of a team; a negative quota is unlimited.
struct team_limits {
  std::int64_t weight = 10;
  model::resources quota{-1, -1, -1};
};

/// What each team occupies, and whose turn it is.
class team_quotas {
 public:
  /// Replaces the limits of all teams; others get the defaults.
  void set_limits(std::map<model::team_id, team_limits> limits);
  /// Sets the capacity that shares refer to.
  void set_capacity(const model::resources& total) { capacity_ = total; }

  /// Adds a reservation of a team.
  void charge(const model::team_id& team, const model::resources& size);
  /// Removes a reservation of a team.
  void release(const model::team_id& team, const model::resources& size);

  /// @return whether the team may occupy `size` more. A team that occupies
  ///   nothing may always start one task within `total_quota`, since its part
  ///   of the quota in one shard can be smaller than a task.
  [[nodiscard]] bool allows(const model::team_id& team,
                            const model::resources& size,
                            const model::resources& total_quota) const;

  /// @return the team's largest share of any dimension, over its weight; the
  ///   team with the smallest value is next.
  [[nodiscard]] double weighted_dominant_share(
      const model::team_id& team) const;

  /// @return what the team occupies.
  [[nodiscard]] model::resources used(const model::team_id& team) const;

 private:
  [[nodiscard]] team_limits limits_of(const model::team_id& team) const;

  std::map<model::team_id, team_limits> limits_;
  std::map<model::team_id, model::resources> used_;
  model::resources capacity_;
};

/// @return `quota` divided among `parts`, rounded up; unlimited dimensions
///   stay unlimited.
model::resources divide_quota(const model::resources& quota,
                              std::int64_t parts);

/// @return whether `size` is within `quota`, where a negative dimension is
///   unlimited.
bool within_quota(const model::resources& size, const model::resources& quota);

}  // namespace vanillaladder::scheduling
