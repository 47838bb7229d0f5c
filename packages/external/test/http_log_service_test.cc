#include "external/http_log_service.h"

#include "external/error.h"
#include "fake_peer.h"
#include "runtime/error.h"

namespace vanillaladder::external {
namespace {

using read_answer = absl::StatusOr<read_result>;
using append_answer = absl::StatusOr<model::offset>;

struct fixture : fake_peer {
  http_log_options options;

  append_answer append() {
    options.port = server->port();
    http_log_service log(loop, options);
    std::vector<std::string> records = {"a", std::string("\0\xff", 2)};
    return wait<append_answer>(
        [&](auto done) { log.append("control", records, done); });
  }

  read_answer read(std::string body) {
    options.port = server->port();
    answer = http::json_response(200, std::move(body));
    http_log_service log(loop, options);
    return wait<read_answer>([&](auto done) {
      log.read("control", 5, 2, std::chrono::milliseconds(0), done);
    });
  }
};

}  // namespace

// Guards against records that are altered on the way to the log.
TEST_CASE("records are sent in base64 and the first offset is returned") {
  fixture f;
  f.answer = http::json_response(200, R"({"offset": 17})");
  CHECK(f.append() == append_answer(17));
  CHECK(f.seen.target == "/streams/control/records");
  CHECK(f.seen.body == R"({"records":["YQ==","AP8="]})");
}

// Guards against an append that may be in the log being reported as not sent,
// and the reverse.
TEST_CASE("errors of an append tell whether it may have taken effect") {
  fixture f;
  struct example {
    int status;
    bool possible;
  };
  auto [status, possible] =
      GENERATE(example{503, true}, example{500, true}, example{408, true},
               example{302, true}, example{400, false}, example{413, false},
               example{501, false});
  f.answer = {status, {}, "text"};
  auto result = f.append();
  CAPTURE(status);
  REQUIRE_FALSE(result.ok());
  CHECK(possibly_sent(result.status()) == possible);
  CHECK(runtime::error_step(result.status()) == "append to control");
  CHECK(runtime::error_peer(result.status()).starts_with("log 127.0.0.1:"));
}

// Guards against a lost answer being taken for a failed append.
TEST_CASE("a connection closed without an answer is possibly sent") {
  fixture f;
  f.aborts = true;
  auto result = f.append();
  REQUIRE_FALSE(result.ok());
  CHECK(possibly_sent(result.status()));
}

// Guards against a refused connection being taken for a possible append.
TEST_CASE("an append without a connection is not sent") {
  fixture f;
  {
    // The port is free again once the loop of its server is gone.
    fake_peer other;
    f.options.port = other.server->port();
  }
  http_log_service log(f.loop, f.options);
  std::vector<std::string> records = {"a"};
  auto result = f.wait<append_answer>(
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
  CHECK(f.seen.target == "/streams/control/records?from=5&limit=2&wait_ms=0");
}

// Guards against a reader that skips or repeats records because of a wrong
// answer, and against a crash on one.
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

// Guards against an answer that fills the memory.
TEST_CASE("an oversized answer is an error") {
  fixture f;
  f.options.max_answer_bytes = 100;
  auto result = f.read(std::string(1000, ' '));
  CHECK(result.status().code() == absl::StatusCode::kResourceExhausted);
}

}  // namespace vanillaladder::external
