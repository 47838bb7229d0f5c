#include "http/message.h"

#include <algorithm>
#include <array>

namespace vanillaladder::http {

std::string_view find_header(std::span<const header> headers,
                             std::string_view name) {
  auto found = std::ranges::find(headers, name, &header::name);
  return found == headers.end() ? std::string_view()
                                : std::string_view(found->value);
}

std::string_view path_of(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view query_value(std::string_view target, std::string_view name) {
  auto start = target.find('?');
  while (start != std::string_view::npos) {
    auto pair = target.substr(start + 1);
    pair = pair.substr(0, pair.find('&'));
    auto equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos ? std::string_view()
                                              : pair.substr(equals + 1);
    }
    start = target.find('&', start + 1);
  }
  return {};
}

response json_response(int status, std::string body) {
  return {status, {{"content-type", "application/json"}}, std::move(body)};
}

std::span<const std::string_view> known_headers() {
  static constexpr std::array names = std::to_array<std::string_view>({
      "content-type",  "content-encoding", "content-language", "accept",
      "age",           "accept-encoding",  "accept-language",  "authorization",
      "cookie",        "set-cookie",       "cache-control",    "etag",
      "if-match",      "if-none-match",    "last-modified",    "location",
      "retry-after",   "user-agent",       "idempotency-key",  "traceparent",
      "x-request-id",  "x-service",        "x-class",          "x-team",
      "x-deadline-ms", "x-idempotent",     "x-outcome",        "x-reason",
      "x-not-run",     "x-task",           "x-attempt",
  });
  return names;
}

}  // namespace vanillaladder::http
