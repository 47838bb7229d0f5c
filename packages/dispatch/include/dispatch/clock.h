#pragma once

#include "batch/job.h"
#include "model/types.h"

/// The daemon that schedules batch jobs through a store of keyed records.
namespace vanillaladder::dispatch {

/// @return a clock that runs on while the machine is suspended, so that a
///   lease is over after a pause. Not comparable with the steady clock.
model::time_point boot_now();

/// @return the wall clock.
batch::unix_ms wall_now();

}  // namespace vanillaladder::dispatch
