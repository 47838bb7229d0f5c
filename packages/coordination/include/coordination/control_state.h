#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/records.h"

namespace vanillaladder::coordination {

/// A key on which a patch conflicts with an earlier one.
struct key_conflict {
  std::string key;
  /// Value of the rejected patch; empty if it removes the key.
  std::optional<std::string> yours;
  /// Value in force; empty if the key was removed.
  std::optional<std::string> theirs;
  std::string your_author;
  std::string their_author;
  std::string their_patch;

  bool operator==(const key_conflict&) const = default;
};

/// Outcome of one control record.
struct control_result {
  control_verdict verdict = control_verdict::accepted;
  /// Offset of the record that determined the verdict: this one, or the first
  /// with the same patch id or version.
  model::offset decided_at = -1;
  /// Version and revision after the record that determined the verdict.
  std::uint64_t version = 0;
  std::uint64_t revision = 0;
  std::vector<key_conflict> conflicts;

  /// @return whether the requested change is part of the state.
  bool valid() const;
};

/// Members after a `member_joined` or `member_left` record.
struct membership_view {
  /// Offset of the membership record; -1 before the first one.
  model::offset offset = -1;
  std::vector<model::member_info> members;

  bool operator==(const membership_view&) const = default;
};

/// A difference between two documents; an empty value means that the key is
/// absent.
struct key_change {
  std::string key;
  std::optional<std::string> before;
  std::optional<std::string> after;

  bool operator==(const key_change&) const = default;
};

/// Replicated state of the stream `control`: configuration versions, patches
/// and members. Every reader builds the same state by applying the records in
/// order.
class control_state {
 public:
  /// Versions kept for `find_version` and `diff`, the current one included.
  static constexpr std::size_t max_versions = 8;
  /// Patch ids kept for recognising repeated patches.
  static constexpr std::size_t max_patches = 1024;
  /// Membership changes kept; each is needed until its transition is complete.
  static constexpr std::size_t max_changes = 64;

  /// Applies the record at an offset. Offsets must increase; the result is a
  /// pure function of this record and those before it.
  control_result apply(model::offset offset, const control_record& record);

  /// Advances past a record that cannot be decoded.
  void skip(model::offset offset);

  /// @return the last offset applied or skipped; -1 before the first.
  model::offset applied() const { return data_.covers; }
  std::uint64_t version() const { return data_.version; }
  /// @return the number of accepted patches on the current version.
  std::uint64_t revision() const { return data_.revision; }

  /// @return the current document, with the overrides of all branches.
  config_keys document() const;
  /// @return the document of a version at its last revision; empty if the
  ///   version is unknown or no longer kept.
  std::optional<config_keys> find_version(std::uint64_t version) const;
  /// @return the effective keys of a branch: `branch.<name>.<key>` overrides
  ///   `<key>`; keys of other branches are left out.
  config_keys effective(std::string_view branch) const;
  /// @return the effective value of one key for a branch.
  std::optional<std::string> value(std::string_view key,
                                   std::string_view branch = {}) const;
  /// @return the differences between two versions, sorted by key; NOT_FOUND if
  ///   one of them is unknown or no longer kept.
  absl::StatusOr<std::vector<key_change>> diff(std::uint64_t from,
                                               std::uint64_t to) const;

  /// @return the verdict on a patch id, if it is still kept.
  std::optional<patch_entry> find_patch(const std::string& id) const;

  membership_view view() const;
  /// @return the member with this id, or null.
  const model::member_info* find_member(const model::instance_id& id) const;
  /// @return whether this incarnation of the instance is a member.
  bool is_member(const model::instance_id& id,
                 model::incarnation incarnation) const;
  /// @return the latest membership changes, oldest first.
  const std::vector<membership_change>& changes() const {
    return data_.changes;
  }

  control_snapshot to_snapshot() const { return data_; }
  /// @return the state, or INVALID_ARGUMENT for an inconsistent snapshot.
  static absl::StatusOr<control_state> from_snapshot(
      const control_snapshot& snapshot);

  bool operator==(const control_state&) const = default;

 private:
  control_result apply_body(model::offset offset, const version_created& body);
  control_result apply_body(model::offset offset, const patch_published& body);
  control_result apply_body(model::offset offset, const member_joined& body);
  control_result apply_body(model::offset offset, const member_left& body);
  control_result apply_body(model::offset offset, const control_snapshot& body);
  control_result decide_patch(model::offset offset,
                              const patch_published& body);
  control_result make_result(control_verdict verdict,
                             model::offset offset) const;
  std::vector<key_conflict> find_conflicts(const patch_published& body) const;
  void apply_patch(const patch_published& body);
  void remember_patch(const std::string& id, const control_result& decision);
  void record_view_change(model::offset offset, std::optional<departure> left);

  control_snapshot data_;
};

}  // namespace vanillaladder::coordination
