#include "batch/organisation_shares.h"

#include <algorithm>

namespace vanillaladder::batch {
namespace {

bool is_below(std::int64_t usage, std::int64_t limit) {
  return limit <= 0 || usage <= limit;
}

double ratio(std::int64_t part, std::int64_t whole) {
  return whole <= 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

void organisation_shares::set_policies(
    const std::map<std::string, organisation_policy>& policies) {
  for (const auto& [name, policy] : policies) {
    auto [found, is_new] = organisations_.try_emplace(name);
    found->second.policy = policy;
    if (is_new) {
      found->second.tokens = policy.weight * burst_seconds;
    }
  }
}

const organisation_shares::organisation* organisation_shares::find(
    std::string_view name) const {
  auto found = organisations_.find(name);
  return found == organisations_.end() ? nullptr : &found->second;
}

bool organisation_shares::is_surplus(std::string_view name,
                                     unix_ms accepted_at) {
  auto found = organisations_.find(name);
  if (found == organisations_.end()) {
    return false;
  }
  auto& each = found->second;
  double limit = std::max(each.policy.weight * burst_seconds, 1.0);
  if (accepted_at > each.refilled_at) {
    auto elapsed = static_cast<double>(accepted_at - each.refilled_at) / 1000;
    each.tokens = std::min(limit, each.tokens + elapsed * each.policy.weight);
    each.refilled_at = accepted_at;
  }
  if (each.tokens < 1) {
    return true;
  }
  each.tokens -= 1;
  return false;
}

void organisation_shares::add_run(std::string_view name,
                                  const model::resources& need) {
  if (name.empty()) {
    return;
  }
  auto found = organisations_.find(name);
  if (found != organisations_.end()) {
    found->second.usage += need;
  } else if (enabled()) {
    // Not in the configuration any more, or not yet in this copy.
    organisations_[std::string(name)].usage += need;
  }
}

void organisation_shares::remove_run(std::string_view name,
                                     const model::resources& need) {
  if (auto found = organisations_.find(name); found != organisations_.end()) {
    found->second.usage -= need;
  }
}

bool organisation_shares::is_within_limit(std::string_view name,
                                          const model::resources& need,
                                          int count) const {
  const auto* each = find(name);
  if (each == nullptr) {
    return true;
  }
  const auto& limit = each->policy.limit;
  return is_below(each->usage.cpu_millis + count * need.cpu_millis,
                  limit.cpu_millis) &&
         is_below(each->usage.memory_mib + count * need.memory_mib,
                  limit.memory_mib) &&
         is_below(each->usage.accelerators + count * need.accelerators,
                  limit.accelerators);
}

void organisation_shares::begin_round(
    const model::resources& capacity,
    std::span<const std::string_view> waiting) {
  capacity_ = capacity;
  double total = 0;
  for (auto& [name, each] : organisations_) {
    bool active = each.usage != model::resources{} ||
                  std::ranges::find(waiting, name) != waiting.end();
    each.fair_share = active ? each.policy.weight : 0;
    total += each.fair_share;
  }
  for (auto& [name, each] : organisations_) {
    each.fair_share = total > 0 ? each.fair_share / total : 0;
  }
}

double organisation_shares::dominant_share(
    const model::resources& usage) const {
  return std::max({ratio(usage.cpu_millis, capacity_.cpu_millis),
                   ratio(usage.memory_mib, capacity_.memory_mib),
                   ratio(usage.accelerators, capacity_.accelerators)});
}

bool organisation_shares::is_entitled(std::string_view name,
                                      const model::resources& need) const {
  const auto* each = find(name);
  return each == nullptr ||
         dominant_share(each->usage + need) <= each->fair_share;
}

std::vector<organisation_shares::report> organisation_shares::reports() const {
  std::vector<report> all;
  all.reserve(organisations_.size());
  for (const auto& [name, each] : organisations_) {
    all.push_back({name, each.usage, each.policy.limit,
                   dominant_share(each.usage), each.fair_share});
  }
  return all;
}

}  // namespace vanillaladder::batch
