#pragma once

#include <sys/types.h>

#include <cstdint>

namespace vanillaladder::bench {

/// What the kernel has counted for a process.
struct process_usage {
  double cpu_seconds = 0;
  double resident_mib = 0;
};

process_usage read_usage(pid_t process);

/// @return bytes that the loopback interface has carried.
std::uint64_t loopback_bytes();

}  // namespace vanillaladder::bench
