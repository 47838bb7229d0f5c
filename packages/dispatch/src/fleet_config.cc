#include "dispatch/fleet_config.h"

namespace vanillaladder::dispatch {
namespace {

bool is_equal_in_constant_time(std::string_view a, std::string_view b) {
  unsigned difference = a.size() == b.size() ? 0 : 1;
  for (std::size_t n = 0; n < a.size() && n < b.size(); ++n) {
    difference |=
        static_cast<unsigned char>(a[n]) ^ static_cast<unsigned char>(b[n]);
  }
  return difference == 0;
}

}  // namespace

bool config_view::apply(fleet_config config) {
  if (config_ && config.version <= config_->version) {
    return false;
  }
  config_ = std::move(config);
  return true;
}

void config_view::close_domain(const model::domain_id& domain) {
  closed_domains_.insert(domain);
}

void config_view::open_domain(const model::domain_id& domain) {
  closed_domains_.erase(domain);
}

void config_view::open_all_except(const std::set<model::domain_id>& domains) {
  std::erase_if(closed_domains_,
                [&](const auto& each) { return !domains.contains(each); });
}

const queue_route* config_view::find_queue(std::string_view host,
                                           std::string_view path) const {
  const queue_route* best = nullptr;
  if (!config_) {
    return nullptr;
  }
  for (const auto& queue : config_->queues) {
    if (queue.host == host && path.starts_with(queue.path_prefix) &&
        (best == nullptr ||
         queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const organisation* config_view::find_organisation(std::string_view key) const {
  const organisation* found = nullptr;
  if (config_ && !key.empty()) {
    for (const auto& each : config_->organisations) {
      for (const auto& candidate : each.keys) {
        if (is_equal_in_constant_time(key, candidate)) {
          found = &each;
        }
      }
    }
  }
  return found;
}

std::map<std::string, batch::organisation_policy>
config_view::organisation_policies() const {
  std::map<std::string, batch::organisation_policy> policies;
  if (config_) {
    for (const auto& each : config_->organisations) {
      policies.emplace(each.name, each.policy);
    }
  }
  return policies;
}

std::map<std::string, batch::queue_policy> config_view::policies() const {
  std::map<std::string, batch::queue_policy> policies;
  if (config_) {
    for (const auto& queue : config_->queues) {
      policies.emplace(queue.name, queue.policy);
    }
  }
  return policies;
}

}  // namespace vanillaladder::dispatch
