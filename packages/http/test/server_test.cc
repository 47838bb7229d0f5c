#include "http/server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
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

/// A client connection for bytes of any kind.
class raw_connection {
 public:
  explicit raw_connection(std::uint16_t port)
      : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(socket_, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
  }
  ~raw_connection() { close(socket_); }
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  void send(const std::string& text) const {
    REQUIRE(::send(socket_, text.data(), text.size(),
                   MSG_NOSIGNAL | MSG_DONTWAIT) ==
            static_cast<ssize_t>(text.size()));
  }

  /// @return what has arrived and what arrives until the server closes.
  std::string read_all() const {
    std::string all;
    std::array<char, 4096> buffer{};
    for (ssize_t count = 0; (count = recv(socket_, buffer.data(), buffer.size(),
                                          MSG_DONTWAIT)) > 0;) {
      all.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return all;
  }

 private:
  int socket_;
};

/// A client connection that reads nothing until `read_body` is called.
class unread_connection {
 public:
  explicit unread_connection(std::uint16_t port)
      : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    int buffer_bytes = 1 << 16;
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
               sizeof(buffer_bytes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    std::string text = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    bool sent = connect(socket_, reinterpret_cast<sockaddr*>(&address),
                        sizeof(address)) == 0 &&
                send(socket_, text.data(), text.size(), MSG_NOSIGNAL) ==
                    static_cast<ssize_t>(text.size());
    REQUIRE(sent);
  }
  ~unread_connection() { close(socket_); }
  unread_connection(const unread_connection&) = delete;
  unread_connection& operator=(const unread_connection&) = delete;

  /// @return body bytes that arrive until the server closes the connection.
  std::size_t read_body() {
    std::string all;
    std::string buffer(1 << 16, ' ');
    for (ssize_t count = 0;
         (count = recv(socket_, buffer.data(), buffer.size(), 0)) > 0;) {
      all.append(buffer, 0, static_cast<std::size_t>(count));
    }
    auto body = all.find("\r\n\r\n");
    return body == std::string::npos ? 0 : all.size() - body - 4;
  }

 private:
  int socket_;
};

/// Destroys a server as soon as it has no open request, or after `max_polls`
/// checks, while the caller reads nothing.
/// @return body bytes that the caller can still read, or nullopt if the request
///   stayed open.
std::optional<std::size_t> read_after_destruction(std::size_t body_bytes) {
  constexpr int max_polls = 60;
  auto loop = std::make_unique<event_loop>();
  bool handled = false;
  auto server = server::listen(
      *loop, {}, [&](request, const std::shared_ptr<responder>& responder) {
        handled = true;
        responder->respond({200, {}, std::string(body_bytes, 'x')});
      });
  REQUIRE(server.ok());
  unread_connection caller((*server)->port());
  int polls = 0;
  std::function<void()> poll = [&] {
    polls += handled ? 1 : 0;
    if ((handled && (*server)->open_requests() == 0) || polls == max_polls) {
      loop->stop();
    } else {
      loop->call_after(2ms, poll);
    }
  };
  loop->call_after(2ms, poll);
  loop->run();
  bool done = (*server)->open_requests() == 0;
  server->reset();
  loop.reset();
  return done ? std::optional(caller.read_body()) : std::nullopt;
}

request post(std::string target, std::string body) {
  return {"POST", std::move(target), {{"x-team", "a"}}, std::move(body)};
}

}  // namespace

// Guards against bodies that are truncated at a buffer boundary.
TEST_CASE("a large body is transferred unchanged in both directions") {
  fixture f;
  auto server = server::listen(
      f.loop, {},
      [](request message, const std::shared_ptr<responder>& responder) {
        responder->respond(
            {200,
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

// Guards against a request that counts as answered while the library still
// buffers the end of its response, which is lost if the process exits.
TEST_CASE("a request stays open until the kernel has the whole response") {
  // The library buffers the last chunk only at the body size that just fills
  // the kernel's buffers, so a binary search finds that size. The number of
  // checks affects only which sizes the search visits.
  std::size_t largest_flushed = 1U << 16;
  std::size_t smallest_unflushed = 1U << 24;
  while (smallest_unflushed - largest_flushed > 512) {
    auto bytes = (largest_flushed + smallest_unflushed) / 2;
    auto arrived = read_after_destruction(bytes);
    if (arrived) {
      REQUIRE(*arrived == bytes);
      largest_flushed = bytes;
    } else {
      smallest_unflushed = bytes;
    }
  }
  CHECK(largest_flushed > (1U << 16));
}

// Guards against responses that are matched by order instead of by connection.
TEST_CASE("responses sent in reverse order reach their own callers") {
  fixture f;
  std::vector<std::pair<std::string, std::shared_ptr<responder>>> waiting;
  auto server = server::listen(
      f.loop, {},
      [&](request message, const std::shared_ptr<responder>& responder) {
        waiting.emplace_back(message.body, responder);
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

// Guards against an unresponsive peer that keeps an exchange open forever, and
// against an exchange reported as not sent although the peer has received it.
TEST_CASE("a request without a response times out as possibly sent") {
  fixture f;
  std::vector<std::shared_ptr<responder>> waiting;
  auto server = server::listen(
      f.loop, {}, [&](request, const std::shared_ptr<responder>& responder) {
        waiting.push_back(responder);
      });
  REQUIRE(server.ok());
  f.send_and_wait((*server)->port(), post("/", "x"), 1, 500ms);
  auto* failure = std::get_if<client_failure>(&f.results.at(0));
  REQUIRE(failure != nullptr);
  CHECK(failure->phase == failure_phase::possibly_sent);
  CHECK(failure->status.code() == absl::StatusCode::kDeadlineExceeded);
  CHECK(waiting.size() == 1);
}

// Guards against a closed connection that is taken for a response, or for a
// request that was not sent.
TEST_CASE("an aborted request ends without a response") {
  fixture f;
  bool disconnected = false;
  auto server = server::listen(
      f.loop, {}, [&](request, const std::shared_ptr<responder>& responder) {
        responder->on_disconnect([&] { disconnected = true; });
        responder->abort();
        responder->respond({200, {}, "late"});
      });
  REQUIRE(server.ok());
  f.send_and_wait((*server)->port(), post("/", "x"));
  auto* failure = std::get_if<client_failure>(&f.results.at(0));
  REQUIRE(failure != nullptr);
  CHECK(failure->phase == failure_phase::possibly_sent);
  CHECK(failure->status.code() == absl::StatusCode::kUnavailable);
  CHECK(disconnected);
}

// Guards against the library's default timeout of 5 s: it looks like a close by
// the peer, after which an idempotent request is sent a second time although
// the first attempt still runs.
TEST_CASE("a response after more than 5 s is received") {
  fixture f;
  auto server = server::listen(
      f.loop, {}, [&](request, const std::shared_ptr<responder>& responder) {
        f.loop.call_after(5500ms, [responder] {
          responder->respond({200, {}, "x"});
        });
      });
  REQUIRE(server.ok());
  f.send_and_wait((*server)->port(), post("/", "x"));
  auto* answer = std::get_if<response>(&f.results.at(0));
  REQUIRE(answer != nullptr);
  CHECK(answer->body == "x");
}

// Guards against buffering a body above the limit in memory.
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

// Guards against a server that hangs, or mixes up answers, when a caller does
// not wait for them.
TEST_CASE("requests sent without waiting are answered one after the other") {
  fixture f;
  int open = 0;
  int most_open = 0;
  auto server = server::listen(
      f.loop, {},
      [&](const request& message, const std::shared_ptr<responder>& answer) {
        most_open = std::max(most_open, ++open);
        f.loop.call_after(5ms, [&, answer, target = message.target] {
          --open;
          answer->respond({200, {}, target});
        });
      });
  REQUIRE(server.ok());
  raw_connection caller((*server)->port());
  caller.send(
      "POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nxx"
      "GET /2 HTTP/1.1\r\nhost: a\r\n\r\n"
      "GET /3 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
  f.loop.call_after(300ms, [&] { f.loop.stop(); });
  f.loop.run();
  auto text = caller.read_all();
  auto first = text.find("/1");
  auto second = text.find("/2");
  auto third = text.find("/3");
  REQUIRE(third != std::string::npos);
  CHECK(first < second);
  CHECK(second < third);
  CHECK(most_open == 1);
}

// Guards against bodies that are held until their end, whatever they add up to.
TEST_CASE("bodies that don't end give way to others") {
  fixture f;
  server_options options;
  options.limits.max_buffered_bytes = 100'000;
  int limited = 0;
  options.on_limit = [&](std::string_view) { ++limited; };
  auto server = server::listen(
      f.loop, options,
      [](const request& message, const std::shared_ptr<responder>& answer) {
        answer->respond({200, {}, std::to_string(message.body.size())});
      });
  REQUIRE(server.ok());
  std::vector<std::unique_ptr<raw_connection>> crowd;
  crowd.reserve(20);
  for (int n = 0; n < 20; ++n) {
    crowd.push_back(std::make_unique<raw_connection>((*server)->port()));
    crowd.back()->send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: " +
                       std::to_string(30'001) + "\r\n\r\n" +
                       std::string(30'000, 'x'));
  }
  f.loop.call_after(100ms, [&] { f.loop.stop(); });
  f.loop.run();
  REQUIRE(limited >= 16);
  f.send_and_wait((*server)->port(), post("/", std::string(20'000, 'y')));
  auto* answer = std::get_if<response>(&f.results.at(0));
  REQUIRE(answer != nullptr);
  CHECK(answer->body == "20000");
}

// Guards against idle connections that keep new callers out.
TEST_CASE("an idle connection gives way to a new one") {
  fixture f;
  server_options options;
  options.limits.max_connections = 4;
  auto server = server::listen(
      f.loop, options, [](auto, const auto& answer) { answer->respond({}); });
  REQUIRE(server.ok());
  std::vector<std::unique_ptr<raw_connection>> crowd;
  crowd.reserve(12);
  for (int n = 0; n < 12; ++n) {
    crowd.push_back(std::make_unique<raw_connection>((*server)->port()));
  }
  f.send_and_wait((*server)->port(), post("/", "x"));
  auto* answer = std::get_if<response>(&f.results.at(0));
  REQUIRE(answer != nullptr);
  CHECK(answer->status == 200);
}

TEST_CASE("headers that don't end are refused in time") {
  fixture f;
  server_options options;
  options.limits.head_timeout = 50ms;
  auto server = server::listen(f.loop, options, [](auto, auto) {});
  REQUIRE(server.ok());
  raw_connection caller((*server)->port());
  caller.send("GET / HTTP/1.1\r\nhost:");
  f.loop.call_after(1200ms, [&] { f.loop.stop(); });
  f.loop.run();
  server->reset();
  CHECK(caller.read_all().starts_with("HTTP/1.1 408 "));
}

// Guards against requests that are lost or repeated under concurrency.
TEST_CASE("each of many concurrent requests is handled once") {
  fixture f;
  std::size_t handled = 0;
  auto server = server::listen(
      f.loop, {}, [&](request, const std::shared_ptr<responder>& responder) {
        ++handled;
        responder->respond({204, {}, ""});
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
