#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>
#include <vector>

#include "cli/change_file.h"
#include "cli/daemon_client.h"
#include "cli/output.h"

namespace vanillaladder::cli {

using arguments = std::map<std::string, docopt::value>;

/// @return an option's text, empty if it was not given.
std::string text_option(const arguments& args, const std::string& name);
/// @return an option's number, or nothing if it was not given.
/// @return `InvalidArgument` if it is not an integer from 0.
absl::StatusOr<std::optional<std::int64_t>> number_option(
    const arguments& args, const std::string& name);

/// The arguments, daemons and output of a command.
struct context {
  const arguments& args;
  daemon_client& daemon;
  const output& sink;
};

exit_code create_version(const context& ctx);
exit_code show_version(const context& ctx);
exit_code diff_versions(const context& ctx);
exit_code publish_patch(const context& ctx);
exit_code show_config(const context& ctx);
exit_code show_config_status(const context& ctx);
exit_code set_domain_state(const context& ctx);
exit_code set_instance_state(const context& ctx);
exit_code submit_job(const context& ctx);
exit_code list_jobs(const context& ctx);
exit_code show_job(const context& ctx);
exit_code cancel_job(const context& ctx);
exit_code check_settings(const context& ctx);
exit_code show_health(const context& ctx);

/// Sends a patch and writes its outcome.
exit_code send_patch(const context& ctx, const change& patch);

/// Runs the command line.
/// @param words the arguments without the program's name.
/// @return the exit code.
int run(const std::vector<std::string>& words, std::ostream& out,
        std::ostream& err);

}  // namespace vanillaladder::cli
