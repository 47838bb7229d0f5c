#include "http/channel.h"

#include <catch2/catch.hpp>
#include <vector>

#include "http/server.h"

namespace vanillaladder::http {
namespace {

using namespace std::chrono_literals;

struct fixture {
  event_loop loop;
  transport shared{loop};
  std::vector<request> seen;
  std::vector<std::shared_ptr<responder>> held;
  bool hold = false;
  std::unique_ptr<server> peer;
  std::vector<client_result> results;

  fixture() {
    auto made =
        server::listen(loop, {}, [this](request message, const auto& answer) {
          seen.push_back(message);
          if (hold) {
            held.push_back(answer);
          } else {
            answer->respond({200, {}, message.body + "!"});
          }
        });
    REQUIRE(made.ok());
    peer = std::move(*made);
  }

  channel::callback collect(std::size_t until) {
    return [this, until](client_result result) {
      results.push_back(std::move(result));
      if (results.size() == until) {
        loop.stop();
      }
    };
  }
};

// A connection for each call costs three times the processor of a kept one.
TEST_CASE("calls in turn share one connection") {
  fixture f;
  channel calls(f.shared, "127.0.0.1", f.peer->port(), {});
  for (std::size_t n = 1; n <= 20; ++n) {
    calls.send({"POST", "/x", {}, "body"}, 5s, f.collect(n));
    f.loop.run();
  }
  REQUIRE(f.results.size() == 20);
  REQUIRE(std::get<response>(f.results.back()).body == "body!");
  REQUIRE(calls.connections_opened() == 1);
}

TEST_CASE("calls beyond the connections wait and are all answered") {
  fixture f;
  channel calls(f.shared, "127.0.0.1", f.peer->port(), {2});
  for (int n = 0; n < 10; ++n) {
    calls.send({"POST", "/x", {}, "a"}, 5s, f.collect(10));
  }
  f.loop.run();
  REQUIRE(calls.connections_opened() == 2);
  REQUIRE(f.seen.size() == 10);
}

// A silent connection must cost one timeout and must not be used again.
TEST_CASE("a call that times out closes its connection") {
  fixture f;
  f.hold = true;
  channel calls(f.shared, "127.0.0.1", f.peer->port(), {1});
  calls.send({"GET", "/slow"}, 50ms, f.collect(1));
  f.loop.run();
  auto& failed = std::get<client_failure>(f.results[0]);
  REQUIRE(failed.phase == failure_phase::possibly_sent);
  REQUIRE(absl::IsDeadlineExceeded(failed.status));
  f.hold = false;
  calls.send({"GET", "/next"}, 5s, f.collect(2));
  f.loop.run();
  REQUIRE(std::holds_alternative<response>(f.results[1]));
  REQUIRE(calls.connections_opened() == 2);
}

TEST_CASE("a call to a port without listener fails as not sent") {
  fixture f;
  constexpr std::uint16_t unused_port = 1;
  channel calls(f.shared, "127.0.0.1", unused_port, {});
  calls.send({"GET", "/"}, 500ms, f.collect(1));
  f.loop.run();
  REQUIRE(std::get<client_failure>(f.results[0]).phase ==
          failure_phase::not_sent);
}

}  // namespace
}  // namespace vanillaladder::http
