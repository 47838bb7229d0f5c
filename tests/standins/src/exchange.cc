#include "standins/exchange.h"

#include <charconv>
#include <stdexcept>

namespace vanillaladder::standins {

void reply(const responder_ptr& answer, int status,
           const nlohmann::json& body) {
  answer->respond(http::json_response(status, body.dump()));
}

std::int64_t query_integer(std::string_view target, std::string_view name,
                           std::int64_t fallback) {
  auto text = http::query_value(target, name);
  std::int64_t value = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  bool whole = error == std::errc() && end == text.data() + text.size();
  return whole ? value : fallback;
}

nlohmann::json body_object(const http::request& message) {
  if (message.body.empty()) {
    return nlohmann::json::object();
  }
  auto body = nlohmann::json::parse(message.body);
  if (!body.is_object()) {
    throw std::invalid_argument("the body is not a JSON object");
  }
  return body;
}

std::string_view middle_of(std::string_view path, std::string_view prefix,
                           std::string_view suffix) {
  if (path.size() <= prefix.size() + suffix.size() ||
      !path.starts_with(prefix) || !path.ends_with(suffix)) {
    return {};
  }
  path.remove_prefix(prefix.size());
  path.remove_suffix(suffix.size());
  return path;
}

}  // namespace vanillaladder::standins
