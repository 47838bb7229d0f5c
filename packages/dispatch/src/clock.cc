#include "dispatch/clock.h"

#include <ctime>

namespace vanillaladder::dispatch {

model::time_point boot_now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return model::time_point(std::chrono::seconds(now.tv_sec) +
                           std::chrono::nanoseconds(now.tv_nsec));
}

batch::unix_ms wall_now() {
  return std::chrono::duration_cast<model::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace vanillaladder::dispatch
