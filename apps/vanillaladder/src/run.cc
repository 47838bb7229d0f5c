#include <charconv>
#include <ostream>
#include <utility>

#include "cli/commands.h"

namespace vanillaladder::cli {
namespace {

constexpr const char* usage =
    R"(Talks to the operator port of a vanillaladder daemon.

Usage:
  vanillaladder version create <n> --from=<file> [--base=<n>] [--revision=<r>] [--author=<name>] [--json] [--daemon=<address>]...
  vanillaladder version show <n> [--json] [--daemon=<address>]...
  vanillaladder version diff <a> <b> [--json] [--daemon=<address>]...
  vanillaladder patch <file> [--author=<name>] [--json] [--daemon=<address>]...
  vanillaladder patch --version=<n> --revision=<r> [--branch=<name>] [--id=<id>] [--author=<name>] [--json] [--set=<assignment>]... [--remove=<key>]... [--daemon=<address>]...
  vanillaladder config status [--json] [--daemon=<address>]...
  vanillaladder config show [--json] [--daemon=<address>]...
  vanillaladder domain (out|back) <name> [--author=<name>] [--json] [--daemon=<address>]...
  vanillaladder instance (drain|activate|confirm-dead) <id> [--author=<name>] [--json] [--daemon=<address>]...
  vanillaladder job submit <file> [--json] [--daemon=<address>]...
  vanillaladder job submit --key=<key> --team=<name> --class=<name> --cpu-millis=<n> [--memory-mib=<n>] [--accelerators=<n>] [--tasks=<n>] [--command=<text>] [--expected-run-ms=<n>] [--json] [--daemon=<address>]...
  vanillaladder job list [--json] [--daemon=<address>]...
  vanillaladder job show <id> [--json] [--daemon=<address>]...
  vanillaladder job cancel <id> [--json] [--daemon=<address>]...
  vanillaladder settings check <file> [--json] [--daemon=<address>]...
  vanillaladder health [--json] [--daemon=<address>]...
  vanillaladder --help

Options:
  --daemon=<address>     ADDRESS:PORT; if given again, the next one is tried
                         when nothing could be sent to the previous ones.
  --json                 Write answers as JSON.
  --author=<name>        Author of a change; $USER by default.
  --from=<file>          TOML file with [set] and remove.
  --base=<n>             Version it is made from; the current one by default.
  --revision=<r>         Revision that the author has seen.
  --version=<n>          Version that the patch changes.
  --branch=<name>        Branch that the patch changes.
  --id=<id>              Id of the patch; derived from its content by default.
  --set=<assignment>     KEY=VALUE; may be given several times.
  --remove=<key>         Key to remove; may be given several times.
  --key=<key>            The caller's key of a job.
  --team=<name>          Team of a job.
  --class=<name>         Class of a job.
  --cpu-millis=<n>       Thousandths of a processor for each task.
  --memory-mib=<n>       Memory for each task.
  --accelerators=<n>     Accelerators for each task.
  --tasks=<n>            Number of tasks.
  --command=<text>       What the worker runs.
  --expected-run-ms=<n>  Expected run time.
  -h --help              Show this text.

Exit codes: 0 done; 1 conflict or refused; 2 wrong usage or invalid input;
3 not reachable or not run; 4 outcome unknown.
)";

struct command {
  /// Words that select the command, such as {"job", "list"}.
  std::vector<const char*> words;
  exit_code (*run)(const context&);
};

const std::vector<command>& commands() {
  static const std::vector<command> all{
      {{"version", "create"}, create_version},
      {{"version", "show"}, show_version},
      {{"version", "diff"}, diff_versions},
      {{"patch"}, publish_patch},
      {{"config", "status"}, show_config_status},
      {{"config", "show"}, show_config},
      {{"domain"}, set_domain_state},
      {{"instance"}, set_instance_state},
      {{"job", "submit"}, submit_job},
      {{"job", "list"}, list_jobs},
      {{"job", "show"}, show_job},
      {{"job", "cancel"}, cancel_job},
      {{"settings", "check"}, check_settings},
      {{"health"}, show_health},
  };
  return all;
}

bool selected(const command& candidate, const arguments& args) {
  for (const char* word : candidate.words) {
    if (!args.at(word).asBool()) {
      return false;
    }
  }
  return true;
}

absl::StatusOr<std::vector<endpoint>> daemons_in(const arguments& args) {
  std::vector<endpoint> daemons;
  for (const auto& text : args.at("--daemon").asStringList()) {
    auto daemon = parse_endpoint(text);
    if (!daemon.ok()) {
      return daemon.status();
    }
    daemons.push_back(*daemon);
  }
  return daemons;
}

exit_code dispatch(const arguments& args, const output& sink) {
  auto daemons = daemons_in(args);
  if (!daemons.ok()) {
    return report_invalid(sink, daemons.status());
  }
  daemon_client daemon(*daemons);
  for (const auto& candidate : commands()) {
    if (selected(candidate, args)) {
      return candidate.run({args, daemon, sink});
    }
  }
  return exit_code::invalid;
}

}  // namespace

std::string text_option(const arguments& args, const std::string& name) {
  auto found = args.find(name);
  return found != args.end() && found->second.isString()
             ? found->second.asString()
             : std::string();
}

absl::StatusOr<std::optional<std::int64_t>> number_option(
    const arguments& args, const std::string& name) {
  auto text = text_option(args, name);
  if (text.empty()) {
    return std::optional<std::int64_t>();
  }
  std::int64_t number = 0;
  const auto* end = text.data() + text.size();
  auto [at, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || at != end || number < 0) {
    return absl::InvalidArgumentError(name + " " + text +
                                      ": allowed: an integer from 0");
  }
  return std::optional(number);
}

int run(const std::vector<std::string>& words, std::ostream& out,
        std::ostream& err) {
  auto code = exit_code::ok;
  try {
    auto args = docopt::docopt_parse(usage, words, true, false);
    code = dispatch(args, {out, err, args.at("--json").asBool()});
  } catch (const docopt::DocoptExitHelp&) {
    out << usage;
  } catch (const docopt::DocoptArgumentError&) {
    err << "wrong usage; see vanillaladder --help\n";
    code = exit_code::invalid;
  }
  return static_cast<int>(code);
}

}  // namespace vanillaladder::cli
