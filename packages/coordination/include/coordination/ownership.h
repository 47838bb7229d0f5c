#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "coordination/control_state.h"
#include "coordination/shard_state.h"

namespace vanillaladder::coordination {

/// Silence after which a peer is suspected: three missed heartbeats of 500 ms.
inline constexpr model::milliseconds suspect_after_ms{1500};
/// Silence after which a peer's shards are claimed.
inline constexpr model::milliseconds claim_after_ms{3000};
/// Silence after which a fresh member expels the peer.
inline constexpr model::milliseconds expel_after_ms{10000};
/// Least time between two releases of a daemon.
inline constexpr model::milliseconds release_interval_ms{1000};

enum class suspicion { trusted, suspected, claimable, expellable };

/// @return how far the silence of a peer has gone.
suspicion suspicion_of(model::time_point last_heard, model::time_point now);

/// What a daemon knows about a member, itself included.
struct member_liveness {
  model::instance_id id;
  model::incarnation incarnation = 0;
  /// When a message of this incarnation last arrived.
  model::time_point last_heard;
  /// Whether it reported a fresh view.
  bool fresh = false;
  /// Whether it is stopping or an operator drains it.
  bool draining = false;
};

/// @return the candidate with the highest hash of shard and id; empty without
///   candidates.
std::optional<model::instance_id> preferred_owner(
    model::shard_id shard, std::span<const model::instance_id> candidates);

enum class ownership_action { none, claim, release };

/// A daemon's view on one shard.
struct ownership_input {
  model::shard_id shard = 0;
  model::instance_id self;
  model::incarnation incarnation = 0;
  /// Whether the own view is fresh and the log can be reached.
  bool may_append = false;
  /// Owner of the shard's current epoch, as its stream says.
  std::optional<owner_claimed> owner;
  /// Members of the newest view, itself included.
  std::span<const member_liveness> members;
  /// When this daemon last released a shard.
  std::optional<model::time_point> last_release;
};

/// @return what the daemon should append for the shard now.
ownership_action decide_ownership(const ownership_input& input,
                                  model::time_point now);

/// @return members that a fresh daemon should remove by `member_left`.
std::vector<member_left> members_to_expel(
    const model::instance_id& self, std::span<const member_liveness> members,
    model::time_point now);

}  // namespace vanillaladder::coordination
