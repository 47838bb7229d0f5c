#include "external/http_log_service.h"

#include "external/error.h"
#include "fake_peer.h"
#include "runtime/error.h"

namespace vanillaladder::external {
namespace {

using read_outcome = absl::StatusOr<read_result>;
using append_outcome = absl::StatusOr<model::offset>;

struct fixture : fake_peer {
  http_log_options options;

  append_outcome append() {
    options.port = server->port();
    http_log_service log(loop, options);
    std::vector<std::string> records = {"a", std::string("\0\xff", 2)};
    return wait<append_outcome>(
        [&](auto done) { log.append("control", records, done); });
  }

  read_outcome read(std::string body) {
    options.port = server->port();
    answer = http::json_response(200, std::move(body));
    http_log_service log(loop, options);
    return wait<read_outcome>([&](auto done) {
      log.read("control", 5, 2, std::chrono::milliseconds(0), done);
    });
  }
};

}  // namespace

// Guards against records with arbitrary bytes being altered in transit.
TEST_CASE("records are sent in base64 and the first offset is returned") {
  fixture f;
  f.answer = http::json_response(200, R"({"offset": 17})");
  CHECK(f.append() == append_outcome(17));
  CHECK(f.last_request.target == "/streams/control/records");
  CHECK(f.last_request.body == R"({"records":["YQ==","AP8="]})");
}

// Guards against an append that may be in the log being reported as not sent,
// and the reverse.
TEST_CASE("append errors report whether the append may have taken effect") {
  fixture f;
  struct example {
    int status;
    bool may_have_effect;
  };
  auto [status, may_have_effect] =
      GENERATE(example{503, true}, example{500, true}, example{408, true},
               example{302, true}, example{400, false}, example{413, false},
               example{501, false});
  f.answer = {status, {}, "text"};
  auto result = f.append();
  CAPTURE(status);
  REQUIRE_FALSE(result.ok());
  CHECK(possibly_sent(result.status()) == may_have_effect);
  CHECK(runtime::error_step(result.status()) == "append to control");
  CHECK(runtime::error_peer(result.status()).starts_with("log 127.0.0.1:"));
}

// Guards against a lost answer being reported as an append that was not sent.
TEST_CASE("a connection closed without an answer is possibly sent") {
  fixture f;
  f.aborts = true;
  auto result = f.append();
  REQUIRE_FALSE(result.ok());
  CHECK(possibly_sent(result.status()));
}

// Guards against a refused connection being reported as a possible append.
TEST_CASE("an append without a connection is not sent") {
  fixture f;
  {
    // The port is closed when the server and its loop are destroyed.
    fake_peer other;
    f.options.port = other.server->port();
  }
  http_log_service log(f.loop, f.options);
  std::vector<std::string> records = {"a"};
  auto result = f.wait<append_outcome>(
      [&](auto done) { log.append("control", records, done); });
  REQUIRE_FALSE(result.ok());
  CHECK_FALSE(possibly_sent(result.status()));
}

// Guards against a record that is lost between two reads.
TEST_CASE("a read returns consecutive records") {
  fixture f;
  auto result = f.read(R"({"first": 2, "next": 9, "records": [
      {"offset": 5, "data": "YQ=="}, {"offset": 6, "data": ""}]})");
  REQUIRE(result.ok());
  CHECK(result->first == 2);
  CHECK(result->next == 9);
  CHECK(result->entries == std::vector<log_entry>{{5, "a"}, {6, ""}});
  CHECK(f.last_request.target ==
        "/streams/control/records?from=5&limit=2&wait_ms=0");
}

// Guards against skipped or repeated records and against a crash because of a
// malformed answer.
TEST_CASE("a malformed read answer is an error") {
  fixture f;
  auto body = GENERATE(
      as<std::string>(), "[]", "{", "null", "1e999", "{\"first\": 0}",
      R"({"first": 0, "next": 9, "records": [{"offset": 6, "data": ""}]})",
      R"({"first": 0, "next": 9, "records": [{"offset": 5, "data": ""},
          {"offset": 7, "data": ""}]})",
      R"({"first": 0, "next": 5, "records": [{"offset": 5, "data": ""}]})",
      R"({"first": 9, "next": 5, "records": []})",
      R"({"first": -1, "next": 5, "records": []})",
      R"({"first": 0, "next": 18446744073709551615, "records": []})",
      R"({"first": 0, "next": 9, "records": [{"offset": 5, "data": "*"}]})",
      R"({"first": 0, "next": 9, "records": [{"offset": 5, "data": 1}]})",
      R"({"first": 0, "next": 9, "records": [{"offset": 5, "data": ""},
          {"offset": 6, "data": ""}, {"offset": 7, "data": ""}]})");
  CAPTURE(body);
  auto result = f.read(body);
  CHECK(result.status().code() == absl::StatusCode::kDataLoss);
}

// Guards against memory exhaustion by a large answer.
TEST_CASE("an oversized answer is an error") {
  fixture f;
  f.options.max_answer_bytes = 100;
  auto result = f.read(std::string(1000, ' '));
  CHECK(result.status().code() == absl::StatusCode::kResourceExhausted);
}

}  // namespace vanillaladder::external
