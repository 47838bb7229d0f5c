#pragma once

#include <string_view>

#include "runtime/event_log.h"
#include "runtime/metrics.h"

namespace vanillaladder::dispatch {

/// Writes log lines and metrics for the components of a daemon.
class reporter {
 public:
  reporter(runtime::event_log& log, runtime::metrics& metrics)
      : log_(&log), metrics_(&metrics) {}

  /// Writes one log line with the current time.
  void event(std::string_view part, std::string_view line) const;
  /// Writes a line about one of many similar decisions. It is dropped before
  /// lines of `event` when the log volume is limited.
  void routine(std::string_view part, std::string_view line) const;
  /// Increments the counter with this label value.
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
