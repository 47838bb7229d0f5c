#pragma once

#include "batch/job.h"
#include "model/types.h"

/// Daemon that schedules batch jobs and keeps its state in a store of keyed
/// records.
namespace vanillaladder::dispatch {

/// @return the time since boot, including the time during which the machine was
///   suspended, so that leases expire across a suspension. Not comparable with
///   `std::chrono::steady_clock`.
model::time_point boot_now();

/// @return the wall-clock time.
batch::unix_ms wall_now();

}  // namespace vanillaladder::dispatch
