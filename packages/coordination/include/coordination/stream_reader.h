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

/// One response of the log, or records relayed by a peer.
struct read_result {
  /// First offset still kept.
  model::offset first = 0;
  /// Offset after the last record of the stream.
  model::offset next = 0;
  std::vector<stored_record> records;
};

enum class reader_status {
  /// Records were applied; more remain.
  reading,
  /// Everything up to the end of the stream has been applied.
  at_end,
  /// Looks for a snapshot to start from.
  recovering,
  /// The log offers only offsets below those already read; not followed.
  log_moved_back,
};

/// Counters of what a reader skipped.
struct reader_counters {
  std::uint64_t applied = 0;
  std::uint64_t corrupt = 0;
  std::uint64_t unknown = 0;
  std::uint64_t duplicate = 0;
  /// Offsets inside the kept range that a response left out.
  std::uint64_t missing = 0;
  /// Times that retention removed records before they were read.
  std::uint64_t gaps = 0;
  std::uint64_t moved_back = 0;
  std::uint64_t snapshots_differing = 0;

  bool operator==(const reader_counters&) const = default;
};

/// @return whether the writer should append a snapshot: half of the kept range
///   has passed since the last one, or the last one is about to be removed.
/// @param covered offset that the last snapshot covers, -1 if there is none.
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
  static constexpr auto duplicate = control_verdict::duplicate_record;
  static constexpr auto differs = control_verdict::snapshot_differs;
};

struct shard_traits {
  using state = shard_state;
  using record = shard_record;
  using result = shard_result;
  using snapshot = shard_snapshot;
  static absl::StatusOr<record> decode(std::string_view bytes) {
    return decode_shard(bytes);
  }
  static constexpr auto duplicate = shard_verdict::duplicate_record;
  static constexpr auto differs = shard_verdict::snapshot_differs;
};

}  // namespace detail

/// Applies a stream's records in order to a state.
template <class Traits>
class stream_reader {
 public:
  using state_type = typename Traits::state;
  using record_type = typename Traits::record;
  using result_type = typename Traits::result;

  /// A record that the fold has seen.
  struct applied_record {
    model::offset offset = -1;
    record_type record;
    result_type result;
  };

  /// Applies a response to a read from `next_offset()`. Records that were
  /// applied before are ignored, so relayed records may overlap.
  /// @return the records that the fold has seen, in order; empty while
  ///   recovering.
  std::vector<applied_record> on_read(const read_result& read);

  /// Applies records that a peer relayed; they start anywhere, and are ignored
  /// from the first gap on.
  std::vector<applied_record> on_relayed_records(
      const std::vector<stored_record>& records);

  /// Starts from a peer's state while the log cannot be read; ignored if this
  /// reader has a state, or has had a later one.
  /// @return whether the state was taken.
  bool load_snapshot(const typename Traits::snapshot& snapshot);

  /// @return where to read next; a reader with a state never goes back.
  model::offset next_offset() const { return next_; }
  reader_status status() const { return status_; }
  /// @return whether there is a state; false before recovery.
  bool has_state() const { return has_state_; }
  const state_type& state() const { return state_; }
  const reader_counters& counters() const { return counters_; }
  /// @return whether a snapshot of `state()` should be appended.
  bool should_snapshot() const;

 private:
  void begin(const read_result& read);
  bool try_snapshot(const stored_record& stored, model::offset first);
  void recover(const read_result& read);
  void apply_one(const stored_record& stored, std::vector<applied_record>& out);
  void skip_to(model::offset offset);

  state_type state_;
  bool has_state_ = false;
  bool started_ = false;
  model::offset next_ = 0;
  /// A snapshot must cover at least this offset after a gap.
  model::offset floor_ = -1;
  model::offset first_ = 0;
  model::offset end_ = 0;
  model::offset covered_ = -1;
  reader_status status_ = reader_status::recovering;
  reader_counters counters_;
};

using control_reader = stream_reader<detail::control_traits>;
using shard_reader = stream_reader<detail::shard_traits>;

extern template class stream_reader<detail::control_traits>;
extern template class stream_reader<detail::shard_traits>;

}  // namespace vanillaladder::coordination
