#include "harness/caller.h"

#include <utility>
#include <variant>

namespace vanillaladder::harness {

std::string_view outcome::header(std::string_view name) const {
  return http::find_header(headers, name);
}

json outcome::parsed() const {
  auto value = json::parse(body, nullptr, false);
  return value.is_discarded() ? json() : value;
}

caller::caller()
    : client_(std::make_unique<http::client>(loop_)),
      thread_([this] { loop_.run(); }) {}

caller::~caller() {
  loop_.stop();
  thread_.join();
}

std::future<outcome> caller::start(std::uint16_t port, http::request message,
                                   std::chrono::milliseconds limit) {
  auto promise = std::make_shared<std::promise<outcome>>();
  auto future = promise->get_future();
  loop_.post([this, port, message = std::move(message), limit, promise] {
    http::client_options options;
    options.timeout = limit;
    client_->send("127.0.0.1", port, message, options,
                  [promise](http::client_result result) {
                    if (auto* answer = std::get_if<http::response>(&result)) {
                      promise->set_value({answer->status, answer->headers,
                                          answer->body, true});
                      return;
                    }
                    const auto& failure =
                        std::get<http::client_failure>(result);
                    promise->set_value(
                        {0,
                         {},
                         std::string(failure.status.message()),
                         failure.phase == http::failure_phase::possibly_sent});
                  });
  });
  return future;
}

outcome caller::call(std::uint16_t port, http::request message) {
  return start(port, std::move(message)).get();
}

outcome caller::get(std::uint16_t port, const std::string& target) {
  return call(port, {"GET", target, {}, ""});
}

outcome caller::post(std::uint16_t port, const std::string& target,
                     const json& body) {
  return call(
      port,
      {"POST", target, {{"content-type", "application/json"}}, body.dump()});
}

}  // namespace vanillaladder::harness
