#include <cstdlib>
#include <ostream>

#include "cli/commands.h"

namespace vanillaladder::cli {
namespace {

using nlohmann::json;

std::string author_of(const context& in) {
  auto author = text_of(in.args, "--author");
  const char* user = std::getenv("USER");
  if (author.empty() && user != nullptr) {
    author = user;
  }
  return author.empty() ? "operator" : author;
}

/// Writes the conflicts and errors of a refused change, with the lines of the
/// operator's file.
void print_refusal(const output& to, const change& what, const json& body) {
  for (const auto& one : body.value("conflicts", json::array())) {
    auto key = one.value("key", "");
    to.err << place_of(what, key) << key << ": yours " << plain(one["yours"])
           << ", theirs " << plain(one["theirs"]) << " by "
           << one.value("their_author", "?") << " in patch "
           << one.value("their_patch", "?") << "\n";
  }
  for (const auto& one : body.value("errors", json::array())) {
    auto key = one.value("key", "");
    to.err << place_of(what, key) << key << ": " << one.value("message", "")
           << "; allowed: " << one.value("allowed", "") << "\n";
  }
}

exit_code send_change(const context& in, const change& what,
                      const std::string& target, const json& body) {
  auto answer = in.daemon.call("POST", target, body);
  auto code = report(
      in.to, answer, access::write, [](std::ostream& out, const json& made) {
        out << plain(made.value("result", json("accepted"))) << ": version "
            << plain(made.value("version", json(0))) << " revision "
            << plain(made.value("revision", json(0))) << " offset "
            << plain(made.value("offset", json(-1))) << "\n";
      });
  if (answer.ok() && answer->parsed().is_object() && code != exit_code::ok) {
    print_refusal(in.to, what, answer->parsed());
  }
  return code;
}

/// Reads the current version and revision into what a change leaves open.
absl::Status complete(const context& in, change& what) {
  if (what.version && what.seen_revision) {
    return absl::OkStatus();
  }
  auto config = in.daemon.call("GET", "/v1/config");
  if (!config.ok()) {
    // Nothing has been changed by a read that was not answered.
    return absl::IsUnknown(config.status())
               ? absl::UnavailableError(config.status().message())
               : config.status();
  }
  auto body = config->parsed();
  if (config->status != 200 || !body.is_object()) {
    return absl::UnavailableError("read configuration: answer " +
                                  std::to_string(config->status));
  }
  what.version = what.version.value_or(body.value("version", 0));
  what.seen_revision = what.seen_revision.value_or(body.value("revision", 0));
  return absl::OkStatus();
}

absl::StatusOr<change> change_from_options(const context& in) {
  change made;
  made.author = author_of(in);
  made.branch = text_of(in.args, "--branch");
  made.id = text_of(in.args, "--id");
  for (const auto& assignment : in.args.at("--set").asStringList()) {
    if (auto status = add_assignment(made, assignment); !status.ok()) {
      return status;
    }
  }
  made.remove = in.args.at("--remove").asStringList();
  auto version = number_of(in.args, "--version");
  auto revision = number_of(in.args, "--revision");
  if (!version.ok() || !revision.ok()) {
    return version.ok() ? revision.status() : version.status();
  }
  made.version = *version;
  made.seen_revision = *revision;
  auto checked = check_change(made);
  return checked.ok() ? absl::StatusOr<change>(made) : checked;
}

/// Publishes one key with the current version and revision.
exit_code set_key(const context& in, const std::string& key,
                  const std::string& value) {
  change patch;
  patch.author = author_of(in);
  patch.set[key] = value;
  if (auto checked = check_change(patch); !checked.ok()) {
    return report_invalid(in.to, checked);
  }
  if (auto known = complete(in, patch); !known.ok()) {
    return report(in.to, known, access::write, {});
  }
  return send_patch(in, patch);
}

}  // namespace

exit_code send_patch(const context& in, const change& patch) {
  json body = {
      {"id", id_of(patch)},        {"author", patch.author},
      {"version", *patch.version}, {"seen_revision", *patch.seen_revision},
      {"set", patch.set},          {"remove", patch.remove}};
  if (!patch.branch.empty()) {
    body["branch"] = patch.branch;
  }
  return send_change(in, patch, "/v1/config/patches", body);
}

exit_code publish_patch(const context& in) {
  auto file = text_of(in.args, "<file>");
  auto patch = file.empty() ? change_from_options(in) : load_change(file);
  if (!patch.ok()) {
    return report_invalid(in.to, patch.status());
  }
  if (patch->author.empty()) {
    patch->author = author_of(in);
  }
  if (!patch->version || !patch->seen_revision) {
    // Filling in the latest revision would turn a conflict that the author has
    // not seen into an overwrite.
    return report_invalid(
        in.to, absl::InvalidArgumentError(
                   patch->source +
                   ": version, seen_revision: missing; allowed: the version "
                   "and revision that 'config show' printed"));
  }
  return send_patch(in, *patch);
}

exit_code create_version(const context& in) {
  auto what = load_change(text_of(in.args, "--from"));
  auto version = number_of(in.args, "<n>");
  auto base = number_of(in.args, "--base");
  auto revision = number_of(in.args, "--revision");
  for (const auto& status :
       {what.status(), version.status(), base.status(), revision.status()}) {
    if (!status.ok()) {
      return report_invalid(in.to, status);
    }
  }
  what->version = *base;
  what->seen_revision = *revision;
  if (auto known = complete(in, *what); !known.ok()) {
    return report(in.to, known, access::write, {});
  }
  json body = {{"version", **version},
               {"base_version", *what->version},
               {"base_revision", *what->seen_revision},
               {"author", what->author.empty() ? author_of(in) : what->author},
               {"set", what->set},
               {"remove", what->remove}};
  return send_change(in, *what, "/v1/config/versions", body);
}

exit_code set_domain_state(const context& in) {
  return set_key(in, "domain." + text_of(in.args, "<name>") + ".state",
                 in.args.at("out").asBool() ? "out" : "in");
}

exit_code set_instance_state(const context& in) {
  std::string state = "active";
  if (in.args.at("drain").asBool()) {
    state = "draining";
  } else if (in.args.at("confirm-dead").asBool()) {
    state = "dead";
  }
  return set_key(in, "instance." + text_of(in.args, "<id>") + ".state", state);
}

}  // namespace vanillaladder::cli
