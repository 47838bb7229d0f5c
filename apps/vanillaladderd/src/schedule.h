#pragma once

#include "dispatch/settings.h"

namespace vanillaladder::daemon {

/// Runs the daemon that schedules jobs through the platform's store until
/// SIGTERM or SIGINT stops it.
/// @return the exit code.
int run_schedule(const dispatch::daemon_settings& settings);

}  // namespace vanillaladder::daemon
