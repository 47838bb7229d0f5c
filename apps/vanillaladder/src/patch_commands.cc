#include <cstdlib>
#include <ostream>

#include "cli/commands.h"

namespace vanillaladder::cli {
namespace {

using nlohmann::json;

std::string author_of(const context& ctx) {
  auto author = text_option(ctx.args, "--author");
  const char* user = std::getenv("USER");
  if (author.empty() && user != nullptr) {
    author = user;
  }
  return author.empty() ? "operator" : author;
}

/// Writes the conflicts and errors of a refused change, with the lines of the
/// operator's file.
void print_refusal(const output& sink, const change& edit, const json& body) {
  for (const auto& entry : body.value("conflicts", json::array())) {
    auto key = entry.value("key", "");
    sink.err << source_location(edit, key) << key << ": yours "
             << to_plain_text(entry["yours"]) << ", theirs "
             << to_plain_text(entry["theirs"]) << " by "
             << entry.value("their_author", "?") << " in patch "
             << entry.value("their_patch", "?") << "\n";
  }
  for (const auto& entry : body.value("errors", json::array())) {
    auto key = entry.value("key", "");
    sink.err << source_location(edit, key) << key << ": "
             << entry.value("message", "")
             << "; allowed: " << entry.value("allowed", "") << "\n";
  }
}

exit_code send_change(const context& ctx, const change& edit,
                      const std::string& target, const json& body) {
  auto answer = ctx.daemon.call("POST", target, body);
  auto code = report(
      ctx.sink, answer, access::write,
      [](std::ostream& out, const json& response) {
        out << to_plain_text(response.value("result", json("accepted")))
            << ": version " << to_plain_text(response.value("version", json(0)))
            << " revision "
            << to_plain_text(response.value("revision", json(0))) << " offset "
            << to_plain_text(response.value("offset", json(-1))) << "\n";
      });
  if (answer.ok() && answer->parsed().is_object() && code != exit_code::ok) {
    print_refusal(ctx.sink, edit, answer->parsed());
  }
  return code;
}

/// Fills in a missing version or revision from the current configuration.
absl::Status fill_in_base(const context& ctx, change& edit) {
  if (edit.version && edit.seen_revision) {
    return absl::OkStatus();
  }
  auto config = ctx.daemon.call("GET", "/v1/config");
  if (!config.ok()) {
    // A read changes nothing, so without an answer it counts as not run.
    return absl::IsUnknown(config.status())
               ? absl::UnavailableError(config.status().message())
               : config.status();
  }
  auto body = config->parsed();
  if (config->status != 200 || !body.is_object()) {
    return absl::UnavailableError("read configuration: answer " +
                                  std::to_string(config->status));
  }
  edit.version = edit.version.value_or(body.value("version", 0));
  edit.seen_revision = edit.seen_revision.value_or(body.value("revision", 0));
  return absl::OkStatus();
}

absl::StatusOr<change> change_from_options(const context& ctx) {
  change patch;
  patch.author = author_of(ctx);
  patch.branch = text_option(ctx.args, "--branch");
  patch.id = text_option(ctx.args, "--id");
  for (const auto& assignment : ctx.args.at("--set").asStringList()) {
    if (auto status = add_assignment(patch, assignment); !status.ok()) {
      return status;
    }
  }
  patch.remove = ctx.args.at("--remove").asStringList();
  auto version = number_option(ctx.args, "--version");
  auto revision = number_option(ctx.args, "--revision");
  if (!version.ok() || !revision.ok()) {
    return version.ok() ? revision.status() : version.status();
  }
  patch.version = *version;
  patch.seen_revision = *revision;
  auto checked = check_change(patch);
  return checked.ok() ? absl::StatusOr<change>(patch) : checked;
}

/// Publishes one key with the current version and revision.
exit_code set_key(const context& ctx, const std::string& key,
                  const std::string& value) {
  change patch;
  patch.author = author_of(ctx);
  patch.set[key] = value;
  if (auto checked = check_change(patch); !checked.ok()) {
    return report_invalid(ctx.sink, checked);
  }
  if (auto completed = fill_in_base(ctx, patch); !completed.ok()) {
    return report(ctx.sink, completed, access::write, {});
  }
  return send_patch(ctx, patch);
}

}  // namespace

exit_code send_patch(const context& ctx, const change& patch) {
  json body = {
      {"id", effective_id(patch)}, {"author", patch.author},
      {"version", *patch.version}, {"seen_revision", *patch.seen_revision},
      {"set", patch.set},          {"remove", patch.remove}};
  if (!patch.branch.empty()) {
    body["branch"] = patch.branch;
  }
  return send_change(ctx, patch, "/v1/config/patches", body);
}

exit_code publish_patch(const context& ctx) {
  auto file = text_option(ctx.args, "<file>");
  auto patch = file.empty() ? change_from_options(ctx) : load_change(file);
  if (!patch.ok()) {
    return report_invalid(ctx.sink, patch.status());
  }
  if (patch->author.empty()) {
    patch->author = author_of(ctx);
  }
  if (!patch->version || !patch->seen_revision) {
    // Filling in the latest revision would turn a conflict that the author has
    // not seen into an overwrite.
    return report_invalid(
        ctx.sink, absl::InvalidArgumentError(
                      patch->source +
                      ": version, seen_revision: missing; allowed: the version "
                      "and revision that 'config show' printed"));
  }
  return send_patch(ctx, *patch);
}

exit_code create_version(const context& ctx) {
  auto edit = load_change(text_option(ctx.args, "--from"));
  auto version = number_option(ctx.args, "<n>");
  auto base = number_option(ctx.args, "--base");
  auto revision = number_option(ctx.args, "--revision");
  for (const auto& status :
       {edit.status(), version.status(), base.status(), revision.status()}) {
    if (!status.ok()) {
      return report_invalid(ctx.sink, status);
    }
  }
  edit->version = *base;
  edit->seen_revision = *revision;
  if (auto completed = fill_in_base(ctx, *edit); !completed.ok()) {
    return report(ctx.sink, completed, access::write, {});
  }
  json body = {{"version", **version},
               {"base_version", *edit->version},
               {"base_revision", *edit->seen_revision},
               {"author", edit->author.empty() ? author_of(ctx) : edit->author},
               {"set", edit->set},
               {"remove", edit->remove}};
  return send_change(ctx, *edit, "/v1/config/versions", body);
}

exit_code set_domain_state(const context& ctx) {
  return set_key(ctx, "domain." + text_option(ctx.args, "<name>") + ".state",
                 ctx.args.at("out").asBool() ? "out" : "in");
}

exit_code set_instance_state(const context& ctx) {
  std::string state = "active";
  if (ctx.args.at("drain").asBool()) {
    state = "draining";
  } else if (ctx.args.at("confirm-dead").asBool()) {
    state = "dead";
  }
  return set_key(ctx, "instance." + text_option(ctx.args, "<id>") + ".state",
                 state);
}

}  // namespace vanillaladder::cli
