#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <iosfwd>
#include <nlohmann/json.hpp>

#include "cli/daemon_client.h"

namespace vanillaladder::cli {

/// Exit codes of the command line.
enum class exit_code : int {
  ok = 0,
  /// The change conflicts with another one, or the request was refused.
  refused = 1,
  /// Wrong usage, or a file, patch or job that is not allowed.
  invalid = 2,
  /// No daemon could be reached, or the request was not run.
  not_run = 3,
  /// The request was sent and its outcome could not be learned.
  unknown = 4,
};

/// The streams and the format of a command's output.
struct output {
  std::ostream& out;
  std::ostream& err;
  /// Writes answers as JSON instead of text.
  bool json = false;
};

/// Whether a request changes something.
enum class access { read, write };

/// @return the exit code for an answer of a daemon.
exit_code classify(const reply& answer, access kind);

/// Writes a successful answer.
using printer = std::function<void(std::ostream&, const nlohmann::json&)>;

/// Writes an answer, or why there is none.
/// @param print writes the text form of a successful answer.
exit_code report(const output& sink, const absl::StatusOr<reply>& answer,
                 access kind, const printer& print);

/// Writes an error that arose before anything was sent.
exit_code report_invalid(const output& sink, const absl::Status& error);

/// @return a JSON value as text, strings without quotes.
std::string to_plain_text(const nlohmann::json& value);

}  // namespace vanillaladder::cli
