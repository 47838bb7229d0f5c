#include "serving/detail/messages.h"

#include <xxhash.h>

#include <array>
#include <charconv>

namespace vanillaladder::serving {
namespace {

using scheduling::attempt_end;

constexpr auto idempotent_methods = std::to_array<std::string_view>(
    {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"});

bool is_idempotent_method(std::string_view method) {
  for (auto name : idempotent_methods) {
    if (name == method) {
      return true;
    }
  }
  return false;
}

std::string first_segment(std::string_view target) {
  auto path = http::path_of(target);
  if (path.starts_with('/')) {
    path.remove_prefix(1);
  }
  return std::string(path.substr(0, path.find('/')));
}

/// Hashes the parts together with their lengths, so that different splits of
/// the same text have different hashes.
std::uint64_t hash_parts(std::initializer_list<std::string_view> parts) {
  std::uint64_t hash = 0;
  for (auto part : parts) {
    hash = XXH64(part.data(), part.size(), hash + part.size());
  }
  return hash;
}

bool parse_number(std::string_view text, std::int64_t& value) {
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

}  // namespace

std::string_view to_string(key_outcome outcome) {
  switch (outcome) {
    case key_outcome::answered:
      return "answered";
    case key_outcome::not_run:
      return "not-run";
    case key_outcome::unknown:
      break;
  }
  return "unknown";
}

std::string_view to_string(front_event event) {
  switch (event) {
    case front_event::received:
      return "requests_received";
    case front_event::admitted:
      return "requests_admitted";
    case front_event::sent:
      return "requests_sent";
    case front_event::forwarded:
      return "requests_forwarded";
    case front_event::answered:
      return "requests_answered";
    case front_event::refused:
      return "requests_refused";
    case front_event::failed:
      return "requests_failed";
    case front_event::retried:
      return "requests_retried";
    case front_event::key_repeated:
      return "requests_key_repeated";
    case front_event::late_result:
      return "late_results";
    case front_event::disconnected:
      return "callers_disconnected";
    case front_event::ejected:
      return "backends_ejected";
    case front_event::readmitted:
      return "backends_readmitted";
  }
  return "unknown";
}

namespace detail {

std::optional<caller_request> parse_caller_request(const http::request& message,
                                                   milliseconds max_deadline) {
  const auto& headers = message.headers;
  caller_request caller;
  caller.service = http::find_header(headers, "x-service");
  if (caller.service.empty()) {
    caller.service = first_segment(message.target);
  }
  caller.request_class = http::find_header(headers, "x-class");
  caller.team = http::find_header(headers, "x-team");
  caller.key = http::find_header(headers, "idempotency-key");
  caller.idempotent = is_idempotent_method(message.method);
  auto marked = http::find_header(headers, "x-idempotent");
  if (marked == "true" || marked == "false") {
    caller.idempotent = marked == "true";
  } else if (!marked.empty()) {
    return std::nullopt;
  }
  auto deadline = http::find_header(headers, "x-deadline-ms");
  if (!deadline.empty()) {
    std::int64_t value = 0;
    if (!parse_number(deadline, value) || value < 1) {
      return std::nullopt;
    }
    caller.deadline = std::min(milliseconds(value), max_deadline);
  }
  return caller;
}

std::uint64_t hash_key(const caller_request& caller) {
  return hash_parts({caller.service, caller.team, caller.key});
}

std::uint64_t digest_of(const http::request& message) {
  return hash_parts({message.method, message.target, message.body});
}

http::response refusal_response(scheduling::refusal_reason reason) {
  return outcome_response(scheduling::status_of(reason), key_outcome::not_run,
                          scheduling::to_string(reason));
}

http::response outcome_response(int status, key_outcome outcome,
                                std::string_view reason) {
  return {status,
          {{"x-outcome", std::string(to_string(outcome))},
           {"x-reason", std::string(reason)}},
          ""};
}

http::response answered_response(http::response from_backend) {
  std::erase_if(from_backend.headers, [](const http::header& item) {
    return item.name == "x-outcome" || item.name == "x-reason" ||
           item.name == "x-not-run";
  });
  from_backend.headers.push_back({"x-outcome", "answered"});
  return from_backend;
}

attempt_end classify(const http::client_result& result) {
  if (const auto* answer = std::get_if<http::response>(&result)) {
    bool refused = answer->status == 503 &&
                   http::find_header(answer->headers, "x-not-run") == "1";
    return refused ? attempt_end::refused : attempt_end::responded;
  }
  const auto& failure = std::get<http::client_failure>(result);
  if (failure.phase == http::failure_phase::not_sent) {
    return attempt_end::not_sent;
  }
  switch (failure.status.code()) {
    case absl::StatusCode::kDeadlineExceeded:
      return attempt_end::timed_out;
    case absl::StatusCode::kUnavailable:
      return attempt_end::closed;
    default:
      return attempt_end::abandoned;
  }
}

attempt_end classify(const forward_result& result) {
  if (const auto* answer = std::get_if<http::response>(&result)) {
    auto outcome = http::find_header(answer->headers, "x-outcome");
    if (outcome == "not-run") {
      return attempt_end::refused;
    }
    if (outcome == "unknown") {
      return answer->status == 504 ? attempt_end::timed_out
                                   : attempt_end::abandoned;
    }
    return attempt_end::responded;
  }
  if (std::holds_alternative<forward_not_run>(result)) {
    return attempt_end::refused;
  }
  // The peer may still be running the request after the connection is lost.
  return std::get<forward_unknown>(result).timed_out ? attempt_end::timed_out
                                                     : attempt_end::abandoned;
}

}  // namespace detail
}  // namespace vanillaladder::serving
