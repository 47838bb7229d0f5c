#pragma once

#include <chrono>
#include <cstdint>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "http/client.h"
#include "http/event_loop.h"

namespace vanillaladder::harness {

using nlohmann::json;

/// What became of a request; `status` is 0 if there was no response.
struct outcome {
  int status = 0;
  std::vector<http::header> headers;
  std::string body;
  /// Whether the request may have reached the server.
  bool sent = true;

  /// @return the response's header, or an empty view.
  std::string_view header(std::string_view name) const;
  /// @return the body as JSON; null if it is not JSON.
  json parsed() const;
};

/// Sends HTTP requests to local ports from a thread of its own.
class caller {
 public:
  caller();
  ~caller();
  caller(const caller&) = delete;
  caller& operator=(const caller&) = delete;

  /// Starts a request.
  std::future<outcome> start(
      std::uint16_t port, http::request message,
      std::chrono::milliseconds limit = std::chrono::seconds(60));
  /// Sends a request and waits for its outcome.
  outcome call(std::uint16_t port, http::request message);
  outcome get(std::uint16_t port, const std::string& target);
  outcome post(std::uint16_t port, const std::string& target,
               const json& body = json::object());

 private:
  // Measurements keep thousands of requests open.
  http::event_loop loop_{16384};
  std::unique_ptr<http::client> client_;
  std::thread thread_;
};

}  // namespace vanillaladder::harness
