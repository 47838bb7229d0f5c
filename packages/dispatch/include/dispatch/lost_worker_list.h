#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "batch/worker.h"
#include "model/types.h"

namespace vanillaladder::dispatch {

/// Stored list of workers that the leader has no contact with.
struct lost_worker_record {
  struct entry {
    model::worker_id id;
    /// Time, from the sending of the record, after which no lease on the worker
    /// is valid.
    model::milliseconds remaining{0};
    /// The same if a later process has started on the worker; empty in the
    /// record of an earlier version.
    std::optional<model::milliseconds> remaining_after_restart = std::nullopt;

    bool operator==(const entry&) const = default;
  };

  std::string holder;
  /// Sequence number among the lists of this holder.
  std::int64_t sequence = 0;
  std::vector<entry> workers;

  bool operator==(const lost_worker_record&) const = default;
};

std::string encode(const lost_worker_record& record);
std::optional<lost_worker_record> decode_lost_workers(std::string_view value);

/// The lost workers as the last stored record lists them.
///
/// The list outlives the leader, so that its successor does not wait for a full
/// lease again. A bound counts from the arrival of the record, so no clocks are
/// compared. It holds because a listed worker gets no lease until a record
/// without it is stored. Pure state machine: it reads no clock and sends
/// nothing.
class lost_worker_list {
 public:
  /// Workers in one record; bounds its size. Those whose leases end first are
  /// listed; the others wait for a full lease after a change of the leader.
  static constexpr std::size_t max_workers = 256;

  /// Sent lists that are kept apart; the oldest are merged, so that an outage
  /// of the store doesn't let them pile up.
  static constexpr std::size_t max_sent_lists = 8;

  explicit lost_worker_list(std::string holder_id)
      : holder_id_(std::move(holder_id)) {}

  /// Applies a record of the topic; records are passed in order.
  void on_record(const lost_worker_record& record, model::time_point now);
  /// Prepares the record that is appended with the next lease record.
  /// @param lost the workers without contact, or nothing if this daemon orders
  ///   no workers and passes the stored list on.
  /// @return the record, or nothing if the stored list is empty and stays so.
  std::optional<lost_worker_record> prepare_record(
      std::optional<std::vector<batch::lost_worker>> lost,
      model::time_point now);
  /// @return whether a lease on the worker may be ordered: no record that a
  ///   successor could read last lists it.
  bool may_extend_lease(std::string_view id) const;
  /// @return the stored list.
  std::vector<batch::lost_worker> workers() const;

 private:
  using worker_map = std::map<std::string, batch::lost_worker, std::less<>>;

  struct sent_list {
    std::int64_t sequence = 0;
    worker_map workers;
  };

  std::string holder_id_;
  std::int64_t sequence_ = 0;
  worker_map stored_;
  /// Lists sent since the stored one. Each of them may have been stored or may
  /// still be: a record without an answer can take effect later.
  std::deque<sent_list> sent_;
};

}  // namespace vanillaladder::dispatch
