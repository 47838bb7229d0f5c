#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <fstream>
#include <iosfwd>
#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "control/shard_machine.h"

/// Traces of shard machines in JSON Lines format: a header line, then one line
/// per event with the resulting actions.
namespace vanillaladder::control {

/// Version of the trace format.
inline constexpr int trace_format = 1;

/// Writes the trace of one machine.
class trace_writer {
 public:
  /// Creates `<folder>/<shard>-<instance>-<incarnation>.jsonl`. If the file
  /// cannot be written, nothing is recorded.
  trace_writer(const std::string& folder, model::shard_id shard,
               const model::instance_id& instance,
               model::incarnation incarnation, const shard_limits& limits);

  /// Writes an event and its actions.
  void write(const event& input, model::time_point now,
             std::span<const action> action_list);

 private:
  std::ofstream file_;
};

/// Statistics of a replay.
struct replay_result {
  std::uint64_t steps = 0;
  /// Task starts that the machine sent.
  std::uint64_t starts = 0;
  /// Tasks of the shard that had finished or permanently failed at the end of
  /// the trace.
  std::uint64_t finished = 0;
  std::uint64_t failed = 0;
  /// Task evictions in the log records read, including invalid records.
  std::uint64_t evicted_records = 0;
};

/// Replays a recorded trace against the current decision code.
/// @return an error with the line number if the actions differ from the
///   recorded ones, if a task is started with an attempt number that is not
///   higher than that of its previous start, or if the trace is malformed.
absl::StatusOr<replay_result> replay_trace(std::istream& trace);

}  // namespace vanillaladder::control
