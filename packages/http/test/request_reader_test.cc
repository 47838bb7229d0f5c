#include "http/detail/request_reader.h"

#include <catch2/catch.hpp>
#include <string>

namespace vanillaladder::http::detail {
namespace {

using state = request_reader::state;

constexpr std::string_view post =
    "POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-Team: t\r\nX-Other: o\r\n"
    "Content-Length: 5\r\n\r\nhello";

}  // namespace

// Guards against requests that depend on how their bytes are split.
TEST_CASE("a request is read the same in any pieces") {
  for (std::size_t piece = 1; piece <= post.size(); ++piece) {
    request_reader reader(1000, 100);
    for (std::size_t at = 0; at < post.size(); at += piece) {
      reader.feed(post.substr(at, piece));
    }
    REQUIRE(reader.current_state() == state::complete);
    auto message = reader.take_request();
    CHECK(message.method == "POST");
    CHECK(message.target == "/a?b=c");
    CHECK(message.host == "h");
    CHECK(message.body == "hello");
    CHECK(message.headers == std::vector<header>{{"x-team", "t"}});
    CHECK(reader.current_state() == state::idle);
  }
}

// Guards against a second request that is taken for a part of the first.
TEST_CASE("bytes after a request are left for the next one") {
  request_reader reader(1000, 100);
  std::string two = std::string(post) + std::string(post);
  auto used = reader.feed(two);
  REQUIRE(used == post.size());
  REQUIRE(reader.current_state() == state::complete);
  REQUIRE(reader.feed(two) == 0);
  reader.take_request();
  REQUIRE(reader.feed(two.substr(used)) == post.size());
  REQUIRE(reader.current_state() == state::complete);
}

TEST_CASE("requests outside the limits are refused with their status") {
  auto status_of = [](const std::string& text) {
    request_reader reader(200, 10);
    reader.feed(text);
    return reader.current_state() == state::failed ? reader.failure_status()
                                                   : 0;
  };
  CHECK(status_of("POST / HTTP/1.1\r\ncontent-length: 11\r\n\r\n") == 413);
  CHECK(status_of("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n") ==
        411);
  CHECK(status_of("POST / HTTP/1.1\r\nhost: a\r\n\r\n") == 411);
  CHECK(status_of("GET / HTTP/1.1\r\nx-a: " + std::string(300, 'x')) == 431);
  CHECK(status_of("nonsense\r\n\r\n") == 400);
  CHECK(status_of("CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n") == 400);
  CHECK(status_of("GET / HTTP/1.1\r\nhost: a\r\n\r\n") == 0);
}

// Guards against memory that is taken for what a caller only announces.
TEST_CASE("memory follows the bytes that have arrived") {
  request_reader reader(1000, 1U << 20);
  reader.feed("POST / HTTP/1.1\r\ncontent-length: 1000000\r\n\r\n");
  REQUIRE(reader.buffered_bytes() < 1000);
  reader.feed(std::string(10'000, 'x'));
  REQUIRE(reader.buffered_bytes() < 30'000);
  reader.reset();
  REQUIRE(reader.buffered_bytes() < 1000);
}

TEST_CASE("a caller may wait for the permission to send its body") {
  request_reader reader(1000, 100);
  reader.feed(
      "POST / HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 1\r\n\r\n");
  REQUIRE(reader.take_expectation());
  REQUIRE_FALSE(reader.take_expectation());
  reader.feed("x");
  REQUIRE(reader.current_state() == state::complete);
}

}  // namespace vanillaladder::http::detail
