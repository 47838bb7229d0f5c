#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "coordination/control_state.h"
#include "coordination/slot_grants.h"

namespace vanillaladder::coordination {

/// Age of the last verification below which a view is fresh.
inline constexpr model::milliseconds fresh_limit_ms{2000};

enum class freshness { fresh, stale };

/// A peer's position in the control stream, from a heartbeat.
struct peer_position {
  member_key member;
  /// Last control offset that the peer has applied.
  model::offset applied = -1;
  /// False for a restarted instance that has not recovered; its responses do
  /// not count for a majority.
  bool recovered = false;
};

/// Verifies that the view of this daemon on the control stream is current.
///
/// The time of a verification is the time at which the request was sent, since
/// the response may have been produced at any time after it.
class view_freshness {
 public:
  explicit view_freshness(member_key self,
                          model::milliseconds limit = fresh_limit_ms)
      : self_(std::move(self)), limit_(limit) {}

  /// Sets the members of the newest applied view.
  void set_members(const membership_view& view);
  /// Sets the last control offset that this daemon has applied.
  void set_applied(model::offset applied);

  /// Handles a read that returned the end of the stream.
  /// @param sent time at which the read was sent.
  /// @param next offset after the last record; the read verifies the view only
  ///   if all records before it have been applied.
  void on_log_end(model::time_point sent, model::offset next);

  /// Starts a round of heartbeats.
  /// @return the number of the round, to be passed with each response.
  std::uint64_t start_round(model::time_point sent);
  /// Handles a heartbeat response; one to an earlier round only updates the
  /// position of the peer.
  void on_heartbeat_response(std::uint64_t round, const peer_position& peer);
  /// Handles a heartbeat that a peer sent by itself; it does not verify the
  /// view.
  void on_position(const peer_position& peer);

  freshness state(model::time_point now) const;
  /// @return the time of the last verification.
  std::optional<model::time_point> last_verified() const {
    return verified_at_;
  }

  /// @return whether a strict majority of the members has applied an offset;
  ///   this member counts if it has recovered.
  bool majority_applied(model::offset offset) const;
  /// @return the highest offset that a strict majority has applied, or -1.
  model::offset majority_offset() const;

  /// @return the peer with the highest offset above that of this daemon, which
  ///   can be asked for the missing records.
  std::optional<peer_position> most_advanced_peer() const;

  /// @return whether this daemon may count for majorities: it has read the log
  ///   to its end, or has applied all that a majority of the other members had
  ///   applied.
  bool recovered() const { return recovered_; }

 private:
  void evaluate_round();
  void evaluate_recovery();
  bool is_member(const member_key& member) const;
  bool self_is_member() const;
  std::size_t majority() const;

  member_key self_;
  model::milliseconds limit_;
  std::set<member_key> members_;
  model::offset applied_ = -1;
  std::map<member_key, peer_position> positions_;
  /// Number of the current round.
  std::uint64_t round_ = 0;
  std::optional<model::time_point> round_sent_;
  std::map<member_key, model::offset> round_responses_;
  std::optional<model::time_point> verified_at_;
  bool recovered_ = false;
};

}  // namespace vanillaladder::coordination
