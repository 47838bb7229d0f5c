#include <ostream>

#include "cli/commands.h"

namespace vanillaladder::cli {
namespace {

using nlohmann::json;

void print_keys(std::ostream& out, const json& body) {
  auto keys = body.value("keys", json::object());
  for (const auto& item : keys.items()) {
    out << item.key() << " = " << to_plain_text(item.value()) << "\n";
  }
}

absl::StatusOr<reply> get_version(const context& ctx, const char* name) {
  return ctx.daemon.call("GET",
                         "/v1/config/versions/" + text_option(ctx.args, name));
}

/// Writes the keys that differ between two documents.
void print_difference(std::ostream& out, const json& before,
                      const json& after) {
  for (const auto& item : before.items()) {
    auto other = after.find(item.key());
    if (other == after.end()) {
      out << "- " << item.key() << " = " << to_plain_text(item.value()) << "\n";
    } else if (*other != item.value()) {
      out << "~ " << item.key() << " = " << to_plain_text(item.value())
          << " -> " << to_plain_text(*other) << "\n";
    }
  }
  for (const auto& item : after.items()) {
    if (!before.contains(item.key())) {
      out << "+ " << item.key() << " = " << to_plain_text(item.value()) << "\n";
    }
  }
}

json difference(const json& before, const json& after) {
  json changes = json::object();
  for (const auto& item : before.items()) {
    auto other = after.find(item.key());
    if (other == after.end() || *other != item.value()) {
      changes[item.key()] = {item.value(),
                             other == after.end() ? json() : *other};
    }
  }
  for (const auto& item : after.items()) {
    if (!before.contains(item.key())) {
      changes[item.key()] = {json(), item.value()};
    }
  }
  return changes;
}

void print_status(std::ostream& out, const json& body) {
  for (const auto& entry : body.value("instances", json::array())) {
    out << to_plain_text(entry.value("instance", json("?"))) << ": version "
        << to_plain_text(entry.value("version", json(0))) << " revision "
        << to_plain_text(entry.value("revision", json(0)))
        << ", applied offset "
        << to_plain_text(entry.value("applied_offset", json(-1))) << ", "
        << to_plain_text(entry.value("view", json("?")))
        << ", in force since offset "
        << to_plain_text(entry.value("since_offset", json(-1))) << "\n";
  }
}

}  // namespace

exit_code show_version(const context& ctx) {
  return report(ctx.sink, get_version(ctx, "<n>"), access::read, print_keys);
}

exit_code diff_versions(const context& ctx) {
  auto before = get_version(ctx, "<a>");
  if (!before.ok() || before->status != 200) {
    return report(ctx.sink, before, access::read, print_keys);
  }
  auto after = get_version(ctx, "<b>");
  if (!after.ok() || after->status != 200) {
    return report(ctx.sink, after, access::read, print_keys);
  }
  auto old_keys = before->parsed().value("keys", json::object());
  auto new_keys = after->parsed().value("keys", json::object());
  if (ctx.sink.json) {
    ctx.sink.out << difference(old_keys, new_keys).dump(2) << "\n";
  } else {
    print_difference(ctx.sink.out, old_keys, new_keys);
  }
  return exit_code::ok;
}

exit_code show_config(const context& ctx) {
  return report(ctx.sink, ctx.daemon.call("GET", "/v1/config"), access::read,
                [](std::ostream& out, const json& body) {
                  out << "version "
                      << to_plain_text(body.value("version", json(0)))
                      << " revision "
                      << to_plain_text(body.value("revision", json(0)))
                      << " offset "
                      << to_plain_text(body.value("offset", json(-1))) << "\n";
                  print_keys(out, body);
                });
}

exit_code show_config_status(const context& ctx) {
  return report(ctx.sink, ctx.daemon.call("GET", "/v1/config/status"),
                access::read, print_status);
}

}  // namespace vanillaladder::cli
