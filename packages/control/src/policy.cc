#include "control/policy.h"

#include <set>
#include <string_view>

namespace vanillaladder::control {
namespace {

using coordination::config_view;

/// @return the distinct names in keys of the form `<family>.<name>.<field>`.
std::set<std::string> names_of(const config_view& config,
                               std::string_view family) {
  std::set<std::string> names;
  std::string prefix = std::string(family) + ".";
  for (auto it = config.keys().lower_bound(prefix);
       it != config.keys().end() && it->first.starts_with(prefix); ++it) {
    auto end = it->first.rfind('.');
    if (end > prefix.size()) {
      names.insert(it->first.substr(prefix.size(), end - prefix.size()));
    }
  }
  return names;
}

template <class Kind>
Kind kind_of(const config_view& config, const std::string& name) {
  auto kind = config.choice("class", name, "kind");
  if (kind == "urgent") {
    return Kind::urgent;
  }
  return kind == "batch" ? Kind::batch : Kind::interactive;
}

unsigned unsigned_value(const config_view& config, std::string_view key,
                        unsigned fallback) {
  auto value = config.integer(key);
  return value ? static_cast<unsigned>(*value) : fallback;
}

serving::class_config make_class(const config_view& config,
                                 const std::string& name) {
  serving::class_config result;
  if (auto deadline = config.integer("class", name, "deadline_ms")) {
    result.deadline_ms = model::milliseconds(*deadline);
  }
  if (auto wait = config.integer("class", name, "max_wait_ms")) {
    result.max_wait_ms = model::milliseconds(*wait);
  }
  if (auto weight = config.integer("class", name, "weight")) {
    result.weight = static_cast<unsigned>(*weight);
  }
  result.kind = kind_of<serving::class_kind>(config, name);
  return result;
}

team_policy make_team(const config_view& config, const std::string& name) {
  team_policy policy;
  policy.weight =
      config.integer("team", name, "weight").value_or(policy.weight);
  policy.quota.cpu_millis =
      config.integer("team", name, "quota_cpu_millis").value_or(-1);
  policy.quota.memory_mib =
      config.integer("team", name, "quota_memory_mib").value_or(-1);
  policy.quota.accelerators =
      config.integer("team", name, "quota_accelerators").value_or(-1);
  return policy;
}

}  // namespace

batch_policy make_batch_policy(const config_view& config) {
  batch_policy policy;
  for (const auto& name : names_of(config, "domain")) {
    if (config.domain_out(name)) {
      policy.domains_out.insert(name);
    }
  }
  for (const auto& name : names_of(config, "instance")) {
    auto state = config.choice("instance", name, "state");
    if (state == "draining") {
      policy.draining.insert(name);
    } else if (state == "dead") {
      policy.dead.insert(name);
    }
  }
  for (const auto& name : names_of(config, "class")) {
    policy.class_kinds[name] = kind_of<class_kind>(config, name);
  }
  for (const auto& name : names_of(config, "team")) {
    policy.teams[name] = make_team(config, name);
  }
  policy.reserve_percent = config.integer("placement.reserve_percent")
                               .value_or(policy.reserve_percent);
  policy.max_class_slowdown_percent =
      config.integer("placement.max_class_slowdown_percent")
          .value_or(policy.max_class_slowdown_percent);
  policy.max_checkpoints_per_second =
      config.integer("drain.max_checkpoints_per_second")
          .value_or(policy.max_checkpoints_per_second);
  return policy;
}

void set_serving_config(const config_view& config,
                        serving::serving_view& view) {
  view.classes.clear();
  for (const auto& name : names_of(config, "class")) {
    view.classes[name] = make_class(config, name);
  }
  view.teams.clear();
  for (const auto& name : names_of(config, "team")) {
    auto weight = config.integer("team", name, "weight");
    view.teams[name].weight = static_cast<unsigned>(weight.value_or(10));
  }
  view.queue.max_queued =
      unsigned_value(config, "admission.max_queued", view.queue.max_queued);
  view.queue.alpha = unsigned_value(config, "queue.alpha", view.queue.alpha);
  view.routing.max_ejected_percent = unsigned_value(
      config, "routing.max_ejected_percent", view.routing.max_ejected_percent);
  if (auto interval = config.integer("routing.probe_interval_ms")) {
    view.routing.probe_interval_ms = model::milliseconds(*interval);
  }
  view.retry.budget_percent =
      unsigned_value(config, "retry.budget_percent", view.retry.budget_percent);
  view.retry.max_attempts =
      unsigned_value(config, "retry.max_attempts", view.retry.max_attempts);
}

bool in_service(const config_view& config, const model::instance_id& instance,
                const model::domain_id& domain) {
  auto state = config.choice("instance", instance, "state");
  return !config.domain_out(domain) && state != "draining" && state != "dead";
}

bool is_draining(const config_view& config,
                 const model::instance_id& instance) {
  return config.choice("instance", instance, "state") == "draining";
}

}  // namespace vanillaladder::control
