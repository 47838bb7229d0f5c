#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/records.h"

namespace vanillaladder::coordination {

/// Minimum time between two appends to a stream; limits a shard to 20 appends
/// per second.
inline constexpr model::milliseconds group_commit_interval_ms{50};
/// Delay before a failed or lost append is retried.
inline constexpr model::milliseconds append_retry_delay_ms{500};

enum class append_outcome {
  /// Read back and accepted by the replicated state.
  valid,
  /// Read back and rejected by the replicated state; it has no effect, now or
  /// later.
  invalid,
  /// Abandoned before it was read back; it may still take effect.
  unknown,
};

/// Records to send in one append.
struct append_batch {
  std::uint64_t number = 0;
  std::vector<std::string> records;
};

/// A record whose outcome is known.
struct append_resolution {
  record_id id;
  append_outcome outcome = append_outcome::unknown;
  /// Offset at which the record was read back; -1 for `unknown`.
  model::offset offset = -1;
};

/// Group commit for one stream. At most one append is in flight, and the
/// outcome of a record is known only once the record has been read back.
class append_tracker {
 public:
  append_tracker(model::instance_id instance, model::incarnation incarnation)
      : instance_(std::move(instance)), incarnation_(incarnation) {}

  /// @return the id of the next record to add.
  record_id next_id();
  /// Queues an encoded record; `id` must come from `next_id` and be part of
  /// `bytes`.
  void add(const record_id& id, std::string bytes, model::time_point now);

  /// @return an append to send now, if one is due: none is in flight, 50 ms
  ///   have passed since the previous one, and records are queued.
  std::optional<append_batch> poll(model::time_point now);
  /// @return when to call `poll` next; empty if only a response, a read or a
  ///   call of `add` can make an append due.
  std::optional<model::time_point> next_poll() const;

  /// Handles a successful response; the records must now be read back.
  /// @param offset offset of the first record of the batch.
  void on_acknowledged(std::uint64_t number, model::offset offset);
  /// Handles a failure or timeout. Whether the append took effect is unknown,
  /// so its records are appended again unless they are read back first.
  void on_failed(std::uint64_t number, model::time_point now);

  /// Handles a record of any writer that the reader has decoded.
  /// @param valid whether the replicated state accepted it.
  /// @param duplicate whether this record id had been applied before.
  /// @return the resolution, if this tracker was waiting for the record.
  std::optional<append_resolution> on_read(model::offset offset,
                                           const record_id& id, bool valid,
                                           bool duplicate);
  /// Sets the next offset to read. Acknowledged records below it that were not
  /// read back are corrupt or lost, and are appended again.
  void on_read_position(model::offset next, model::time_point now);

  /// Stops tracking a record.
  /// @return the outcome `unknown`, or `invalid` if the record was never sent;
  ///   empty if the record is not tracked.
  std::optional<append_resolution> abandon(const record_id& id);

  /// @return the number of records without an outcome.
  std::size_t unresolved() const { return records_.size(); }
  bool in_flight() const { return in_flight_.has_value(); }
  /// @return the number of records appended again after a failure or loss.
  std::uint64_t retried() const { return retried_; }

 private:
  enum class delivery_state { queued, in_flight, acknowledged };
  struct tracked_record {
    std::string bytes;
    delivery_state state = delivery_state::queued;
    bool sent = false;
    /// Earliest time of the next append.
    model::time_point due;
    /// Offset in the stream, once acknowledged.
    model::offset expected_offset = -1;
  };

  model::instance_id instance_;
  model::incarnation incarnation_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t last_batch_ = 0;
  /// Number of the batch in flight.
  std::optional<std::uint64_t> in_flight_;
  /// Sequence numbers of the records in the last batch.
  std::vector<std::uint64_t> batch_sequences_;
  std::optional<model::time_point> last_sent_;
  /// Records without an outcome, by sequence number.
  std::map<std::uint64_t, tracked_record> records_;
  std::uint64_t retried_ = 0;
};

}  // namespace vanillaladder::coordination
