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

/// Traces of shard machines: one header line, then one line of JSON per event
/// with the actions that it led to.
namespace vanillaladder::control {

/// Version of the trace format.
inline constexpr int trace_format = 1;

/// Writes the trace of one machine.
class trace_writer {
 public:
  /// Creates `<folder>/<shard>-<instance>-<incarnation>.jsonl`. A file that
  /// cannot be written makes the writer do nothing.
  trace_writer(const std::string& folder, model::shard_id shard,
               const model::instance_id& instance,
               model::incarnation incarnation, const shard_limits& limits);

  /// Writes one step.
  void write(const event& input, model::time_point now,
             std::span<const action> taken);

 private:
  std::ofstream file_;
};

/// What a replay found.
struct replay_result {
  std::uint64_t steps = 0;
  /// Starts that this machine sent.
  std::uint64_t starts = 0;
  /// Tasks of the shard that had finished or failed for good at the end.
  std::uint64_t finished = 0;
  std::uint64_t failed = 0;
  /// Records in which a task was evicted, valid or not.
  std::uint64_t evicted_records = 0;
};

/// Runs the present decision code on a recorded trace.
/// @return an error that names the line if the actions differ from the
///   recorded ones, if an attempt is started twice or before the previous one
///   has ended, or if the trace cannot be read.
absl::StatusOr<replay_result> replay_trace(std::istream& trace);

}  // namespace vanillaladder::control
