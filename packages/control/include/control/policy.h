#pragma once

#include "control/shard_messages.h"
#include "coordination/config_schema.h"
#include "serving/view.h"

namespace vanillaladder::control {

/// @return the settings of the current configuration for batch jobs.
batch_policy make_batch_policy(const coordination::config_view& config);

/// Sets the classes, teams, queue, routing and retry settings of a view from
/// the current configuration.
void set_serving_config(const coordination::config_view& config,
                        serving::serving_view& view);

/// @return whether the configuration keeps the instance in service: it is
///   neither draining nor dead, and its failure domain is not out of service.
bool in_service(const coordination::config_view& config,
                const model::instance_id& instance,
                const model::domain_id& domain);

/// @return whether the configuration drains the instance.
bool is_draining(const coordination::config_view& config,
                 const model::instance_id& instance);

}  // namespace vanillaladder::control
