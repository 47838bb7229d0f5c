#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace vanillaladder::http::detail {

/// Keeps count of what each connection of a server takes, and chooses which one
/// gives way.
///
/// Answers a crowd of callers that send large bodies and stop just short of
/// their end: connections without progress are closed before those that move,
/// and callers whose request is being answered are never closed. Reads no
/// clock.
class connection_ledger {
 public:
  using time_point = std::chrono::steady_clock::time_point;
  using connection_id = std::uint64_t;

  /// A connection that is receiving counts as stalled after this time without
  /// progress; a link of 10 Mbit/s delivers 600 KB in it.
  static constexpr std::chrono::milliseconds stall_time{500};

  enum class activity {
    /// Open, without a request.
    idle,
    /// A request is being received.
    receiving,
    /// A request is being answered.
    answering,
  };

  struct entry {
    activity doing = activity::idle;
    std::size_t buffered_bytes = 0;
    time_point last_progress;
    /// When the first byte of the request that is being received arrived.
    time_point began_at;
    /// Whether the headers of that request are complete.
    bool has_head = false;
    /// Requests that were answered on this connection.
    std::uint64_t answered = 0;
  };

  connection_id add(time_point now);
  void remove(connection_id id);
  entry& at(connection_id id) { return entries_.at(id); }
  /// Updates what a connection does and the memory that it takes.
  void update(connection_id id, activity doing, std::size_t bytes);

  std::size_t size() const { return entries_.size(); }
  std::size_t buffered_bytes() const { return buffered_bytes_; }
  /// @return memory of the requests that are being answered.
  std::size_t answering_bytes() const { return answering_bytes_; }

  /// @return the connection to close for its memory: of those that are
  ///   receiving, the one without progress for longest if it is stalled, or
  ///   else the largest. Nothing if none is receiving.
  std::optional<connection_id> pick_for_memory(time_point now) const;
  /// @return the connection to close for a new one: an idle one, first those
  ///   that never had a request answered, then the longest idle; or else one
  ///   whose request has made no progress for longest. Nothing if all are being
  ///   answered.
  std::optional<connection_id> pick_for_room(connection_id newest) const;
  /// @return whether the connection has exceeded a time limit.
  bool is_overdue(const entry& each, time_point now,
                  std::chrono::milliseconds head_timeout,
                  std::chrono::milliseconds idle_timeout) const;
  const std::map<connection_id, entry>& entries() const { return entries_; }

 private:
  std::map<connection_id, entry> entries_;
  std::size_t buffered_bytes_ = 0;
  std::size_t answering_bytes_ = 0;
  connection_id last_id_ = 0;
};

}  // namespace vanillaladder::http::detail
