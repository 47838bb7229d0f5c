#include "dispatch/fleet_config.h"

namespace vanillaladder::dispatch {

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
