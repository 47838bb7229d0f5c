#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace vanillaladder::runtime {

struct event_log_options {
  /// Average lines per second; lines over the limit are dropped and counted.
  double lines_per_second = 1500;
  /// Most lines accepted in one burst.
  double burst = 3000;
  /// Fraction of the burst and the buffer reserved for important lines.
  double reserved_share = 0.1;
  /// Bytes buffered for a slow reader; further lines are dropped.
  std::size_t max_buffered_bytes = 1U << 18;
};

enum class importance {
  /// A frequent event, such as a single scheduling decision.
  routine,
  /// A change of the state of the process or of one of its dependencies.
  important,
};

/// Writes structured event lines to a descriptor, one for each decision.
///
/// Lines are buffered and written by `flush`, which never blocks. Lines over
/// the limits are dropped and their count is logged. Not thread-safe.
class event_log {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  /// @param descriptor output; switched to non-blocking mode.
  /// @param instance instance name written in every line.
  event_log(int descriptor, std::string instance,
            const event_log_options& options = {});

  /// Adds a line "time instance part event...".
  /// @param wall_ms wall clock, in milliseconds since 1970.
  /// @param event name of the event and its "key=value" fields.
  /// @param level routine lines cannot use the reserved part of the limits.
  void write(std::string_view part, std::string_view event, time_point now,
             std::int64_t wall_ms, importance level = importance::routine);
  /// Writes as much as the descriptor accepts without blocking.
  void flush();

  /// @return lines dropped since construction.
  std::uint64_t dropped() const { return dropped_total_; }

 private:
  /// Checks both limits and consumes one line of the rate limit.
  /// @return false if the line must be dropped.
  bool try_acquire_line(time_point now, importance level);

  int descriptor_;
  std::string instance_;
  event_log_options options_;
  std::string buffer_;
  double line_tokens_;
  time_point last_refill_;
  /// Drops since the last `lines_dropped` line.
  std::uint64_t unreported_drops_ = 0;
  std::uint64_t dropped_total_ = 0;
};

}  // namespace vanillaladder::runtime
