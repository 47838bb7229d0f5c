#pragma once

#include "control/shard_messages.h"
#include "coordination/config_schema.h"
#include "serving/view.h"

namespace vanillaladder::control {

/// @return the batch part of the configuration in force.
batch_policy make_batch_policy(const coordination::config_view& config);

/// Sets the classes, teams, queue, routing and retry parts of a view from the
/// configuration in force.
void set_serving_config(const coordination::config_view& config,
                        serving::serving_view& view);

/// @return whether operators leave the instance in service: neither it is
///   draining or dead, nor is its failure domain out.
bool in_service(const coordination::config_view& config,
                const model::instance_id& instance,
                const model::domain_id& domain);

/// @return whether operators drain the instance.
bool is_draining(const coordination::config_view& config,
                 const model::instance_id& instance);

}  // namespace vanillaladder::control
