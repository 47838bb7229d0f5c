#include "http/detail/headers.h"

#include <libwebsockets.h>

#include <optional>
#include <string>

namespace vanillaladder::http::detail {
namespace {

struct standard_header {
  std::string_view name;
  lws_token_indexes token;
};

// libwebsockets stores these headers under a token and only all other headers
// under their name.
constexpr standard_header standard_headers[] = {
    {"content-type", WSI_TOKEN_HTTP_CONTENT_TYPE},
    {"content-encoding", WSI_TOKEN_HTTP_CONTENT_ENCODING},
    {"content-language", WSI_TOKEN_HTTP_CONTENT_LANGUAGE},
    {"accept", WSI_TOKEN_HTTP_ACCEPT},
    {"accept-encoding", WSI_TOKEN_HTTP_ACCEPT_ENCODING},
    {"accept-language", WSI_TOKEN_HTTP_ACCEPT_LANGUAGE},
    {"age", WSI_TOKEN_HTTP_AGE},
    {"authorization", WSI_TOKEN_HTTP_AUTHORIZATION},
    {"cookie", WSI_TOKEN_HTTP_COOKIE},
    {"set-cookie", WSI_TOKEN_HTTP_SET_COOKIE},
    {"cache-control", WSI_TOKEN_HTTP_CACHE_CONTROL},
    {"etag", WSI_TOKEN_HTTP_ETAG},
    {"if-match", WSI_TOKEN_HTTP_IF_MATCH},
    {"if-none-match", WSI_TOKEN_HTTP_IF_NONE_MATCH},
    {"last-modified", WSI_TOKEN_HTTP_LAST_MODIFIED},
    {"location", WSI_TOKEN_HTTP_LOCATION},
    {"retry-after", WSI_TOKEN_HTTP_RETRY_AFTER},
    {"user-agent", WSI_TOKEN_HTTP_USER_AGENT},
};

std::optional<lws_token_indexes> token_of(std::string_view name) {
  for (const auto& candidate : standard_headers) {
    if (candidate.name == name) {
      return candidate.token;
    }
  }
  return std::nullopt;
}

std::optional<std::string> read_standard_header(lws* connection,
                                                lws_token_indexes token) {
  int length = lws_hdr_total_length(connection, token);
  if (length <= 0) {
    return std::nullopt;
  }
  std::string value(static_cast<std::size_t>(length) + 1, '\0');
  int copied = lws_hdr_copy(connection, value.data(), length + 1, token);
  value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
  return value;
}

std::optional<std::string> read_custom_header(lws* connection,
                                              std::string_view name) {
  std::string key = std::string(name) + ":";
  auto key_length = static_cast<int>(key.size());
  int length = lws_hdr_custom_length(connection, key.c_str(), key_length);
  if (length <= 0) {
    return std::nullopt;
  }
  std::string value(static_cast<std::size_t>(length) + 1, '\0');
  int copied = lws_hdr_custom_copy(connection, value.data(), length + 1,
                                   key.c_str(), key_length);
  value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
  return value;
}

}  // namespace

std::vector<header> read_headers(lws* connection) {
  std::vector<header> headers;
  for (std::string_view name : known_headers()) {
    auto token = token_of(name);
    auto value = token ? read_standard_header(connection, *token)
                       : read_custom_header(connection, name);
    if (value) {
      headers.push_back({std::string(name), std::move(*value)});
    }
  }
  return headers;
}

}  // namespace vanillaladder::http::detail
