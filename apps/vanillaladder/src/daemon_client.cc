#include "cli/daemon_client.h"

#include <charconv>

#include "http/client.h"
#include "runtime/error.h"

namespace vanillaladder::cli {
namespace {

http::client_result exchange(const endpoint& daemon,
                             const http::request& message,
                             std::chrono::milliseconds timeout) {
  http::event_loop loop(64);
  http::client sender(loop);
  http::client_options options;
  options.timeout = timeout;
  http::client_result result;
  sender.send(daemon.address, daemon.port, message, options,
              [&](http::client_result received) {
                result = std::move(received);
                loop.stop();
              });
  loop.run();
  return result;
}

reply to_reply(const http::response& answer) {
  reply converted;
  converted.status = answer.status;
  converted.outcome = http::find_header(answer.headers, "x-outcome");
  converted.text = answer.body;
  return converted;
}

}  // namespace

nlohmann::json reply::parsed() const {
  auto value = nlohmann::json::parse(text, nullptr, false);
  return value.is_discarded() ? nlohmann::json() : value;
}

absl::StatusOr<endpoint> parse_endpoint(std::string_view text) {
  auto colon = text.rfind(':');
  endpoint parsed;
  if (colon != std::string_view::npos && colon > 0) {
    parsed.address = text.substr(0, colon);
    const auto* end = text.data() + text.size();
    auto [at, error] =
        std::from_chars(text.data() + colon + 1, end, parsed.port);
    if (error == std::errc() && at == end && parsed.port > 0) {
      return parsed;
    }
  }
  return absl::InvalidArgumentError(
      "--daemon " + std::string(text) +
      ": not an address; allowed: ADDRESS:PORT such as 127.0.0.1:7001");
}

absl::StatusOr<reply> daemon_client::call(const std::string& method,
                                          const std::string& target,
                                          const std::string& body) {
  if (daemons_.empty()) {
    return absl::InvalidArgumentError(
        "no daemon given; allowed: --daemon ADDRESS:PORT");
  }
  http::request message{method, target, {}, body};
  std::string tried;
  for (const auto& daemon : daemons_) {
    auto result = exchange(daemon, message, timeout_);
    if (const auto* answer = std::get_if<http::response>(&result)) {
      return to_reply(*answer);
    }
    const auto& failure = std::get<http::client_failure>(result);
    if (failure.phase == http::failure_phase::possibly_sent) {
      return absl::UnknownError(failure.status.message());
    }
    tried += tried.empty() ? "" : "\n";
    tried += std::string(failure.status.message());
  }
  return absl::UnavailableError(tried);
}

}  // namespace vanillaladder::cli
