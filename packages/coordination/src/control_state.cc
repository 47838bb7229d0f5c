#include "coordination/control_state.h"

#include <algorithm>
#include <utility>

#include "coordination/detail/text.h"
#include "coordination/record_history.h"

namespace vanillaladder::coordination {
namespace {

using detail::concat;

constexpr std::string_view branch_prefix = "branch.";

/// @return the stored key for a key of a patch; patches for a branch change the
///   `branch.<name>.` form.
std::string full_key(std::string_view branch, const std::string& key) {
  if (branch.empty() || key.starts_with(branch_prefix)) {
    return key;
  }
  return concat({branch_prefix, branch, ".", key});
}

/// Applies the changes of a new version to the entries of its base. The entries
/// keep their authors, and their revisions restart at 0.
void apply_version(std::map<std::string, key_entry>& entries,
                   const version_created& body) {
  for (const auto& key : body.remove) {
    entries.erase(key);
  }
  for (const auto& [key, value] : body.set) {
    entries[key] = key_entry{value, 0, body.author, {}};
  }
  std::erase_if(entries, [](const auto& item) { return !item.second.value; });
  for (auto& [key, entry] : entries) {
    entry.revision = 0;
  }
}

std::vector<key_change> compare(const config_keys& from,
                                const config_keys& to) {
  std::map<std::string, key_change> changes;
  for (const auto& [key, value] : from) {
    changes[key] = {key, value, std::nullopt};
  }
  for (const auto& [key, value] : to) {
    auto& change = changes[key];
    change.key = key;
    change.after = value;
  }
  std::vector<key_change> out;
  for (auto& [key, change] : changes) {
    if (change.before != change.after) {
      out.push_back(std::move(change));
    }
  }
  return out;
}

template <class Map, class Less>
void keep_newest(Map& map, std::size_t limit, Less older) {
  while (map.size() > limit) {
    map.erase(std::min_element(map.begin(), map.end(), older));
  }
}

bool consistent(const control_snapshot& data) {
  auto revision_exists = [&](const auto& item) {
    return item.second.revision <= data.revision;
  };
  auto id_matches_key = [](const auto& item) {
    return item.first == item.second.id && item.second.incarnation > 0;
  };
  return data.covers >= -1 && data.view <= data.covers &&
         data.versions.size() <= control_state::max_versions &&
         data.patches.size() <= control_state::max_patches &&
         data.changes.size() <= control_state::max_changes &&
         data.writers.size() <= max_writers &&
         std::all_of(data.entries.begin(), data.entries.end(),
                     revision_exists) &&
         std::all_of(data.members.begin(), data.members.end(), id_matches_key);
}

}  // namespace

bool control_result::valid() const {
  return verdict == control_verdict::accepted ||
         verdict == control_verdict::snapshot_matched ||
         verdict == control_verdict::snapshot_skipped;
}

control_result control_state::apply(model::offset offset,
                                    const control_record& record) {
  // A snapshot describes the state before the record that carries it.
  if (const auto* body = std::get_if<control_snapshot>(&record.body)) {
    control_result compared = apply_body(offset, *body);
    register_record(data_.writers, record.id, offset);
    skip(offset);
    return compared;
  }
  record_id_status id_status =
      register_record(data_.writers, record.id, offset);
  skip(offset);
  if (id_status == record_id_status::duplicate) {
    return make_result(control_verdict::duplicate_record, offset);
  }
  if (id_status == record_id_status::stale_incarnation) {
    return make_result(control_verdict::stale_incarnation, offset);
  }
  return std::visit([&](const auto& body) { return apply_body(offset, body); },
                    record.body);
}

void control_state::skip(model::offset offset) {
  data_.covers = std::max(data_.covers, offset);
}

control_result control_state::make_result(control_verdict verdict,
                                          model::offset offset) const {
  return {verdict, offset, data_.version, data_.revision, {}};
}

control_result control_state::apply_body(model::offset offset,
                                         const version_created& body) {
  auto known = data_.versions.find(body.version);
  if (known != data_.versions.end() && known->second.created == body) {
    return {control_verdict::accepted,
            known->second.created_at,
            body.version,
            known->second.revision,
            {}};
  }
  if (body.version != data_.version + 1 || body.base_version != data_.version) {
    return make_result(control_verdict::stale_version, offset);
  }
  if (body.base_revision != data_.revision) {
    return make_result(control_verdict::stale_revision, offset);
  }
  version_entry& base = data_.versions[data_.version];
  base.keys = document();
  base.revision = data_.revision;
  apply_version(data_.entries, body);
  data_.version = body.version;
  data_.revision = 0;
  data_.versions[body.version] = version_entry{body, offset, {}, 0};
  keep_newest(data_.versions, max_versions,
              [](const auto& a, const auto& b) { return a.first < b.first; });
  return make_result(control_verdict::accepted, offset);
}

control_result control_state::apply_body(model::offset offset,
                                         const patch_published& body) {
  // Repeats get the verdict on the first record with the same patch id.
  // Otherwise a delayed copy could apply a patch that its author was told is
  // rejected.
  if (auto first = find_patch(body.id)) {
    control_result first_result{
        first->verdict, first->offset, first->version, first->revision, {}};
    if (first->verdict == control_verdict::conflict) {
      first_result.conflicts = find_conflicts(body);
    }
    return first_result;
  }
  control_result decision = decide_patch(offset, body);
  if (decision.verdict == control_verdict::accepted) {
    apply_patch(body);
    decision.revision = data_.revision;
  }
  remember_patch(body.id, decision);
  return decision;
}

control_result control_state::decide_patch(model::offset offset,
                                           const patch_published& body) {
  if (body.version != data_.version) {
    return make_result(control_verdict::stale_version, offset);
  }
  if (body.seen_revision > data_.revision) {
    return make_result(control_verdict::stale_revision, offset);
  }
  auto conflicts = find_conflicts(body);
  if (!conflicts.empty()) {
    control_result refused = make_result(control_verdict::conflict, offset);
    refused.conflicts = std::move(conflicts);
    return refused;
  }
  return make_result(control_verdict::accepted, offset);
}

std::vector<key_conflict> control_state::find_conflicts(
    const patch_published& body) const {
  std::vector<key_conflict> conflicts;
  auto add_if_conflicting = [&](const std::string& name,
                                std::optional<std::string> yours) {
    std::string key = full_key(body.branch, name);
    auto found = data_.entries.find(key);
    if (found == data_.entries.end() ||
        found->second.revision <= body.seen_revision) {
      return;
    }
    const key_entry& entry = found->second;
    conflicts.push_back({std::move(key), std::move(yours), entry.value,
                         body.author, entry.author, entry.patch});
  };
  for (const auto& [key, value] : body.set) {
    add_if_conflicting(key, value);
  }
  for (const auto& key : body.remove) {
    if (!body.set.contains(key)) {
      add_if_conflicting(key, std::nullopt);
    }
  }
  return conflicts;
}

void control_state::apply_patch(const patch_published& body) {
  ++data_.revision;
  auto set = [&](const std::string& key, std::optional<std::string> value) {
    data_.entries[full_key(body.branch, key)] =
        key_entry{std::move(value), data_.revision, body.author, body.id};
  };
  for (const auto& key : body.remove) {
    set(key, std::nullopt);
  }
  for (const auto& [key, value] : body.set) {
    set(key, value);
  }
}

void control_state::remember_patch(const std::string& id,
                                   const control_result& decision) {
  data_.patches[id] = {decision.verdict, decision.decided_at, decision.version,
                       decision.revision};
  keep_newest(data_.patches, max_patches, [](const auto& a, const auto& b) {
    return a.second.offset < b.second.offset;
  });
}

control_result control_state::apply_body(model::offset offset,
                                         const member_joined& body) {
  const model::member_info& joined = body.member;
  auto has_left = [&](const membership_change& change) {
    return change.left && change.left->member.first == joined.id &&
           change.left->member.second >= joined.incarnation;
  };
  const auto* present = find_member(joined.id);
  if (joined.id.empty() || joined.incarnation == 0 ||
      (present != nullptr && present->incarnation >= joined.incarnation) ||
      std::any_of(data_.changes.begin(), data_.changes.end(), has_left)) {
    return make_result(control_verdict::stale_member, offset);
  }
  std::optional<departure> left;
  if (present != nullptr) {
    left = {{joined.id, present->incarnation}, leave_reason::replaced};
  }
  data_.members[joined.id] = joined;
  record_view_change(offset, std::move(left));
  return make_result(control_verdict::accepted, offset);
}

control_result control_state::apply_body(model::offset offset,
                                         const member_left& body) {
  if (!is_member(body.instance, body.incarnation)) {
    return make_result(control_verdict::stale_member, offset);
  }
  data_.members.erase(body.instance);
  record_view_change(offset,
                     departure{{body.instance, body.incarnation}, body.reason});
  return make_result(control_verdict::accepted, offset);
}

control_result control_state::apply_body(model::offset offset,
                                         const control_snapshot& body) {
  if (body.covers != data_.covers) {
    return make_result(control_verdict::snapshot_skipped, offset);
  }
  return make_result(body == data_ ? control_verdict::snapshot_matched
                                   : control_verdict::snapshot_differs,
                     offset);
}

void control_state::record_view_change(model::offset offset,
                                       std::optional<departure> left) {
  data_.view = offset;
  membership_change change{offset, {}, std::move(left)};
  for (const auto& [id, member] : data_.members) {
    change.members.emplace(id, member.incarnation);
  }
  data_.changes.push_back(std::move(change));
  if (data_.changes.size() > max_changes) {
    data_.changes.erase(data_.changes.begin());
  }
}

config_keys control_state::document() const {
  config_keys keys;
  for (const auto& [key, entry] : data_.entries) {
    if (entry.value) {
      keys.emplace(key, *entry.value);
    }
  }
  return keys;
}

std::optional<config_keys> control_state::find_version(
    std::uint64_t version) const {
  if (version == data_.version) {
    return document();
  }
  auto found = data_.versions.find(version);
  return found == data_.versions.end() ? std::nullopt
                                       : std::optional(found->second.keys);
}

config_keys control_state::effective(std::string_view branch) const {
  config_keys keys;
  std::string prefix = concat({branch_prefix, branch, "."});
  for (const auto& [key, entry] : data_.entries) {
    if (entry.value && !key.starts_with(branch_prefix)) {
      keys.emplace(key, *entry.value);
    }
  }
  auto branch_entry = data_.entries.lower_bound(prefix);
  for (; !branch.empty() && branch_entry != data_.entries.end() &&
         branch_entry->first.starts_with(prefix);
       ++branch_entry) {
    if (branch_entry->second.value) {
      keys[branch_entry->first.substr(prefix.size())] =
          *branch_entry->second.value;
    }
  }
  return keys;
}

std::optional<std::string> control_state::value(std::string_view key,
                                                std::string_view branch) const {
  if (!branch.empty()) {
    auto branch_entry =
        data_.entries.find(concat({branch_prefix, branch, ".", key}));
    if (branch_entry != data_.entries.end() && branch_entry->second.value) {
      return branch_entry->second.value;
    }
  }
  auto found = data_.entries.find(std::string(key));
  return found == data_.entries.end() ? std::nullopt : found->second.value;
}

absl::StatusOr<std::vector<key_change>> control_state::diff(
    std::uint64_t from, std::uint64_t to) const {
  auto before = find_version(from);
  auto after = find_version(to);
  if (!before || !after) {
    return absl::NotFoundError(absl::StrCat("diff versions: version ",
                                            before ? to : from,
                                            " is unknown or no longer kept"));
  }
  return compare(*before, *after);
}

std::optional<patch_entry> control_state::find_patch(
    const std::string& id) const {
  auto found = data_.patches.find(id);
  return found == data_.patches.end() ? std::nullopt
                                      : std::optional(found->second);
}

membership_view control_state::view() const {
  membership_view view{data_.view, {}};
  for (const auto& [id, member] : data_.members) {
    view.members.push_back(member);
  }
  return view;
}

const model::member_info* control_state::find_member(
    const model::instance_id& id) const {
  auto found = data_.members.find(id);
  return found == data_.members.end() ? nullptr : &found->second;
}

bool control_state::is_member(const model::instance_id& id,
                              model::incarnation incarnation) const {
  const auto* member = find_member(id);
  return member != nullptr && member->incarnation == incarnation;
}

absl::StatusOr<control_state> control_state::from_snapshot(
    const control_snapshot& snapshot) {
  if (!consistent(snapshot)) {
    return absl::InvalidArgumentError("load control snapshot: inconsistent");
  }
  control_state state;
  state.data_ = snapshot;
  return state;
}

}  // namespace vanillaladder::coordination
