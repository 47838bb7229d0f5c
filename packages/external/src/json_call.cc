#include "json_call.h"

#include <stdexcept>
#include <utility>
#include <variant>

namespace vanillaladder::external::detail {
namespace {

// Exceeds all valid amounts; sums of a few such values do not overflow.
constexpr std::int64_t max_amount = std::int64_t{1} << 50;
// Longer response bodies are truncated in error messages.
constexpr std::size_t max_quoted_bytes = 200;

struct error_class {
  absl::StatusCode code;
  http::failure_phase phase;
};

/// Maps an HTTP error status to an error. 4xx other than 408, and 501, are
/// explicit refusals. Any other status, such as 503, can come from an
/// intermediary after the request took effect.
error_class classify(int status) {
  using absl::StatusCode;
  using http::failure_phase;
  switch (status) {
    case 404:
      return {StatusCode::kNotFound, failure_phase::not_sent};
    case 405:
    case 501:
      return {StatusCode::kUnimplemented, failure_phase::not_sent};
    case 409:
    case 410:
    case 412:
      return {StatusCode::kFailedPrecondition, failure_phase::not_sent};
    case 429:
      return {StatusCode::kResourceExhausted, failure_phase::not_sent};
    case 408:
      return {StatusCode::kUnavailable, failure_phase::possibly_sent};
    default:
      break;
  }
  if (status >= 400 && status < 500) {
    return {StatusCode::kInvalidArgument, failure_phase::not_sent};
  }
  return {StatusCode::kUnavailable, failure_phase::possibly_sent};
}

}  // namespace

std::string peer_name(const json_call& call) {
  return call.peer + " " + call.address + ":" + std::to_string(call.port);
}

absl::Status malformed_answer_error(std::string_view step,
                                    std::string_view peer,
                                    std::string_view message) {
  return make_call_error(absl::StatusCode::kDataLoss,
                         http::failure_phase::possibly_sent, step, peer,
                         "malformed answer: " + std::string(message));
}

absl::StatusOr<nlohmann::json> read_answer(const std::string& step,
                                           const std::string& peer,
                                           const http::response& answer) {
  if (answer.status < 200 || answer.status > 299) {
    auto [code, phase] = classify(answer.status);
    return make_call_error(code, phase, step, peer,
                           "answered " + std::to_string(answer.status) + " " +
                               answer.body.substr(0, max_quoted_bytes));
  }
  if (answer.body.empty()) {
    return nlohmann::json::object();
  }
  auto parsed = nlohmann::json::parse(answer.body, nullptr, false);
  if (parsed.is_discarded()) {
    return malformed_answer_error(step, peer, "not JSON");
  }
  return parsed;
}

void send_call(http::client& client, json_call call,
               std::function<void(absl::StatusOr<http::response>)> done) {
  http::request message;
  message.method = std::move(call.method);
  message.target = std::move(call.target);
  message.headers = std::move(call.headers);
  if (!call.body.is_null()) {
    message.headers.push_back({"content-type", "application/json"});
    message.body = call.body.dump();
  }
  auto peer = peer_name(call);
  client.send(
      call.address, call.port, std::move(message), call.options,
      [step = std::move(call.step), peer,
       done = std::move(done)](http::client_result result) {
        if (auto* answer = std::get_if<http::response>(&result)) {
          done(std::move(*answer));
          return;
        }
        const auto& failure = std::get<http::client_failure>(result);
        done(make_call_error(failure.status.code(), failure.phase, step, peer,
                             std::string(failure.status.message())));
      });
}

void send_json(http::client& client, json_call call, json_callback done) {
  auto step = call.step;
  auto peer = peer_name(call);
  send_call(client, std::move(call),
            [step, peer, done = std::move(done)](auto answer) {
              if (answer.ok()) {
                done(read_answer(step, peer, *answer));
              } else {
                done(answer.status());
              }
            });
}

std::int64_t integer_at(const nlohmann::json& object, const char* key,
                        std::int64_t min, std::int64_t max) {
  const auto& value = object.at(key);
  bool representable =
      value.is_number_unsigned()
          ? value.get<std::uint64_t>() <= static_cast<std::uint64_t>(max_amount)
          : value.is_number_integer();
  if (!representable || value.get<std::int64_t>() < min ||
      value.get<std::int64_t>() > max) {
    throw std::out_of_range(std::string(key) + " is not an integer from " +
                            std::to_string(min) + " to " + std::to_string(max));
  }
  return value.get<std::int64_t>();
}

std::int64_t optional_amount(const nlohmann::json& object, const char* key) {
  return object.contains(key) ? integer_at(object, key, 0, max_amount) : 0;
}

std::string optional_string(const nlohmann::json& object, const char* key) {
  return object.contains(key) ? object.at(key).get<std::string>()
                              : std::string();
}

model::resources decode_resources(const nlohmann::json& object) {
  return {optional_amount(object, "cpu_millis"),
          optional_amount(object, "memory_mib"),
          optional_amount(object, "accelerators")};
}

std::string percent_encode(std::string_view text) {
  constexpr std::string_view hex_digits = "0123456789ABCDEF";
  constexpr std::string_view unreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  std::string encoded;
  for (char character : text) {
    if (unreserved.find(character) != std::string_view::npos) {
      encoded += character;
      continue;
    }
    auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += hex_digits[byte >> 4U];
    encoded += hex_digits[byte & 15U];
  }
  return encoded;
}

}  // namespace vanillaladder::external::detail
