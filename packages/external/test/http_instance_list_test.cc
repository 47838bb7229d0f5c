#include "external/http_instance_list.h"

#include "fake_peer.h"

namespace vanillaladder::external {
namespace {

using fetch_result = absl::StatusOr<instance_snapshot>;

struct fixture : fake_peer {
  fetch_result fetch(std::string body) {
    answer = http::json_response(200, std::move(body));
    http_instance_list_options options;
    options.port = server->port();
    http_instance_list list(loop, options);
    return wait<fetch_result>([&](auto done) { list.fetch(done); });
  }
};

}  // namespace

// Guards against instances that are lost or get a wrong kind in decoding.
TEST_CASE("instances are decoded by kind") {
  fixture f;
  auto result = f.fetch(R"({"age_ms": 9, "instances": [
      {"id": "w", "kind": "worker", "address": "127.0.0.1", "port": 1,
       "domain": "a", "rack": "r", "state": "live", "cpu_millis": 10,
       "memory_mib": 11, "accelerators": 12},
      {"id": "b", "kind": "backend", "address": "127.0.0.1", "port": 2,
       "domain": "a", "rack": "r", "state": "leaving", "service": "s",
       "slots": 8, "connections": 64},
      {"id": "e", "kind": "entry", "address": "127.0.0.1", "port": 3,
       "domain": "a", "state": "live"},
      {"id": "x", "kind": "later", "address": "127.0.0.1", "port": 4,
       "state": "live"}]})");
  REQUIRE(result.ok());
  CHECK(result->age == std::chrono::milliseconds(9));
  using state = model::instance_state;
  CHECK(result->workers ==
        std::vector<model::worker_info>{
            {"w", "127.0.0.1", 1, "a", "r", {10, 11, 12}, state::live}});
  CHECK(result->backends ==
        std::vector<model::backend_info>{
            {"b", "127.0.0.1", 2, "a", "r", "s", 8, 64, state::leaving}});
  CHECK(result->entries ==
        std::vector<entry_info>{{"e", "127.0.0.1", 3, "a", state::live}});
}

// Guards against the valid part of a malformed list being used as the whole.
TEST_CASE("a malformed instance list is an error") {
  fixture f;
  auto body =
      GENERATE(as<std::string>(), "{}", R"({"age_ms": 1})",
               R"({"age_ms": -1, "instances": []})",
               R"({"age_ms": 1, "instances": [{"id": "w", "kind": "worker",
          "address": "127.0.0.1", "port": 70000, "state": "live"}]})",
               R"({"age_ms": 1, "instances": [{"id": "w", "kind": "worker",
          "address": "127.0.0.1", "port": 7, "state": "gone"}]})",
               R"({"age_ms": 1, "instances": [7]})");
  CAPTURE(body);
  CHECK(f.fetch(body).status().code() == absl::StatusCode::kDataLoss);
}

// Guards against a 304 answer being read as an empty list.
TEST_CASE("a not-modified answer returns the last instance list") {
  fixture f;
  http_instance_list_options options;
  options.port = f.server->port();
  http_instance_list list(f.loop, options);
  f.answer = http::json_response(200, R"({"age_ms": 9, "instances": [
      {"id": "w", "kind": "worker", "address": "127.0.0.1", "port": 1,
       "domain": "a", "rack": "r", "state": "live", "cpu_millis": 10}]})");
  f.answer.headers.push_back({"etag", "\"1\""});
  auto first = f.wait<fetch_result>([&](auto done) { list.fetch(done); });
  f.answer = {304, {}, ""};
  auto second = f.wait<fetch_result>([&](auto done) { list.fetch(done); });
  REQUIRE(first.ok());
  REQUIRE(second.ok());
  CHECK(second->workers == first->workers);
  CHECK(second->workers.size() == 1);
}

}  // namespace vanillaladder::external
