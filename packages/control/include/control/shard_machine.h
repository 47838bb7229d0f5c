#pragma once

#include <memory>
#include <vector>

#include "control/shard_messages.h"
#include "coordination/shard_state.h"
#include "coordination/stream_reader.h"
#include "model/types.h"

namespace vanillaladder::control {

/// Protocol limits; must be equal on all members.
struct shard_limits {
  std::int64_t lease_ms = 10'000;
  /// Largest relative difference between the rates of two clocks.
  std::int64_t clock_tolerance_percent = 1;
  /// The owner stops renewing a lease that has this many unanswered renewals.
  std::int64_t max_unanswered_renewals = 2;
  /// Longest time that an owner keeps renewing leases while it is out of
  /// contact, i.e. could miss that another daemon has claimed the shard.
  std::int64_t blind_renewal_limit_ms = 7'200'000;
  /// Whether to use first-fit placement, the baseline of benchmarks; no daemon
  /// sets it.
  bool first_fit = false;
};

/// Scheduler of one shard: decides which task of its jobs runs on which worker.
///
/// A state machine without I/O: it owns the reader and the replicated state of
/// the shard's stream and the tracker of its appends, processes one event at a
/// time and returns the actions for the I/O layer to execute. A daemon has one
/// for each shard that it owns or wants to own. A new machine for the same
/// shard needs a new incarnation, since record ids start again at 1.
class shard_machine {
 public:
  /// @param own_incarnation incarnation of this process; part of every record
  ///   id.
  shard_machine(model::shard_id shard, model::instance_id own_id,
                model::incarnation own_incarnation, shard_limits limits = {});
  ~shard_machine();
  shard_machine(shard_machine&&) noexcept;
  shard_machine& operator=(shard_machine&&) noexcept;

  /// Processes an event at `now`, which must not decrease between calls.
  /// @return actions for the I/O layer to execute in order.
  [[nodiscard]] std::vector<action> step(const event& input,
                                         model::time_point now);

  /// @return whether this process is the owner according to the log as read so
  ///   far.
  [[nodiscard]] bool is_owner() const;
  /// @return whether a drain or release has completed, or the shard was never
  ///   owned, so that the I/O layer may discard the machine.
  [[nodiscard]] bool idle() const;
  /// @return the replicated state of the shard.
  [[nodiscard]] const coordination::shard_state& state() const;
  /// @return the offset to read from next.
  [[nodiscard]] model::offset next_offset() const;
  [[nodiscard]] const coordination::reader_counters& counters() const;
  /// @return available resources and largest worker, for heartbeats.
  [[nodiscard]] events::shards_changed::room capacity_summary() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace vanillaladder::control
