#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace vanillaladder::runtime {

struct event_log_options {
  /// Lines a second that may be written on average; the rest is counted.
  double lines_per_second = 1500;
  /// Lines that may come at once.
  double burst = 3000;
  /// Part of both limits that only important lines may use.
  double reserved_share = 0.1;
  /// Bytes that wait for a slow reader; further lines are dropped.
  std::size_t max_buffered_bytes = 1U << 18;
};

enum class importance {
  /// One of many decisions of its kind.
  routine,
  /// Changes what the process believes of itself or of what it depends on.
  important,
};

/// Structured lines on standard output, one for each decision.
///
/// Lines are collected and written by `flush`, which never blocks. Lines over
/// the limits are dropped and their count is logged. Not thread-safe.
class event_log {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  /// @param descriptor where lines go; made non-blocking.
  /// @param instance named in every line.
  event_log(int descriptor, std::string instance,
            const event_log_options& options = {});

  /// Adds a line "time instance part event...".
  /// @param wall_ms wall clock, in milliseconds since 1970.
  /// @param event name of the event and its "key=value" fields.
  /// @param level routine lines leave a part of the limits to important ones.
  void write(std::string_view part, std::string_view event, time_point now,
             std::int64_t wall_ms, importance level = importance::routine);
  /// Writes what the reader takes.
  void flush();

  std::uint64_t dropped() const { return dropped_total_; }

 private:
  bool try_acquire_line(time_point now, importance level);

  int descriptor_;
  std::string instance_;
  event_log_options options_;
  std::string buffer_;
  double line_tokens_;
  time_point last_refill_;
  std::uint64_t unreported_drops_ = 0;
  std::uint64_t dropped_total_ = 0;
};

}  // namespace vanillaladder::runtime
