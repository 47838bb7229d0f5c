#pragma once

#include <string_view>

#include "runtime/event_log.h"
#include "runtime/metrics.h"

namespace vanillaladder::dispatch {

/// Where the parts of a daemon tell what they do.
class reporter {
 public:
  reporter(runtime::event_log& log, runtime::metrics& metrics)
      : log_(&log), metrics_(&metrics) {}

  /// Writes one line with the present time.
  void event(std::string_view part, std::string_view line) const;
  /// The same for one of many decisions of its kind, which gives way to other
  /// lines where the volume is limited.
  void routine(std::string_view part, std::string_view line) const;
  /// Counts by a label value.
  void count(std::string_view name, std::string_view label = "",
             std::string_view value = "") const {
    metrics_->counter(name, label, value).increment();
  }
  runtime::metrics& metrics() const { return *metrics_; }
  runtime::event_log& log() const { return *log_; }

 private:
  runtime::event_log* log_;
  runtime::metrics* metrics_;
};

}  // namespace vanillaladder::dispatch
