#include "dispatch/work_timer.h"

#include <absl/strings/str_cat.h>

#include "dispatch/clock.h"

namespace vanillaladder::dispatch {

work_timer::work_timer(reporter report, std::string work)
    : report_(report),
      work_(std::move(work)),
      histogram_(&report.metrics().histogram("vanillaladder_loop_held_seconds",
                                             "work", work_)) {}

void work_timer::observe(model::time_point::duration held) const {
  histogram_->observe(held);
  if (held >= log_threshold) {
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(held);
    report_.event("loop",
                  absl::StrCat("held work=", work_, " ms=", ms.count()));
  }
}

work_timer::scope::scope(const work_timer& timer)
    : timer_(&timer), started_at_(boot_now()) {}

work_timer::scope::~scope() {
  timer_->observe(boot_now() - started_at_);
}

}  // namespace vanillaladder::dispatch
