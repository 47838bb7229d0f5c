#pragma once

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "http/event_loop.h"
#include "http/server.h"

namespace vanillaladder::external {

/// A server that gives one prepared answer to everything.
struct fake_peer {
  http::event_loop loop;
  http::response answer;
  bool aborts = false;
  http::request seen;
  std::unique_ptr<http::server> server;

  fake_peer() {
    auto made = http::server::listen(
        loop, {}, [this](http::request message, const auto& responder) {
          seen = std::move(message);
          if (aborts) {
            responder->abort();
          } else {
            responder->respond(answer);
          }
        });
    REQUIRE(made.ok());
    server = std::move(*made);
  }

  /// Runs the loop until the callback that `call` is given has been called.
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
