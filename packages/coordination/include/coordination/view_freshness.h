#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "coordination/control_state.h"
#include "coordination/slot_grants.h"

namespace vanillaladder::coordination {

/// Age of the last proof up to which a view is fresh.
inline constexpr model::milliseconds fresh_limit_ms{2000};

enum class freshness { fresh, stale };

/// A peer's position in the control stream, from a heartbeat.
struct peer_position {
  member_key member;
  /// Last control offset that the peer has applied.
  model::offset applied = -1;
  /// False for a restarted instance that has not recovered; such an answer
  /// counts for no majority.
  bool recovered = false;
};

/// Proofs that this daemon's view of the control stream is current.
///
/// Time of a proof is the time at which the question was sent, since the answer
/// may have been given at any moment after it.
class view_freshness {
 public:
  explicit view_freshness(member_key self,
                          model::milliseconds limit = fresh_limit_ms)
      : self_(std::move(self)), limit_(limit) {}

  /// Sets the members of the newest applied view.
  void set_members(const membership_view& view);
  /// Sets the last control offset that this daemon has applied.
  void set_applied(model::offset applied);

  /// Notes that a read sent at `sent` returned the end of the stream.
  /// @param next offset after the last record; a proof only if everything
  ///   before it has been applied.
  void on_log_end(model::time_point sent, model::offset next);

  /// Starts a round of heartbeats.
  /// @return the round's number, to be given with each answer.
  std::uint64_t start_round(model::time_point sent);
  /// Notes an answer; a late answer of an earlier round only updates the
  /// peer's position.
  void on_heartbeat_response(std::uint64_t round, const peer_position& peer);
  /// Notes a heartbeat that a peer sent by itself; proves nothing.
  void on_position(const peer_position& peer);

  freshness state(model::time_point now) const;
  /// @return time of the last proof.
  std::optional<model::time_point> last_verified() const { return proof_; }

  /// @return whether a strict majority of the members, this one counted if it
  ///   has recovered, has applied an offset.
  bool majority_applied(model::offset offset) const;
  /// @return the highest offset that a strict majority has applied, or -1.
  model::offset majority_offset() const;

  /// @return the peer with the highest offset above this daemon's own, to be
  ///   asked for the missing records.
  std::optional<peer_position> most_advanced_peer() const;

  /// @return whether this daemon may count for majorities: it has read the log
  ///   to its end, or has applied what a majority of the other members knew.
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
  std::uint64_t round_ = 0;
  std::optional<model::time_point> round_sent_;
  std::map<member_key, model::offset> round_answers_;
  std::optional<model::time_point> proof_;
  bool recovered_ = false;
};

}  // namespace vanillaladder::coordination
