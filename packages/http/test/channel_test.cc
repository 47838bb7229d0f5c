#include "http/channel.h"

#include <catch2/catch.hpp>
#include <vector>

#include "http/server.h"

namespace vanillaladder::http {
namespace {

using namespace std::chrono_literals;

struct fixture {
  event_loop loop;
  transport shared_transport{loop};
  std::vector<request> received_requests;
  std::vector<std::shared_ptr<responder>> held_responders;
  bool hold_responses = false;
  std::unique_ptr<server> peer;
  std::vector<client_result> results;

  fixture() {
    auto listening_server = server::listen(
        loop, {}, [this](request message, const auto& responder) {
          received_requests.push_back(message);
          if (hold_responses) {
            held_responders.push_back(responder);
          } else {
            responder->respond({200, {}, message.body + "!"});
          }
        });
    REQUIRE(listening_server.ok());
    peer = std::move(*listening_server);
  }

  channel::callback collect(std::size_t expected_results) {
    return [this, expected_results](client_result result) {
      results.push_back(std::move(result));
      if (results.size() == expected_results) {
        loop.stop();
      }
    };
  }
};

// Guards against a new connection for each call, which costs three times the
// processor time of a persistent one.
TEST_CASE("sequential calls share one connection") {
  fixture f;
  channel calls(f.shared_transport, "127.0.0.1", f.peer->port(), {});
  for (std::size_t n = 1; n <= 20; ++n) {
    calls.send({"POST", "/x", {}, "body"}, 5s, f.collect(n));
    f.loop.run();
  }
  REQUIRE(f.results.size() == 20);
  REQUIRE(std::get<response>(f.results.back()).body == "body!");
  REQUIRE(calls.connections_opened() == 1);
}

TEST_CASE("calls above the connection limit wait and are all answered") {
  fixture f;
  channel calls(f.shared_transport, "127.0.0.1", f.peer->port(), {2});
  for (int n = 0; n < 10; ++n) {
    calls.send({"POST", "/x", {}, "a"}, 5s, f.collect(10));
  }
  f.loop.run();
  REQUIRE(calls.connections_opened() == 2);
  REQUIRE(f.received_requests.size() == 10);
}

// Guards against reuse of an unresponsive connection, which would cost one
// timeout for each call.
TEST_CASE("a call that times out closes its connection") {
  fixture f;
  f.hold_responses = true;
  channel calls(f.shared_transport, "127.0.0.1", f.peer->port(), {1});
  calls.send({"GET", "/slow"}, 50ms, f.collect(1));
  f.loop.run();
  auto& failed = std::get<client_failure>(f.results[0]);
  REQUIRE(failed.phase == failure_phase::possibly_sent);
  REQUIRE(absl::IsDeadlineExceeded(failed.status));
  f.hold_responses = false;
  calls.send({"GET", "/next"}, 5s, f.collect(2));
  f.loop.run();
  REQUIRE(std::holds_alternative<response>(f.results[1]));
  REQUIRE(calls.connections_opened() == 2);
}

// Guards against one timeout for each open connection: what made one silent,
// such as a restart of a device on the path, made the others silent too. Calls
// failed for 7 s, and leases ran out.
TEST_CASE("a call that times out closes the other silent connections") {
  fixture f;
  f.hold_responses = true;
  channel calls(f.shared_transport, "127.0.0.1", f.peer->port(), {4});
  for (int n = 0; n < 4; ++n) {
    calls.send({"GET", "/x"}, 5s, f.collect(4));
  }
  f.loop.call_after(50ms, [&] {
    for (auto& held : std::exchange(f.held_responders, {})) {
      held->respond({});
    }
  });
  f.loop.run();
  REQUIRE(calls.connections_opened() == 4);
  calls.send({"GET", "/slow"}, 50ms, f.collect(5));
  f.loop.run();
  REQUIRE(std::holds_alternative<client_failure>(f.results[4]));
  f.hold_responses = false;
  calls.send({"GET", "/next"}, 5s, f.collect(6));
  f.loop.run();
  REQUIRE(std::holds_alternative<response>(f.results[5]));
  REQUIRE(calls.connections_opened() == 5);
}

// A slow answer to one call says nothing about a connection that answers.
TEST_CASE("a connection that has answered since stays open") {
  fixture f;
  f.hold_responses = true;
  channel calls(f.shared_transport, "127.0.0.1", f.peer->port(), {2});
  calls.send({"GET", "/slow"}, 200ms, f.collect(2));
  calls.send({"GET", "/x"}, 5s, f.collect(2));
  f.loop.call_after(50ms, [&] { f.held_responders.back()->respond({}); });
  f.loop.run();
  REQUIRE(f.results.size() == 2);
  f.hold_responses = false;
  calls.send({"GET", "/next"}, 5s, f.collect(3));
  f.loop.run();
  REQUIRE(std::holds_alternative<response>(f.results[2]));
  REQUIRE(calls.connections_opened() == 2);
}

// Guards against a call that is written after its sender's permission has
// expired: it may wait for a connection, or for this process to run again.
TEST_CASE("a call without permission at the time of writing is not sent") {
  fixture f;
  channel calls(f.shared_transport, "127.0.0.1", f.peer->port(), {1});
  bool allowed = true;
  calls.send({"POST", "/order", {}, ""}, 5s, f.collect(1),
             [&] { return allowed; });
  allowed = false;
  f.loop.run();
  auto& failed = std::get<client_failure>(f.results[0]);
  REQUIRE(failed.phase == failure_phase::not_sent);
  REQUIRE(f.received_requests.empty());
  calls.send({"GET", "/next"}, 5s, f.collect(2));
  f.loop.run();
  REQUIRE(std::holds_alternative<response>(f.results[1]));
  REQUIRE(calls.connections_opened() == 1);
}

TEST_CASE("a call to a port without a listener fails as not sent") {
  fixture f;
  constexpr std::uint16_t unused_port = 1;
  channel calls(f.shared_transport, "127.0.0.1", unused_port, {});
  calls.send({"GET", "/"}, 500ms, f.collect(1));
  f.loop.run();
  REQUIRE(std::get<client_failure>(f.results[0]).phase ==
          failure_phase::not_sent);
}

// Guards against callers that wait forever for a call of a closed channel.
TEST_CASE("each pending call of a closed channel ends once") {
  fixture f;
  f.hold_responses = true;
  auto calls = std::make_unique<channel>(f.shared_transport, "127.0.0.1",
                                         f.peer->port(), channel_options{1, 2});
  // The first is sent, the next two wait, the last finds no place.
  for (int n = 0; n < 4; ++n) {
    calls->send({"POST", "/x", {}, "a"}, 5s, f.collect(4));
    f.loop.call_after(20ms, [&] { f.loop.stop(); });
    f.loop.run();
  }
  REQUIRE(f.results.size() == 1);
  calls->send({"POST", "/x", {}, "a"}, 5s, f.collect(5));
  calls->close();
  calls.reset();
  f.loop.call_after(50ms, [&] { f.loop.stop(); });
  f.loop.run();
  f.loop.call_after(50ms, [&] { f.loop.stop(); });
  f.loop.run();
  REQUIRE(f.results.size() == 5);
  int possibly_sent = 0;
  for (const auto& result : f.results) {
    possibly_sent +=
        std::get<client_failure>(result).phase == failure_phase::possibly_sent
            ? 1
            : 0;
  }
  REQUIRE(possibly_sent == 1);
}

}  // namespace
}  // namespace vanillaladder::http
