#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/control_state.h"

namespace vanillaladder::coordination {

/// Time after which an expelled member certainly has no request running any
/// more: (freshness limit 2 s + longest request 30 s) x 1.01 for clock drift.
inline constexpr model::milliseconds handover_delay_ms{32320};

/// Share of the slots of one backend server that a view grants to a member.
/// @return `slots / members`, plus one while the remainder lasts, in the order
///   of a hash of backend server and instance; 0 for an instance that is not a
///   member.
std::uint32_t slots_granted(const std::set<member_key>& members,
                            std::string_view backend, std::uint32_t slots,
                            const model::instance_id& instance);

/// The state of its grants that a member reports in heartbeats.
struct grant_report {
  member_key member;
  /// Offset of the last membership view that the member has applied.
  model::offset applied_view = -1;
  /// Whether the member uses at most its current limit on every backend server.
  bool within_grant = false;
};

/// Limits the slots that this member may use while membership changes.
///
/// During a transition several views are active, and the smallest of their
/// grants applies. A view supersedes the earlier ones once every member of it
/// and of the earlier ones has applied it and is within its grant, or is
/// inactive, which means that it can no longer use any slot.
///
/// A member that left by itself is inactive at once. An expelled member is
/// inactive `handover` after its removal was confirmed. A membership change is
/// confirmed when a strict majority of the members before or after it has
/// applied it, and all earlier changes are confirmed: the two majorities
/// overlap, so from then on no member that has not applied the change can
/// verify its view by heartbeats. An incarnation that a later one has replaced,
/// or whose instance operators have declared dead, is fenced: it can't verify
/// the views of others and needs no confirmation.
class grant_tracker {
 public:
  explicit grant_tracker(member_key self,
                         model::milliseconds handover = handover_delay_ms)
      : self_(std::move(self)), handover_(handover) {}

  /// Applies the membership changes and the `instance.<id>.state` keys of a
  /// state; to be called whenever the state has changed.
  void on_state(const control_state& state, model::time_point now);

  /// Handles the report of a member, which may be this one.
  void on_report(const grant_report& report, model::time_point now);

  /// Drops views that a later one has superseded.
  void on_tick(model::time_point now);

  /// @return the number of slots of a backend server that this member may use
  ///   now.
  std::uint32_t limit(std::string_view backend, std::uint32_t slots) const;

  /// @return the offset of the newest view; -1 before the first.
  model::offset newest_view() const { return active_views_.back().offset; }
  /// @return whether only the newest view is active.
  bool transition_complete() const { return active_views_.size() == 1; }

 private:
  struct removal {
    leave_reason reason = leave_reason::graceful;
    model::offset offset = -1;
    std::optional<model::time_point> confirmed;
  };

  void add_change(const membership_change& change);
  void add_removal(const member_key& member, leave_reason reason,
                   model::offset offset);
  void confirm_removals(model::time_point now);
  bool change_confirmed(std::size_t index) const;
  bool majority_applied(const std::set<member_key>& members,
                        model::offset offset) const;
  bool is_fenced(const member_key& member) const;
  bool is_inactive(const member_key& member, model::time_point now) const;
  bool is_inactive(const removal& removed, model::time_point now) const;
  bool is_compliant(const member_key& member, model::offset offset) const;
  bool supersedes_earlier(std::size_t index, model::time_point now) const;
  void erase_unused(model::time_point now);

  member_key self_;
  model::milliseconds handover_;
  /// Active views, oldest first; initially one without members.
  std::deque<membership_change> active_views_{membership_change{}};
  std::map<member_key, removal> removals_;
  std::map<member_key, model::offset> applied_offsets_;
  /// Latest view at which a member reported to be within its grant.
  std::map<member_key, model::offset> compliant_at_;
  /// Latest known incarnation of each instance.
  std::map<model::instance_id, model::incarnation> latest_incarnations_;
  std::set<model::instance_id> dead_instances_;
};

}  // namespace vanillaladder::coordination
