#include "coordination/control_state.h"

#include <algorithm>
#include <utility>

#include "coordination/detail/text.h"
#include "coordination/record_history.h"

namespace vanillaladder::coordination {
namespace {

using detail::concat;

constexpr std::string_view branch_prefix = "branch.";

/// Key that a patch for a branch changes.
std::string full_key(std::string_view branch, const std::string& key) {
  if (branch.empty() || key.starts_with(branch_prefix)) {
    return key;
  }
  return concat({branch_prefix, branch, ".", key});
}

/// Applies a version's changes to the entries of its base. The entries keep
/// their authors, but count as unchanged since the version was made.
void start_version(std::map<std::string, key_entry>& entries,
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
  auto known_revision = [&](const auto& item) {
    return item.second.revision <= data.revision;
  };
  auto own_id = [](const auto& item) {
    return item.first == item.second.id && item.second.incarnation > 0;
  };
  return data.covers >= -1 && data.view <= data.covers &&
         data.versions.size() <= control_state::max_versions &&
         data.patches.size() <= control_state::max_patches &&
         data.changes.size() <= control_state::max_changes &&
         data.writers.size() <= max_writers &&
         std::all_of(data.entries.begin(), data.entries.end(),
                     known_revision) &&
         std::all_of(data.members.begin(), data.members.end(), own_id);
}

}  // namespace

bool control_result::valid() const {
  return verdict == control_verdict::accepted ||
         verdict == control_verdict::snapshot_matched ||
         verdict == control_verdict::snapshot_skipped;
}

control_result control_state::apply(model::offset offset,
                                    const control_record& record) {
  // A snapshot describes the state before its own record.
  if (const auto* body = std::get_if<control_snapshot>(&record.body)) {
    control_result compared = visit(offset, *body);
    register_record(data_.writers, record.id, offset);
    skip(offset);
    return compared;
  }
  record_id_status novelty = register_record(data_.writers, record.id, offset);
  skip(offset);
  if (novelty == record_id_status::duplicate) {
    return result(control_verdict::duplicate_record, offset);
  }
  if (novelty == record_id_status::stale_incarnation) {
    return result(control_verdict::stale_incarnation, offset);
  }
  return std::visit([&](const auto& body) { return visit(offset, body); },
                    record.body);
}

void control_state::skip(model::offset offset) {
  data_.covers = std::max(data_.covers, offset);
}

control_result control_state::result(control_verdict verdict,
                                     model::offset offset) const {
  return {verdict, offset, data_.version, data_.revision, {}};
}

control_result control_state::visit(model::offset offset,
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
    return result(control_verdict::stale_version, offset);
  }
  if (body.base_revision != data_.revision) {
    return result(control_verdict::stale_revision, offset);
  }
  version_entry& base = data_.versions[data_.version];
  base.keys = document();
  base.revision = data_.revision;
  start_version(data_.entries, body);
  data_.version = body.version;
  data_.revision = 0;
  data_.versions[body.version] = version_entry{body, offset, {}, 0};
  keep_newest(data_.versions, max_versions,
              [](const auto& a, const auto& b) { return a.first < b.first; });
  return result(control_verdict::accepted, offset);
}

control_result control_state::visit(model::offset offset,
                                    const patch_published& body) {
  // The first record with a patch id decides for all repeats, so that an
  // operator who was told "rejected" is not contradicted by a late copy.
  if (auto first = find_patch(body.id)) {
    control_result repeated{
        first->verdict, first->offset, first->version, first->revision, {}};
    if (first->verdict == control_verdict::conflict) {
      repeated.conflicts = find_conflicts(body);
    }
    return repeated;
  }
  control_result decided = decide_patch(offset, body);
  if (decided.verdict == control_verdict::accepted) {
    set_entries(body);
    decided.revision = data_.revision;
  }
  remember_patch(body.id, decided);
  return decided;
}

control_result control_state::decide_patch(model::offset offset,
                                           const patch_published& body) {
  if (body.version != data_.version) {
    return result(control_verdict::stale_version, offset);
  }
  if (body.seen_revision > data_.revision) {
    return result(control_verdict::stale_revision, offset);
  }
  auto conflicts = find_conflicts(body);
  if (!conflicts.empty()) {
    control_result refused = result(control_verdict::conflict, offset);
    refused.conflicts = std::move(conflicts);
    return refused;
  }
  return result(control_verdict::accepted, offset);
}

std::vector<key_conflict> control_state::find_conflicts(
    const patch_published& body) const {
  std::vector<key_conflict> conflicts;
  auto test = [&](const std::string& name, std::optional<std::string> yours) {
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
    test(key, value);
  }
  for (const auto& key : body.remove) {
    if (!body.set.contains(key)) {
      test(key, std::nullopt);
    }
  }
  return conflicts;
}

void control_state::set_entries(const patch_published& body) {
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
                                   const control_result& decided) {
  data_.patches[id] = {decided.verdict, decided.decided_at, decided.version,
                       decided.revision};
  keep_newest(data_.patches, max_patches, [](const auto& a, const auto& b) {
    return a.second.offset < b.second.offset;
  });
}

control_result control_state::visit(model::offset offset,
                                    const member_joined& body) {
  const model::member_info& joined = body.member;
  auto left_later = [&](const membership_change& change) {
    return change.left && change.left->member.first == joined.id &&
           change.left->member.second >= joined.incarnation;
  };
  const auto* present = find_member(joined.id);
  if (joined.id.empty() || joined.incarnation == 0 ||
      (present != nullptr && present->incarnation >= joined.incarnation) ||
      std::any_of(data_.changes.begin(), data_.changes.end(), left_later)) {
    return result(control_verdict::stale_member, offset);
  }
  std::optional<departure> left;
  if (present != nullptr) {
    left = {{joined.id, present->incarnation}, leave_reason::replaced};
  }
  data_.members[joined.id] = joined;
  change_view(offset, std::move(left));
  return result(control_verdict::accepted, offset);
}

control_result control_state::visit(model::offset offset,
                                    const member_left& body) {
  if (!is_member(body.instance, body.incarnation)) {
    return result(control_verdict::stale_member, offset);
  }
  data_.members.erase(body.instance);
  change_view(offset,
              departure{{body.instance, body.incarnation}, body.reason});
  return result(control_verdict::accepted, offset);
}

control_result control_state::visit(model::offset offset,
                                    const control_snapshot& body) {
  if (body.covers != data_.covers) {
    return result(control_verdict::snapshot_skipped, offset);
  }
  return result(body == data_ ? control_verdict::snapshot_matched
                              : control_verdict::snapshot_differs,
                offset);
}

void control_state::change_view(model::offset offset,
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
  std::string own = concat({branch_prefix, branch, "."});
  for (const auto& [key, entry] : data_.entries) {
    if (entry.value && !key.starts_with(branch_prefix)) {
      keys.emplace(key, *entry.value);
    }
  }
  auto from = data_.entries.lower_bound(own);
  for (; !branch.empty() && from != data_.entries.end() &&
         from->first.starts_with(own);
       ++from) {
    if (from->second.value) {
      keys[from->first.substr(own.size())] = *from->second.value;
    }
  }
  return keys;
}

std::optional<std::string> control_state::value(std::string_view key,
                                                std::string_view branch) const {
  if (!branch.empty()) {
    auto own = data_.entries.find(concat({branch_prefix, branch, ".", key}));
    if (own != data_.entries.end() && own->second.value) {
      return own->second.value;
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
