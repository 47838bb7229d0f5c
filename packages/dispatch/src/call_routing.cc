#include "dispatch/call_routing.h"

namespace vanillaladder::dispatch {

call_route route_call(const config_view& config, const call_credentials& call,
                      std::chrono::milliseconds age,
                      const access_options& options) {
  bool may_refuse = age < max_refusal_age;
  const auto* queue = config.find_queue(call.host, call.path);
  if (queue == nullptr) {
    return may_refuse ? call_route(unknown_queue{}) : stale_config{};
  }
  if (!config.requires_keys() ||
      (queue->allows_anonymous && call.key.empty())) {
    return admitted_call{queue, ""};
  }
  const auto* owner = config.find_organisation(call.key);
  if (owner == nullptr) {
    return may_refuse ? call_route(unknown_key{}) : stale_config{};
  }
  // A key that was taken away may still stand in an old copy.
  if (options.strict_revocation &&
      age >= options.revocation_limit - revocation_margin) {
    return stale_config{};
  }
  return admitted_call{queue, owner->name};
}

}  // namespace vanillaladder::dispatch
