#include "cli/output.h"

#include <ostream>

namespace vanillaladder::cli {
namespace {

exit_code classify_unavailable(const reply& answer, access kind) {
  auto body = answer.parsed();
  auto result =
      body.is_object() ? body.value("result", answer.outcome) : answer.outcome;
  bool not_run = result == "not-run" || kind == access::read;
  return not_run ? exit_code::not_run : exit_code::unknown;
}

std::string_view explanation(exit_code code) {
  switch (code) {
    case exit_code::refused:
      return "refused";
    case exit_code::invalid:
      return "invalid";
    case exit_code::not_run:
      return "not run";
    case exit_code::unknown:
      return "unknown: the outcome could not be learned; repeating the same "
             "command is harmless";
    case exit_code::ok:
      break;
  }
  return "ok";
}

/// @return the reason for a refusal, as text.
std::string refusal_reason(const reply& answer) {
  auto body = answer.parsed();
  if (body.is_object()) {
    for (const char* field : {"reason", "error", "message"}) {
      if (body.contains(field)) {
        return to_plain_text(body[field]);
      }
    }
  }
  return answer.text;
}

exit_code report_failure(const output& sink, const absl::Status& error,
                         access kind) {
  bool invalid = absl::IsInvalidArgument(error) || absl::IsNotFound(error);
  if (invalid) {
    return report_invalid(sink, error);
  }
  // A read changes nothing, so without an answer it counts as not run.
  bool unknown = absl::IsUnknown(error) && kind == access::write;
  auto code = unknown ? exit_code::unknown : exit_code::not_run;
  sink.err << explanation(code) << ": " << error.message() << "\n";
  return code;
}

}  // namespace

std::string to_plain_text(const nlohmann::json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

exit_code classify(const reply& answer, access kind) {
  if (answer.status >= 200 && answer.status < 300) {
    return exit_code::ok;
  }
  switch (answer.status) {
    case 400:
    case 411:
    case 413:
    case 422:
      return exit_code::invalid;
    case 404:
    case 409:
      return exit_code::refused;
    case 429:
      return exit_code::not_run;
    default:
      return classify_unavailable(answer, kind);
  }
}

exit_code report(const output& sink, const absl::StatusOr<reply>& answer,
                 access kind, const printer& print) {
  if (!answer.ok()) {
    return report_failure(sink, answer.status(), kind);
  }
  auto code = classify(*answer, kind);
  auto body = answer->parsed();
  if (sink.json) {
    sink.out << (body.is_null() ? answer->text : body.dump(2)) << "\n";
  } else if (code == exit_code::ok) {
    print(sink.out, body);
  }
  if (code != exit_code::ok) {
    sink.err << explanation(code) << " (" << answer->status
             << "): " << refusal_reason(*answer) << "\n";
  }
  return code;
}

exit_code report_invalid(const output& sink, const absl::Status& error) {
  sink.err << error.message() << "\n";
  return exit_code::invalid;
}

}  // namespace vanillaladder::cli
