#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/records.h"

namespace vanillaladder::coordination {

/// Least time between two appends to a stream; limits a shard to 20 a second.
inline constexpr model::milliseconds group_commit_interval_ms{50};
/// Wait before a failed or lost append is repeated.
inline constexpr model::milliseconds append_retry_delay_ms{500};

enum class append_outcome {
  /// Read back and accepted by the fold.
  valid,
  /// Read back and refused by the fold; it has and will have no effect.
  invalid,
  /// Abandoned before it was read back; it may still take effect.
  unknown,
};

/// One append to send.
struct append_batch {
  std::uint64_t number = 0;
  std::vector<std::string> records;
};

/// A record whose outcome is known.
struct append_resolution {
  record_id id;
  append_outcome outcome = append_outcome::unknown;
  /// Where it was read back; -1 for `unknown`.
  model::offset offset = -1;
};

/// Group commit of one stream: at most one append in flight, outcomes learned
/// only by reading the records back.
class append_tracker {
 public:
  append_tracker(model::instance_id instance, model::incarnation incarnation)
      : instance_(std::move(instance)), incarnation_(incarnation) {}

  /// @return the id for the next record to add.
  record_id next_id();
  /// Adds an encoded record; `id` must come from `next_id` and be encoded in
  /// `bytes`.
  void add(const record_id& id, std::string bytes, model::time_point now);

  /// @return an append to send now, if one is due: none is in flight, 50 ms
  ///   have passed since the previous one, and records wait.
  std::optional<append_batch> poll(model::time_point now);
  /// @return when `poll` should be called next; empty if only an answer, a
  ///   read or an `add` can change anything.
  std::optional<model::time_point> next_poll() const;

  /// Notes a response; the records now wait to be read back.
  /// @param offset offset of the batch's first record.
  void on_acknowledged(std::uint64_t number, model::offset offset);
  /// Notes that an append failed or timed out; whether it took effect is not
  /// known, so its records are appended again unless they are read first.
  void on_failed(std::uint64_t number, model::time_point now);

  /// Notes a record that the reader has decoded, of any writer.
  /// @param valid whether the fold accepted it.
  /// @param duplicate whether the fold had applied this record id before.
  /// @return the resolution if it was waiting here.
  std::optional<append_resolution> on_read(model::offset offset,
                                           const record_id& id, bool valid,
                                           bool duplicate);
  /// Notes how far the reader is. Answered records below `next` that were not
  /// read are corrupt or lost and are appended again.
  void on_read_position(model::offset next, model::time_point now);

  /// Stops waiting for a record.
  /// @return the outcome `unknown`, or `invalid` if it was never sent; empty if
  ///   it isn't waiting.
  std::optional<append_resolution> abandon(const record_id& id);

  /// @return records without an outcome.
  std::size_t unresolved() const { return entries_.size(); }
  bool in_flight() const { return in_flight_.has_value(); }
  /// @return appends repeated after a failure or loss.
  std::uint64_t retried() const { return repeated_; }

 private:
  enum class stage { queued, in_flight, answered };
  struct entry {
    std::string bytes;
    stage state = stage::queued;
    bool sent = false;
    /// Earliest time of the next append.
    model::time_point due;
    /// Expected position once answered.
    model::offset position = -1;
  };

  model::instance_id instance_;
  model::incarnation incarnation_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t last_batch_ = 0;
  std::optional<std::uint64_t> in_flight_;
  std::vector<std::uint64_t> batch_;
  std::optional<model::time_point> last_sent_;
  std::map<std::uint64_t, entry> entries_;
  std::uint64_t repeated_ = 0;
};

}  // namespace vanillaladder::coordination
