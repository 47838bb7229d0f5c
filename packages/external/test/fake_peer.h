#pragma once

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "http/event_loop.h"
#include "http/server.h"

namespace vanillaladder::external {

/// A server that gives the same configured answer to every request.
struct fake_peer {
  http::event_loop loop;
  http::response answer;
  /// Closes connections without an answer.
  bool aborts = false;
  http::request last_request;
  std::unique_ptr<http::server> server;

  fake_peer() {
    auto listener = http::server::listen(
        loop, {}, [this](http::request message, const auto& responder) {
          last_request = std::move(message);
          if (aborts) {
            responder->abort();
          } else {
            responder->respond(answer);
          }
        });
    REQUIRE(listener.ok());
    server = std::move(*listener);
  }

  /// Runs the loop until the callback passed to `call` has been called.
  /// @return the value that the callback received.
  template <typename Result, typename Call>
  Result wait(Call call) {
    std::optional<Result> result;
    call([&](Result value) {
      result.emplace(std::move(value));
      loop.stop();
    });
    loop.run();
    return std::move(*result);
  }
};

}  // namespace vanillaladder::external
