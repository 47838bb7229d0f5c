#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "coordination/control_state.h"
#include "coordination/shard_state.h"

namespace vanillaladder::coordination {

/// Silence after which a peer is suspected: three missed heartbeats at an
/// interval of 500 ms.
inline constexpr model::milliseconds suspect_after_ms{1500};
/// Silence after which other members may claim the shards of a peer.
inline constexpr model::milliseconds claim_after_ms{3000};
/// Silence after which a member with a fresh view expels a peer.
inline constexpr model::milliseconds expel_after_ms{10000};
/// Minimum time between two releases of shards by one daemon.
inline constexpr model::milliseconds release_interval_ms{1000};

enum class suspicion { trusted, suspected, claimable, expellable };

/// @return the level of suspicion that the silence of a peer justifies.
suspicion suspicion_of(model::time_point last_heard, model::time_point now);

/// What a daemon knows about a member, which may be the daemon itself.
struct member_liveness {
  model::instance_id id;
  model::incarnation incarnation = 0;
  /// Arrival time of the last message from this incarnation.
  model::time_point last_heard;
  /// Whether the member reported a fresh view.
  bool fresh = false;
  /// Whether the member is stopping or being drained by an operator.
  bool draining = false;
};

/// Rendezvous hashing.
/// @return the candidate with the highest hash of shard and id; empty if there
///   are no candidates.
std::optional<model::instance_id> preferred_owner(
    model::shard_id shard, std::span<const model::instance_id> candidates);

enum class ownership_action { none, claim, release };

/// What a daemon bases its decision about one shard on.
struct ownership_input {
  model::shard_id shard = 0;
  model::instance_id self;
  model::incarnation incarnation = 0;
  /// Whether the view of this daemon is fresh and the log is reachable.
  bool may_append = false;
  /// Owner in the current epoch, according to the stream of the shard.
  std::optional<owner_claimed> owner;
  /// Members of the newest view, including this daemon.
  std::span<const member_liveness> members;
  /// Time at which this daemon last released a shard.
  std::optional<model::time_point> last_release;
};

/// @return the ownership record that the daemon should append now, if any.
ownership_action decide_ownership(const ownership_input& input,
                                  model::time_point now);

/// @return the `member_left` records that a daemon with a fresh view should
///   append.
std::vector<member_left> members_to_expel(
    const model::instance_id& self, std::span<const member_liveness> members,
    model::time_point now);

}  // namespace vanillaladder::coordination
