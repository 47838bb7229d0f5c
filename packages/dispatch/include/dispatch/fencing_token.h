#pragma once

#include "model/types.h"

namespace vanillaladder::dispatch {

/// Fencing token of a leader's calls to one worker.
///
/// A worker rejects calls below the highest token that it has seen. Epochs
/// order leaders; within one, the token rises whenever the worker may have
/// restarted, so that calls meant for an earlier process are rejected once a
/// later one has answered.
class fencing_token {
 public:
  static constexpr int sequence_bits = 16;
  static constexpr model::epoch max_sequence =
      (model::epoch{1} << sequence_bits) - 1;

  fencing_token() = default;
  /// @param sequence at most `max_sequence`.
  constexpr fencing_token(model::epoch leader, model::epoch sequence)
      : value_((leader << sequence_bits) | sequence) {}

  constexpr model::epoch value() const { return value_; }

  friend constexpr auto operator<=>(fencing_token, fencing_token) = default;

 private:
  model::epoch value_ = 0;
};

/// @return the epoch of the leader that sent a call with this token.
constexpr model::epoch leader_of(model::epoch token) {
  return token >> fencing_token::sequence_bits;
}

}  // namespace vanillaladder::dispatch
