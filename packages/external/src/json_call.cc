#include "json_call.h"

#include <stdexcept>
#include <utility>
#include <variant>

namespace vanillaladder::external::detail {
namespace {

// Above every size and time of the platform, and small enough for sums.
constexpr std::int64_t highest_amount = std::int64_t{1} << 50;
// Longer answer texts are cut in errors.
constexpr std::size_t quoted_bytes = 200;

struct refusal {
  absl::StatusCode code;
  http::failure_phase phase;
};

/// 4xx and 501 are explicit refusals. Another status, such as 503, can come
/// from an intermediary after the request took effect.
refusal classify(int status) {
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

absl::Status malformed(std::string_view step, std::string_view peer,
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
                               answer.body.substr(0, quoted_bytes));
  }
  if (answer.body.empty()) {
    return nlohmann::json::object();
  }
  auto parsed = nlohmann::json::parse(answer.body, nullptr, false);
  if (parsed.is_discarded()) {
    return malformed(step, peer, "not JSON");
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
                        std::int64_t low, std::int64_t high) {
  const auto& value = object.at(key);
  bool fits = value.is_number_unsigned()
                  ? value.get<std::uint64_t>() <=
                        static_cast<std::uint64_t>(highest_amount)
                  : value.is_number_integer();
  if (!fits || value.get<std::int64_t>() < low ||
      value.get<std::int64_t>() > high) {
    throw std::out_of_range(std::string(key) + " is not an integer from " +
                            std::to_string(low) + " to " +
                            std::to_string(high));
  }
  return value.get<std::int64_t>();
}

std::int64_t optional_amount(const nlohmann::json& object, const char* key) {
  return object.contains(key) ? integer_at(object, key, 0, highest_amount) : 0;
}

std::string optional_string(const nlohmann::json& object, const char* key) {
  return object.contains(key) ? object.at(key).get<std::string>()
                              : std::string();
}

model::resources resources_in(const nlohmann::json& object) {
  return {optional_amount(object, "cpu_millis"),
          optional_amount(object, "memory_mib"),
          optional_amount(object, "accelerators")};
}

std::string percent_encode(std::string_view text) {
  constexpr std::string_view digits = "0123456789ABCDEF";
  constexpr std::string_view unreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  std::string encoded;
  for (char letter : text) {
    if (unreserved.find(letter) != std::string_view::npos) {
      encoded += letter;
      continue;
    }
    auto byte = static_cast<unsigned char>(letter);
    encoded += '%';
    encoded += digits[byte >> 4U];
    encoded += digits[byte & 15U];
  }
  return encoded;
}

}  // namespace vanillaladder::external::detail
