#include "http/server.h"

#include <catch2/catch.hpp>
#include <thread>

#include "http/client.h"

namespace vanillaladder::http {
namespace {

using namespace std::chrono_literals;

struct fixture {
  event_loop loop;
  client sender{loop};
  std::vector<client_result> results;

  void send_and_wait(std::uint16_t port, request message, std::size_t count = 1,
                     std::chrono::milliseconds timeout = 20s) {
    client_options options;
    options.timeout = timeout;
    for (std::size_t n = 0; n < count; ++n) {
      sender.send("127.0.0.1", port, message, options,
                  [this, count](client_result result) {
                    results.push_back(std::move(result));
                    if (results.size() == count) {
                      loop.stop();
                    }
                  });
    }
    loop.run();
  }
};

request post(std::string target, std::string body) {
  return {"POST", std::move(target), {{"x-team", "a"}}, std::move(body)};
}

}  // namespace

// Guards against bodies that are cut at a buffer boundary.
TEST_CASE("a large body travels both ways unchanged") {
  fixture f;
  auto server = server::listen(
      f.loop, {},
      [](request message, const std::shared_ptr<responder>& answer) {
        answer->respond({200,
                         {{"x-outcome", "answered"}},
                         std::string(find_header(message.headers, "x-team")) +
                             message.target + message.body});
      });
  REQUIRE(server.ok());
  std::string body(300000, 'x');
  body.back() = 'y';
  f.send_and_wait((*server)->port(), post("/a/b?c=d&e=f", body));
  auto* answer = std::get_if<response>(&f.results.at(0));
  REQUIRE(answer != nullptr);
  CHECK(answer->status == 200);
  CHECK(find_header(answer->headers, "x-outcome") == "answered");
  CHECK(answer->body == "a/a/b?c=d&e=f" + body);
}

// Guards against answers that are matched by order instead of by connection.
TEST_CASE("answers given in reverse order reach their own callers") {
  fixture f;
  std::vector<std::pair<std::string, std::shared_ptr<responder>>> waiting;
  auto server = server::listen(
      f.loop, {},
      [&](request message, const std::shared_ptr<responder>& answer) {
        waiting.emplace_back(message.body, answer);
        if (waiting.size() == 3) {
          for (auto it = waiting.rbegin(); it != waiting.rend(); ++it) {
            it->second->respond({200, {}, it->first});
          }
        }
      });
  REQUIRE(server.ok());
  std::vector<std::string> answers(3);
  std::size_t received = 0;
  for (std::size_t n = 0; n < 3; ++n) {
    f.sender.send("127.0.0.1", (*server)->port(), post("/", std::to_string(n)),
                  {}, [&, n](client_result result) {
                    answers[n] = std::get<response>(result).body;
                    if (++received == 3) {
                      f.loop.stop();
                    }
                  });
  }
  f.loop.run();
  CHECK(answers == std::vector<std::string>{"0", "1", "2"});
}

// Guards against a refused connection that is reported as possibly sent.
TEST_CASE("a refused connection is reported as not sent") {
  fixture f;
  std::uint16_t free_port = 0;
  {
    event_loop other;
    auto server = server::listen(other, {}, [](auto, auto) {});
    REQUIRE(server.ok());
    free_port = (*server)->port();
  }
  f.send_and_wait(free_port, post("/", "x"));
  auto* failure = std::get_if<client_failure>(&f.results.at(0));
  REQUIRE(failure != nullptr);
  CHECK(failure->phase == failure_phase::not_sent);
}

// Guards against a silent peer that holds an exchange for good, and against
// an exchange that is reported as not sent although the peer has it.
TEST_CASE("a request without an answer times out as possibly sent") {
  fixture f;
  std::vector<std::shared_ptr<responder>> waiting;
  auto server = server::listen(
      f.loop, {}, [&](request, const std::shared_ptr<responder>& answer) {
        waiting.push_back(answer);
      });
  REQUIRE(server.ok());
  f.send_and_wait((*server)->port(), post("/", "x"), 1, 500ms);
  auto* failure = std::get_if<client_failure>(&f.results.at(0));
  REQUIRE(failure != nullptr);
  CHECK(failure->phase == failure_phase::possibly_sent);
  CHECK(failure->status.code() == absl::StatusCode::kDeadlineExceeded);
  CHECK(waiting.size() == 1);
}

// Guards against a closed connection that is taken for an answer, or for a
// request that was not sent.
TEST_CASE("an aborted request ends without a response") {
  fixture f;
  bool disconnected = false;
  auto server = server::listen(
      f.loop, {}, [&](request, const std::shared_ptr<responder>& answer) {
        answer->on_disconnect([&] { disconnected = true; });
        answer->abort();
        answer->respond({200, {}, "late"});
      });
  REQUIRE(server.ok());
  f.send_and_wait((*server)->port(), post("/", "x"));
  auto* failure = std::get_if<client_failure>(&f.results.at(0));
  REQUIRE(failure != nullptr);
  CHECK(failure->phase == failure_phase::possibly_sent);
  CHECK(failure->status.code() == absl::StatusCode::kUnavailable);
  CHECK(disconnected);
}

// Guards against the library's own timeout of 5 s: it looks like a close by
// the peer, after which an idempotent request is sent a second time although
// the first attempt still runs.
TEST_CASE("an answer after more than 5 s is received") {
  fixture f;
  auto server = server::listen(
      f.loop, {}, [&](request, const std::shared_ptr<responder>& answer) {
        f.loop.call_after(5500ms, [answer] {
          answer->respond({200, {}, "x"});
        });
      });
  REQUIRE(server.ok());
  f.send_and_wait((*server)->port(), post("/", "x"));
  auto* answer = std::get_if<response>(&f.results.at(0));
  REQUIRE(answer != nullptr);
  CHECK(answer->body == "x");
}

// Guards against a body above the limit being kept in memory.
TEST_CASE("an oversized request is refused with 413") {
  fixture f;
  server_options options;
  options.max_request_bytes = 10;
  bool called = false;
  auto server =
      server::listen(f.loop, options, [&](auto, auto) { called = true; });
  REQUIRE(server.ok());
  f.send_and_wait((*server)->port(), post("/", "01234567890"));
  auto* answer = std::get_if<response>(&f.results.at(0));
  REQUIRE(answer != nullptr);
  CHECK(answer->status == 413);
  CHECK_FALSE(called);
}

// Guards against requests that are lost or repeated under concurrency.
TEST_CASE("each of many concurrent requests is handled once") {
  fixture f;
  std::size_t handled = 0;
  auto server = server::listen(
      f.loop, {}, [&](request, const std::shared_ptr<responder>& answer) {
        ++handled;
        answer->respond({204, {}, ""});
      });
  REQUIRE(server.ok());
  f.send_and_wait((*server)->port(), {"GET", "/x", {}, ""}, 100);
  CHECK(handled == 100);
  for (const auto& result : f.results) {
    auto* answer = std::get_if<response>(&result);
    REQUIRE(answer != nullptr);
    CHECK(answer->status == 204);
  }
}

// Guards against timers that fire out of order or after being cancelled.
TEST_CASE("timers run in order and a cancelled one never runs") {
  event_loop loop;
  std::string order;
  loop.call_after(20ms, [&] {
    order += 'b';
    loop.stop();
  });
  loop.call_after(10ms, [&] { order += 'a'; });
  auto cancelled = loop.call_after(5ms, [&] { order += 'x'; });
  loop.cancel(cancelled);
  loop.run();
  CHECK(order == "ab");
}

}  // namespace vanillaladder::http
