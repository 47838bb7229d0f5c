#include "coordination/slot_grants.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace vanillaladder::coordination {
namespace {

using rank = std::pair<std::uint64_t, std::string_view>;

rank rank_of(std::string_view backend, std::string_view instance) {
  std::string text(backend);
  text.push_back('\0');
  text.append(instance);
  return {XXH64(text.data(), text.size(), 0), instance};
}

}  // namespace

std::uint32_t slots_granted(const std::set<member_key>& members,
                            std::string_view backend, std::uint32_t slots,
                            const model::instance_id& instance) {
  auto own_rank = rank_of(backend, instance);
  std::uint32_t ranked_before = 0;
  bool is_member = false;
  for (const auto& [id, incarnation] : members) {
    is_member = is_member || id == instance;
    ranked_before += rank_of(backend, id) < own_rank ? 1 : 0;
  }
  if (!is_member) {
    return 0;
  }
  auto count = static_cast<std::uint32_t>(members.size());
  return slots / count + (ranked_before < slots % count ? 1 : 0);
}

void grant_tracker::on_state(const control_state& state,
                             model::time_point now) {
  for (const auto& change : state.changes()) {
    if (change.offset > newest_view()) {
      add_change(change);
    }
  }
  applied_offsets_[self_] = newest_view();
  dead_instances_.clear();
  for (const auto& [member, removed] : removals_) {
    const auto& id = member.first;
    if (state.value("instance." + id + ".state") == "dead") {
      dead_instances_.insert(id);
    }
  }
  on_tick(now);
  erase_unused(now);
}

void grant_tracker::add_change(const membership_change& change) {
  if (change.left) {
    add_removal(change.left->member, change.left->reason, change.offset);
  }
  // Members can disappear without a removal record if the kept changes no
  // longer reach back to the newest view known here.
  for (const auto& earlier : active_views_) {
    for (const auto& member : earlier.members) {
      if (!change.members.contains(member)) {
        add_removal(member, leave_reason::expelled, change.offset);
      }
    }
  }
  for (const auto& [id, incarnation] : change.members) {
    auto& latest = latest_incarnations_[id];
    latest = std::max(latest, incarnation);
  }
  active_views_.push_back(change);
}

void grant_tracker::add_removal(const member_key& member, leave_reason reason,
                                model::offset offset) {
  removals_.try_emplace(member, removal{reason, offset, std::nullopt});
}

void grant_tracker::on_report(const grant_report& report,
                              model::time_point now) {
  auto raise_offset = [&](std::map<member_key, model::offset>& offsets) {
    auto& known = offsets.try_emplace(report.member, -1).first->second;
    known = std::max(known, report.applied_view);
  };
  raise_offset(applied_offsets_);
  if (report.within_grant) {
    raise_offset(compliant_at_);
  }
  on_tick(now);
}

void grant_tracker::on_tick(model::time_point now) {
  confirm_removals(now);
  for (std::size_t index = active_views_.size(); index-- > 1;) {
    if (supersedes_earlier(index, now)) {
      active_views_.erase(
          active_views_.begin(),
          active_views_.begin() + static_cast<std::ptrdiff_t>(index));
      return;
    }
  }
}

void grant_tracker::confirm_removals(model::time_point now) {
  model::offset confirmed = active_views_.front().offset;
  for (std::size_t i = 1; i < active_views_.size() && change_confirmed(i);
       ++i) {
    confirmed = active_views_[i].offset;
  }
  for (auto& [member, removed] : removals_) {
    if (!removed.confirmed &&
        (removed.offset <= confirmed || is_fenced(member))) {
      removed.confirmed = now;
    }
  }
}

bool grant_tracker::change_confirmed(std::size_t index) const {
  const auto& before = active_views_[index - 1].members;
  const auto& change = active_views_[index];
  return majority_applied(before, change.offset) ||
         majority_applied(change.members, change.offset);
}

bool grant_tracker::majority_applied(const std::set<member_key>& members,
                                     model::offset offset) const {
  auto count = std::count_if(
      members.begin(), members.end(), [&](const member_key& member) {
        auto found = applied_offsets_.find(member);
        return (found != applied_offsets_.end() && found->second >= offset) ||
               is_fenced(member);
      });
  return static_cast<std::size_t>(count) > members.size() / 2;
}

bool grant_tracker::is_fenced(const member_key& member) const {
  auto latest = latest_incarnations_.find(member.first);
  if (latest != latest_incarnations_.end() && latest->second > member.second) {
    return true;
  }
  auto removed = removals_.find(member);
  return removed != removals_.end() &&
         (removed->second.reason == leave_reason::graceful ||
          dead_instances_.contains(member.first));
}

bool grant_tracker::is_compliant(const member_key& member,
                                 model::offset offset) const {
  auto found = compliant_at_.find(member);
  return found != compliant_at_.end() && found->second >= offset;
}

bool grant_tracker::supersedes_earlier(std::size_t index,
                                       model::time_point now) const {
  model::offset offset = active_views_[index].offset;
  // If this daemon joined after a removal, the removed member may still use the
  // grant of a view that is older than all views known here.
  for (const auto& [member, removed] : removals_) {
    if (removed.offset <= offset && !is_inactive(removed, now)) {
      return false;
    }
  }
  for (std::size_t i = 0; i <= index; ++i) {
    const auto& members = active_views_[i].members;
    if (!std::all_of(
            members.begin(), members.end(), [&](const member_key& member) {
              return is_compliant(member, offset) || is_inactive(member, now);
            })) {
      return false;
    }
  }
  return true;
}

bool grant_tracker::is_inactive(const member_key& member,
                                model::time_point now) const {
  auto found = removals_.find(member);
  return found != removals_.end() && is_inactive(found->second, now);
}

bool grant_tracker::is_inactive(const removal& removed,
                                model::time_point now) const {
  return removed.reason == leave_reason::graceful ||
         (removed.confirmed && now - *removed.confirmed >= handover_);
}

void grant_tracker::erase_unused(model::time_point now) {
  auto in_use = [&](const member_key& member) {
    return std::any_of(active_views_.begin(), active_views_.end(),
                       [&](const membership_change& view) {
                         return view.members.contains(member);
                       });
  };
  std::erase_if(applied_offsets_,
                [&](const auto& item) { return !in_use(item.first); });
  std::erase_if(compliant_at_,
                [&](const auto& item) { return !in_use(item.first); });
  std::erase_if(removals_, [&](const auto& item) {
    return is_inactive(item.second, now) && !in_use(item.first);
  });
  std::erase_if(latest_incarnations_, [&](const auto& item) {
    return !in_use({item.first, item.second}) &&
           removals_.lower_bound({item.first, 0}) ==
               removals_.upper_bound({item.first, item.second});
  });
}

std::uint32_t grant_tracker::limit(std::string_view backend,
                                   std::uint32_t slots) const {
  std::uint32_t smallest = slots;
  for (const auto& view : active_views_) {
    std::uint32_t granted =
        view.members.contains(self_)
            ? slots_granted(view.members, backend, slots, self_.first)
            : 0;
    smallest = std::min(smallest, granted);
  }
  return smallest;
}

}  // namespace vanillaladder::coordination
