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

/// Time after which a member that was removed without releasing runs nothing
/// any more: (fresh limit 2 s + longest request 30 s) x 1.01 for clock drift.
inline constexpr model::milliseconds handover_delay_ms{32320};

/// Slots of one backend server that a member may use in a view.
/// @return `slots / members`, plus one for the members that rank first in a
///   hash of backend server and instance, until the remainder is used up; 0 for
///   an instance that is not a member.
std::uint32_t slots_granted(const std::set<member_key>& members,
                            std::string_view backend, std::uint32_t slots,
                            const model::instance_id& instance);

/// What a member reports in its heartbeats about its grants.
struct grant_report {
  member_key member;
  /// Offset of the last membership view that it has applied.
  model::offset applied_view = -1;
  /// Whether it holds at most its current limit on every backend server.
  bool within_grant = false;
};

/// The rule for a change of view: the smallest grant of all views that are not
/// settled. A view replaces the earlier ones once every member of it and of
/// the earlier ones has applied it and is within its grant, or is gone.
///
/// A member that left by itself is gone at once. One that was removed is gone
/// `handover` after its removal was confirmed. A change of view is confirmed
/// when a strict majority of the members before or after it has applied it, and
/// all earlier changes are confirmed: the two majorities overlap, so from then
/// on no member that has not applied it can prove its view by heartbeats.
/// An incarnation that a later one has followed, or whose instance operators
/// have declared dead, proves nothing to others and needs no confirmation.
class grant_tracker {
 public:
  explicit grant_tracker(member_key self,
                         model::milliseconds handover = handover_delay_ms)
      : self_(std::move(self)), handover_(handover) {}

  /// Applies the changes of view and the `instance.<id>.state` keys of a state;
  /// to be called whenever the state has changed.
  void on_state(const control_state& state, model::time_point now);

  /// Notes a member's report, its own included.
  void on_report(const grant_report& report, model::time_point now);

  /// Drops views that have been replaced by a settled later one.
  void on_tick(model::time_point now);

  /// @return slots of a backend server that this member may use now.
  std::uint32_t limit(std::string_view backend, std::uint32_t slots) const;

  /// @return offset of the newest view, -1 before the first.
  model::offset newest_view() const { return pending_.back().offset; }
  /// @return whether only the newest view applies.
  bool transition_complete() const { return pending_.size() == 1; }

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
  bool is_gone(const member_key& member, model::time_point now) const;
  bool is_gone(const removal& removed, model::time_point now) const;
  bool is_settled(const member_key& member, model::offset offset) const;
  bool replaces_earlier(std::size_t index, model::time_point now) const;
  void forget(model::time_point now);

  member_key self_;
  model::milliseconds handover_;
  /// Unsettled views, oldest first; starts with a view without members.
  std::deque<membership_change> pending_{membership_change{}};
  std::map<member_key, removal> removals_;
  std::map<member_key, model::offset> applied_;
  std::map<member_key, model::offset> settled_at_;
  /// Latest incarnation seen of each instance.
  std::map<model::instance_id, model::incarnation> latest_;
  std::set<model::instance_id> dead_;
};

}  // namespace vanillaladder::coordination
