#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 server and client over libwebsockets.
namespace vanillaladder::http {

/// A header with its lower-case name.
struct header {
  std::string name;
  std::string value;

  bool operator==(const header&) const = default;
};

struct request {
  std::string method = "GET";
  /// Path with its query string, such as "/v1/jobs?team=a".
  std::string target = "/";
  std::vector<header> headers = {};
  std::string body = {};
  /// Value of the Host header. `client` sends the peer's address if it is
  /// empty.
  std::string host = {};
};

struct response {
  int status = 200;
  std::vector<header> headers = {};
  std::string body = {};
};

/// @return the value of the first header called `name` (lower case), or an
///   empty view.
std::string_view find_header(std::span<const header> headers,
                             std::string_view name);

/// @return the part of `target` before the query string.
std::string_view path_of(std::string_view target);

/// @return the raw value of query parameter `name`, or an empty view.
std::string_view query_value(std::string_view target, std::string_view name);

/// @return a response with a JSON body.
response json_response(int status, std::string body);

/// Header names that the server and the client read from messages.
///
/// libwebsockets 4.1 cannot enumerate the headers of a message, so all other
/// headers are ignored and not forwarded.
std::span<const std::string_view> known_headers();

}  // namespace vanillaladder::http
