#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/control_state.h"
#include "coordination/shard_state.h"

namespace vanillaladder::coordination {

/// A record as the log returns it.
struct stored_record {
  model::offset offset = -1;
  std::string bytes;
};

/// One response of the log.
struct read_result {
  /// First offset that the log still keeps.
  model::offset first = 0;
  /// Offset after the last record of the stream.
  model::offset next = 0;
  std::vector<stored_record> records;
};

enum class reader_status {
  /// Records remain to be read.
  reading,
  /// Everything up to the end of the stream has been applied.
  at_end,
  /// Searching for a snapshot to start from.
  recovering,
  /// The log ends before the offsets already read; the reader does not go back.
  log_moved_back,
};

/// Numbers of applied and skipped records and of irregular events.
struct reader_counters {
  std::uint64_t applied = 0;
  std::uint64_t corrupt = 0;
  std::uint64_t unknown = 0;
  std::uint64_t duplicate = 0;
  /// Offsets inside the kept range that a response omitted.
  std::uint64_t missing = 0;
  /// Number of times that retention removed records before they were read.
  std::uint64_t gaps = 0;
  std::uint64_t moved_back = 0;
  std::uint64_t snapshots_differing = 0;

  bool operator==(const reader_counters&) const = default;
};

/// @return whether the writer should append a snapshot, so that retention
///   always leaves one to start from: the records since the last one make up
///   half of the kept range, or the last one ends before that range.
/// @param covered offset that the last snapshot covers; -1 if there is none.
bool snapshot_due(model::offset first, model::offset next,
                  model::offset covered);

namespace detail {

struct control_traits {
  using state = control_state;
  using record = control_record;
  using result = control_result;
  using snapshot = control_snapshot;
  static absl::StatusOr<record> decode(std::string_view bytes) {
    return decode_control(bytes);
  }
  static constexpr auto duplicate_verdict = control_verdict::duplicate_record;
  static constexpr auto differs_verdict = control_verdict::snapshot_differs;
};

struct shard_traits {
  using state = shard_state;
  using record = shard_record;
  using result = shard_result;
  using snapshot = shard_snapshot;
  static absl::StatusOr<record> decode(std::string_view bytes) {
    return decode_shard(bytes);
  }
  static constexpr auto duplicate_verdict = shard_verdict::duplicate_record;
  static constexpr auto differs_verdict = shard_verdict::snapshot_differs;
};

}  // namespace detail

/// Reads a stream and applies its records in order to a replicated state.
template <class Traits>
class stream_reader {
 public:
  using state_type = typename Traits::state;
  using record_type = typename Traits::record;
  using result_type = typename Traits::result;

  /// A record that was applied to the state, with the result.
  struct applied_record {
    model::offset offset = -1;
    record_type record;
    result_type result;
  };

  /// Applies the response to a read from `next_offset()`. Records that have
  /// already been applied, such as relayed ones, are ignored.
  /// @return the records that were applied, in order; empty while recovering.
  std::vector<applied_record> on_read(const read_result& read);

  /// Applies records that a peer relayed. They may start at any offset; those
  /// after the first gap are ignored.
  std::vector<applied_record> on_relayed_records(
      const std::vector<stored_record>& records);

  /// Loads the state of a peer while the log cannot be read. Ignored if this
  /// reader has a state, or has had a later one.
  /// @return whether the state was loaded.
  bool load_snapshot(const typename Traits::snapshot& snapshot);

  /// @return the offset to read next; it never decreases while the reader has a
  ///   state.
  model::offset next_offset() const { return next_; }
  reader_status status() const { return status_; }
  /// @return whether the reader has a state; false until it has recovered.
  bool has_state() const { return has_state_; }
  const state_type& state() const { return state_; }
  const reader_counters& counters() const { return counters_; }
  /// @return whether a snapshot of `state()` should be appended.
  bool should_snapshot() const;

 private:
  void initialize(const read_result& read);
  bool try_load_snapshot(const stored_record& stored, model::offset first);
  void recover(const read_result& read);
  void apply_record(const stored_record& stored,
                    std::vector<applied_record>& out);
  void skip_to(model::offset offset);

  state_type state_;
  bool has_state_ = false;
  bool initialized_ = false;
  model::offset next_ = 0;
  /// A snapshot must cover at least this offset after a gap.
  model::offset min_covered_ = -1;
  /// First offset that the log keeps.
  model::offset first_kept_ = 0;
  model::offset stream_end_ = 0;
  /// Offset that the last snapshot covers.
  model::offset last_covered_ = -1;
  reader_status status_ = reader_status::recovering;
  reader_counters counters_;
};

using control_reader = stream_reader<detail::control_traits>;
using shard_reader = stream_reader<detail::shard_traits>;

extern template class stream_reader<detail::control_traits>;
extern template class stream_reader<detail::shard_traits>;

}  // namespace vanillaladder::coordination
