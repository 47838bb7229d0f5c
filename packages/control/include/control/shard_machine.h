#pragma once

#include <memory>
#include <vector>

#include "control/shard_messages.h"
#include "coordination/shard_state.h"
#include "coordination/stream_reader.h"
#include "model/types.h"

namespace vanillaladder::control {

/// Limits that must be equal on all members.
struct shard_limits {
  std::int64_t lease_ms = 10'000;
  /// Largest difference between two clocks over the same time.
  std::int64_t clock_tolerance_percent = 1;
  /// Renewals that may be without an answer before the owner stops renewing.
  std::int64_t max_unanswered_renewals = 2;
  /// Longest time that an owner renews leases while it is out of contact.
  std::int64_t blind_renewal_limit_ms = 7'200'000;
  /// Places on the first worker with room; a baseline for benchmarks that no
  /// daemon sets.
  bool first_fit = false;
};

/// Decides about the jobs and workers of one shard.
///
/// A pure state machine: it owns the reader and the fold of the shard's stream
/// and the tracker of its appends, takes one event at a time and returns the
/// actions for its I/O layer. A daemon has one for each shard that it owns or
/// wants to own; a new machine for the same shard needs a new incarnation,
/// since record ids start again at 1.
class shard_machine {
 public:
  /// @param own_incarnation of this process; goes into every record id.
  shard_machine(model::shard_id shard, model::instance_id own_id,
                model::incarnation own_incarnation, shard_limits limits = {});
  ~shard_machine();
  shard_machine(shard_machine&&) noexcept;
  shard_machine& operator=(shard_machine&&) noexcept;

  /// Takes an event at `now`, which must not decrease from call to call.
  /// @return what the I/O layer shall do, in order.
  [[nodiscard]] std::vector<action> step(const event& input,
                                         model::time_point now);

  /// @return whether this process is the owner in the log as read so far.
  [[nodiscard]] bool is_owner() const;
  /// @return whether a drain or release has completed, or the shard was never
  ///   owned, so that the I/O layer may discard the machine.
  [[nodiscard]] bool idle() const;
  /// @return the shard's state as folded.
  [[nodiscard]] const coordination::shard_state& state() const;
  /// @return the offset to read from next.
  [[nodiscard]] model::offset next_offset() const;
  [[nodiscard]] const coordination::reader_counters& counters() const;
  /// @return free room and largest worker, for heartbeats.
  [[nodiscard]] events::shards_changed::room capacity_summary() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace vanillaladder::control
