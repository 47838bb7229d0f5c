#include <utility>

#include "coordination/detail/envelope.h"
#include "records_types.h"

namespace vanillaladder::coordination {
namespace {

using detail::checked_narrowing;

// Thrift has no unsigned types; these conversions keep the bits.
std::int64_t bits(std::uint64_t value) {
  return static_cast<std::int64_t>(value);
}

std::uint64_t bits(std::int64_t value) {
  return static_cast<std::uint64_t>(value);
}

wire::version_created to_wire(const version_created& in) {
  wire::version_created out;
  out.version = bits(in.version);
  out.base_version = bits(in.base_version);
  out.base_revision = bits(in.base_revision);
  out.author = in.author;
  out.set_keys = in.set;
  out.remove_keys = in.remove;
  return out;
}

version_created from_wire(const wire::version_created& in) {
  return {bits(in.version), bits(in.base_version), bits(in.base_revision),
          in.author,        in.set_keys,           in.remove_keys};
}

wire::patch_published to_wire(const patch_published& in) {
  wire::patch_published out;
  out.id = in.id;
  out.author = in.author;
  out.branch = in.branch;
  out.version = bits(in.version);
  out.seen_revision = bits(in.seen_revision);
  out.set_keys = in.set;
  out.remove_keys = in.remove;
  return out;
}

patch_published from_wire(const wire::patch_published& in) {
  return {in.id,
          in.author,
          in.branch,
          bits(in.version),
          bits(in.seen_revision),
          in.set_keys,
          in.remove_keys};
}

wire::member_info to_wire(const model::member_info& in) {
  wire::member_info out;
  out.id = in.id;
  out.incarnation = bits(in.incarnation);
  out.address = in.address;
  out.peer_port = in.peer_port;
  out.operator_port = in.operator_port;
  out.domain = in.domain;
  return out;
}

model::member_info from_wire(const wire::member_info& in,
                             checked_narrowing& narrow) {
  return {in.id,
          bits(in.incarnation),
          in.address,
          narrow.number<std::uint16_t>(in.peer_port),
          narrow.number<std::uint16_t>(in.operator_port),
          in.domain};
}

wire::member_left to_wire(const member_left& in) {
  wire::member_left out;
  out.instance = in.instance;
  out.incarnation = bits(in.incarnation);
  out.reason = static_cast<std::int32_t>(in.reason);
  return out;
}

member_left from_wire(const wire::member_left& in, checked_narrowing& narrow) {
  return {in.instance, bits(in.incarnation),
          narrow.enumerator(in.reason, leave_reason::expelled)};
}

wire::key_entry to_wire(const key_entry& in) {
  wire::key_entry out;
  if (in.value) {
    out.__set_value(*in.value);
  }
  out.revision = bits(in.revision);
  out.author = in.author;
  out.patch = in.patch;
  return out;
}

key_entry from_wire(const wire::key_entry& in) {
  key_entry out{std::nullopt, bits(in.revision), in.author, in.patch};
  if (in.__isset.value) {
    out.value = in.value;
  }
  return out;
}

wire::version_entry to_wire(const version_entry& in) {
  wire::version_entry out;
  out.created = to_wire(in.created);
  out.created_at = in.created_at;
  out.keys = in.keys;
  out.revision = bits(in.revision);
  return out;
}

version_entry from_wire(const wire::version_entry& in) {
  return {from_wire(in.created), in.created_at, in.keys, bits(in.revision)};
}

wire::patch_entry to_wire(const patch_entry& in) {
  wire::patch_entry out;
  out.verdict = static_cast<std::int32_t>(in.verdict);
  out.at = in.offset;
  out.version = bits(in.version);
  out.revision = bits(in.revision);
  return out;
}

patch_entry from_wire(const wire::patch_entry& in, checked_narrowing& narrow) {
  return {narrow.enumerator(in.verdict, control_verdict::snapshot_differs),
          in.at, bits(in.version), bits(in.revision)};
}

wire::membership_change to_wire(const membership_change& in) {
  wire::membership_change out;
  out.at = in.offset;
  for (const auto& [instance, incarnation] : in.members) {
    wire::member_key& added = out.members.emplace_back();
    added.instance = instance;
    added.incarnation = bits(incarnation);
  }
  if (in.left) {
    wire::member_left left;
    left.instance = in.left->member.first;
    left.incarnation = bits(in.left->member.second);
    left.reason = static_cast<std::int32_t>(in.left->reason);
    out.__set_left(left);
  }
  return out;
}

membership_change from_wire(const wire::membership_change& in,
                            checked_narrowing& narrow) {
  membership_change out;
  out.offset = in.at;
  for (const auto& member : in.members) {
    out.members.emplace(member.instance, bits(member.incarnation));
  }
  if (in.__isset.left) {
    out.left = {{in.left.instance, bits(in.left.incarnation)},
                narrow.enumerator(in.left.reason, leave_reason::replaced)};
  }
  return out;
}

wire::control_snapshot to_wire(const control_snapshot& in) {
  wire::control_snapshot out;
  out.covers = in.covers;
  out.version = bits(in.version);
  out.revision = bits(in.revision);
  for (const auto& [key, entry] : in.entries) {
    out.entries.emplace(key, to_wire(entry));
  }
  for (const auto& [version, entry] : in.versions) {
    out.versions.emplace(bits(version), to_wire(entry));
  }
  for (const auto& [id, entry] : in.patches) {
    out.patches.emplace(id, to_wire(entry));
  }
  for (const auto& [id, member] : in.members) {
    out.members.emplace(id, to_wire(member));
  }
  out.view = in.view;
  for (const auto& change : in.changes) {
    out.changes.push_back(to_wire(change));
  }
  for (const auto& [instance, history] : in.writers) {
    out.writers.emplace(instance, detail::to_wire(history));
  }
  return out;
}

control_snapshot from_wire(const wire::control_snapshot& in,
                           checked_narrowing& narrow) {
  control_snapshot out;
  out.covers = in.covers;
  out.version = bits(in.version);
  out.revision = bits(in.revision);
  for (const auto& [key, entry] : in.entries) {
    out.entries.emplace(key, from_wire(entry));
  }
  for (const auto& [version, entry] : in.versions) {
    out.versions.emplace(bits(version), from_wire(entry));
  }
  for (const auto& [id, entry] : in.patches) {
    out.patches.emplace(id, from_wire(entry, narrow));
  }
  for (const auto& [id, member] : in.members) {
    out.members.emplace(id, from_wire(member, narrow));
  }
  out.view = in.view;
  for (const auto& change : in.changes) {
    out.changes.push_back(from_wire(change, narrow));
  }
  for (const auto& [instance, history] : in.writers) {
    out.writers.emplace(instance, detail::from_wire(history));
  }
  return out;
}

struct body_writer {
  wire::control_record& out;

  void operator()(const version_created& body) const {
    out.__set_version(to_wire(body));
  }
  void operator()(const patch_published& body) const {
    out.__set_patch(to_wire(body));
  }
  void operator()(const member_joined& body) const {
    out.__set_joined(to_wire(body.member));
  }
  void operator()(const member_left& body) const {
    out.__set_left(to_wire(body));
  }
  void operator()(const control_snapshot& body) const {
    out.__set_snapshot(to_wire(body));
  }
};

int body_count(const wire::control_record& in) {
  return int{in.__isset.version} + int{in.__isset.patch} +
         int{in.__isset.joined} + int{in.__isset.left} +
         int{in.__isset.snapshot};
}

control_body read_body(const wire::control_record& in,
                       checked_narrowing& narrow) {
  if (in.__isset.version) {
    return from_wire(in.version);
  }
  if (in.__isset.patch) {
    return from_wire(in.patch);
  }
  if (in.__isset.joined) {
    return member_joined{from_wire(in.joined, narrow)};
  }
  if (in.__isset.left) {
    return from_wire(in.left, narrow);
  }
  return from_wire(in.snapshot, narrow);
}

}  // namespace

std::string encode(const control_record& record) {
  wire::control_record out;
  out.id = detail::to_wire(record.id);
  std::visit(body_writer{out}, record.body);
  return detail::encode_envelope(out);
}

absl::StatusOr<control_record> decode_control(std::string_view bytes) {
  wire::control_record in;
  if (auto status = detail::decode_envelope(bytes, in); !status.ok()) {
    return status;
  }
  if (body_count(in) == 0) {
    return detail::unknown_record();
  }
  if (body_count(in) > 1) {
    return detail::malformed_record("body");
  }
  checked_narrowing narrow;
  control_record record{detail::from_wire(in.id), read_body(in, narrow)};
  if (auto status = narrow.status(); !status.ok()) {
    return status;
  }
  return record;
}

}  // namespace vanillaladder::coordination
