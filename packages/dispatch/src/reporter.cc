#include "dispatch/reporter.h"

#include "dispatch/clock.h"

namespace vanillaladder::dispatch {

void reporter::event(std::string_view part, std::string_view line) const {
  log_->write(part, line, boot_now(), wall_now(),
              runtime::importance::important);
}

void reporter::routine(std::string_view part, std::string_view line) const {
  log_->write(part, line, boot_now(), wall_now(), runtime::importance::routine);
}

}  // namespace vanillaladder::dispatch
