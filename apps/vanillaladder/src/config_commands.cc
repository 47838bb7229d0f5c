#include <ostream>

#include "cli/commands.h"

namespace vanillaladder::cli {
namespace {

using nlohmann::json;

void print_keys(std::ostream& out, const json& body) {
  auto keys = body.value("keys", json::object());
  for (const auto& item : keys.items()) {
    out << item.key() << " = " << plain(item.value()) << "\n";
  }
}

absl::StatusOr<reply> get_version(const context& in, const char* name) {
  return in.daemon.call("GET", "/v1/config/versions/" + text_of(in.args, name));
}

/// Writes the keys that differ between two documents.
void print_difference(std::ostream& out, const json& before,
                      const json& after) {
  for (const auto& item : before.items()) {
    auto other = after.find(item.key());
    if (other == after.end()) {
      out << "- " << item.key() << " = " << plain(item.value()) << "\n";
    } else if (*other != item.value()) {
      out << "~ " << item.key() << " = " << plain(item.value()) << " -> "
          << plain(*other) << "\n";
    }
  }
  for (const auto& item : after.items()) {
    if (!before.contains(item.key())) {
      out << "+ " << item.key() << " = " << plain(item.value()) << "\n";
    }
  }
}

json difference(const json& before, const json& after) {
  json made = json::object();
  for (const auto& item : before.items()) {
    auto other = after.find(item.key());
    if (other == after.end() || *other != item.value()) {
      made[item.key()] = {item.value(), other == after.end() ? json() : *other};
    }
  }
  for (const auto& item : after.items()) {
    if (!before.contains(item.key())) {
      made[item.key()] = {json(), item.value()};
    }
  }
  return made;
}

void print_status(std::ostream& out, const json& body) {
  for (const auto& one : body.value("instances", json::array())) {
    out << plain(one.value("instance", json("?"))) << ": version "
        << plain(one.value("version", json(0))) << " revision "
        << plain(one.value("revision", json(0))) << ", applied offset "
        << plain(one.value("applied_offset", json(-1))) << ", "
        << plain(one.value("view", json("?"))) << ", in force since offset "
        << plain(one.value("since_offset", json(-1))) << "\n";
  }
}

}  // namespace

exit_code show_version(const context& in) {
  return report(in.to, get_version(in, "<n>"), access::read, print_keys);
}

exit_code diff_versions(const context& in) {
  auto before = get_version(in, "<a>");
  if (!before.ok() || before->status != 200) {
    return report(in.to, before, access::read, print_keys);
  }
  auto after = get_version(in, "<b>");
  if (!after.ok() || after->status != 200) {
    return report(in.to, after, access::read, print_keys);
  }
  auto old_keys = before->parsed().value("keys", json::object());
  auto new_keys = after->parsed().value("keys", json::object());
  if (in.to.json) {
    in.to.out << difference(old_keys, new_keys).dump(2) << "\n";
  } else {
    print_difference(in.to.out, old_keys, new_keys);
  }
  return exit_code::ok;
}

exit_code show_config(const context& in) {
  return report(in.to, in.daemon.call("GET", "/v1/config"), access::read,
                [](std::ostream& out, const json& body) {
                  out << "version " << plain(body.value("version", json(0)))
                      << " revision " << plain(body.value("revision", json(0)))
                      << " offset " << plain(body.value("offset", json(-1)))
                      << "\n";
                  print_keys(out, body);
                });
}

exit_code show_config_status(const context& in) {
  return report(in.to, in.daemon.call("GET", "/v1/config/status"), access::read,
                print_status);
}

}  // namespace vanillaladder::cli
