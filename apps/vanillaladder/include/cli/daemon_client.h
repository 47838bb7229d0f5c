#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

/// The operators' command line.
namespace vanillaladder::cli {

/// Address and port of a daemon.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;
};

/// Parses "ADDRESS:PORT".
absl::StatusOr<endpoint> parse_endpoint(std::string_view text);

/// The answer of a daemon.
struct reply {
  int status = 0;
  /// `x-outcome` of the answer, possibly empty.
  std::string outcome;
  std::string text;

  /// @return the body as JSON; null if it is not JSON.
  nlohmann::json parsed() const;
};

/// Sends one request at a time to the first daemon that takes it.
class daemon_client {
 public:
  explicit daemon_client(
      std::vector<endpoint> daemons,
      std::chrono::milliseconds timeout = std::chrono::seconds(20))
      : daemons_(std::move(daemons)), timeout_(timeout) {}

  /// Sends a request; tries the next daemon only if no byte was sent.
  /// @return `Unavailable` if it was sent to no daemon, `Unknown` if it was
  ///   sent but not answered.
  absl::StatusOr<reply> call(const std::string& method,
                             const std::string& target,
                             const std::string& body = "");
  /// Sends a JSON document.
  absl::StatusOr<reply> call(const std::string& method,
                             const std::string& target,
                             const nlohmann::json& body) {
    return call(method, target, body.dump());
  }

 private:
  std::vector<endpoint> daemons_;
  std::chrono::milliseconds timeout_;
};

}  // namespace vanillaladder::cli
