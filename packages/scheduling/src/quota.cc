#include "scheduling/quota.h"

#include <algorithm>
#include <utility>

namespace vanillaladder::scheduling {
namespace {

std::int64_t divide_dimension(std::int64_t quota, std::int64_t parts) {
  return quota < 0 ? quota : (quota + parts - 1) / parts;
}

bool within(std::int64_t size, std::int64_t quota) {
  return quota < 0 || size <= quota;
}

double share(std::int64_t used, std::int64_t capacity) {
  return capacity > 0
             ? static_cast<double>(used) / static_cast<double>(capacity)
             : 0.0;
}

}  // namespace

void team_quotas::set_limits(std::map<model::team_id, team_limits> limits) {
  limits_ = std::move(limits);
}

void team_quotas::charge(const model::team_id& team,
                         const model::resources& size) {
  used_[team] += size;
}

void team_quotas::release(const model::team_id& team,
                          const model::resources& size) {
  const auto found = used_.find(team);
  if (found == used_.end())
    return;
  found->second -= size;
  if (found->second == model::resources{})
    used_.erase(found);
}

bool team_quotas::allows(const model::team_id& team,
                         const model::resources& size,
                         const model::resources& total_quota) const {
  const auto found = used_.find(team);
  if (found == used_.end())
    return within_quota(size, total_quota);
  return within_quota(found->second + size, limits_of(team).quota);
}

double team_quotas::weighted_dominant_share(const model::team_id& team) const {
  const model::resources reserved = used(team);
  const double dominant =
      std::max({share(reserved.cpu_millis, capacity_.cpu_millis),
                share(reserved.memory_mib, capacity_.memory_mib),
                share(reserved.accelerators, capacity_.accelerators)});
  const std::int64_t weight = std::max<std::int64_t>(1, limits_of(team).weight);
  return dominant / static_cast<double>(weight);
}

model::resources team_quotas::used(const model::team_id& team) const {
  const auto found = used_.find(team);
  return found == used_.end() ? model::resources{} : found->second;
}

team_limits team_quotas::limits_of(const model::team_id& team) const {
  const auto found = limits_.find(team);
  return found == limits_.end() ? team_limits{} : found->second;
}

model::resources divide_quota(const model::resources& quota,
                              std::int64_t parts) {
  return {divide_dimension(quota.cpu_millis, parts),
          divide_dimension(quota.memory_mib, parts),
          divide_dimension(quota.accelerators, parts)};
}

bool within_quota(const model::resources& size, const model::resources& quota) {
  return within(size.cpu_millis, quota.cpu_millis) &&
         within(size.memory_mib, quota.memory_mib) &&
         within(size.accelerators, quota.accelerators);
}

}  // namespace vanillaladder::scheduling
