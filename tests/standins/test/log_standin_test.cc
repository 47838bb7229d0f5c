#include "standins/log_standin.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "external/error.h"
#include "external/http_log_service.h"
#include "http/server.h"

namespace vanillaladder::standins {
namespace {

using append_answer = absl::StatusOr<model::offset>;
using read_answer = absl::StatusOr<external::read_result>;
using external::log_entry;

/// Keeps the answer to a control request.
class control_answer : public http::responder {
 public:
  void respond(http::response answer) override { status = answer.status; }
  bool connected() const override { return true; }
  void on_disconnect(std::function<void()> /*callback*/) override {}

  int status = 0;
};

struct fixture {
  http::event_loop loop;
  log_standin standin{loop};
  std::unique_ptr<http::server> server;
  std::unique_ptr<external::http_log_service> log;

  fixture() {
    auto made = http::server::listen(
        loop, {}, [this](const http::request& message, const auto& answer) {
          standin.handle(message, answer);
        });
    REQUIRE(made.ok());
    server = std::move(*made);
    external::http_log_options options;
    options.port = server->port();
    log = std::make_unique<external::http_log_service>(loop, options);
  }

  void set(const std::string& settings) {
    auto answer = std::make_shared<control_answer>();
    standin.control({"POST", "/set", {}, settings}, answer);
    REQUIRE(answer->status == 200);
  }

  append_answer append(const std::vector<std::string>& records) {
    std::optional<append_answer> result;
    log->append("s", records, [&](append_answer value) {
      result.emplace(std::move(value));
      loop.stop();
    });
    loop.run();
    return *result;
  }

  read_answer read(model::offset from, std::chrono::milliseconds wait) {
    std::optional<read_answer> result;
    log->read("s", from, 100, wait, [&](read_answer value) {
      result.emplace(std::move(value));
      loop.stop();
    });
    loop.run();
    return *result;
  }
};

}  // namespace

// Guards against a stand-in that reorders, alters or forgets records.
TEST_CASE("records keep their order, bytes and offsets") {
  fixture f;
  CHECK(f.append({"a", std::string("\0b", 2)}) == append_answer(0));
  CHECK(f.append({"c"}) == append_answer(2));
  auto result = f.read(1, std::chrono::milliseconds(0));
  REQUIRE(result.ok());
  CHECK(result->next == 3);
  CHECK(result->entries ==
        std::vector<log_entry>{{1, std::string("\0b", 2)}, {2, "c"}});
}

// Guards against a lost answer that is confused with a lost append.
TEST_CASE("an append with a lost answer has taken effect") {
  fixture f;
  f.set(R"({"lose_answers": 1})");
  auto lost = f.append({"a"});
  REQUIRE_FALSE(lost.ok());
  CHECK(external::possibly_sent(lost.status()));
  CHECK(f.append({"b"}) == append_answer(1));
}

// Guards against an outage in which records are still added.
TEST_CASE("nothing takes effect during an outage") {
  fixture f;
  f.set(R"({"outage": "error"})");
  CHECK_FALSE(f.append({"a"}).ok());
  f.set(R"({"outage": "close"})");
  CHECK_FALSE(f.append({"a"}).ok());
  f.set(R"({"outage": "none"})");
  CHECK(f.append({"a"}) == append_answer(0));
}

// Guards against readers that do not learn that records are gone.
TEST_CASE("a read from before the retained range starts at its first record") {
  fixture f;
  f.set(R"({"retention": 2})");
  CHECK(f.append({"a", "b", "c"}).ok());
  auto result = f.read(0, std::chrono::milliseconds(0));
  REQUIRE(result.ok());
  CHECK(result->first == 1);
  CHECK(result->entries == std::vector<log_entry>{{1, "b"}, {2, "c"}});
}

// Guards against a waiting read that misses the record it waits for.
TEST_CASE("a waiting read is answered by the next append") {
  fixture f;
  std::vector<std::string> records = {"a"};
  f.loop.post([&] { f.log->append("s", records, [](const auto&) {}); });
  auto result = f.read(0, std::chrono::milliseconds(20000));
  REQUIRE(result.ok());
  CHECK(result->entries == std::vector<log_entry>{{0, "a"}});
}

}  // namespace vanillaladder::standins
