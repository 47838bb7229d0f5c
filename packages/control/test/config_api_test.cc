#include "control/config_api.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace vanillaladder::control {
namespace {

nlohmann::json body_of(const http::response& response) {
  return nlohmann::json::parse(response.body);
}

}  // namespace

// Guards against a patch that is accepted although one of its keys is invalid.
TEST_CASE("a patch with one unknown key is rejected entirely") {
  auto parsed = parse_patch(R"({"id": "p", "author": "a", "version": 1,
    "seen_revision": 0, "set": {"retry.budget_percent": 20,
    "class.quote.deadlne_ms": 5}})");
  auto* rejected = std::get_if<http::response>(&parsed);
  REQUIRE(rejected != nullptr);
  CHECK(rejected->status == 422);
  auto errors = body_of(*rejected).at("errors");
  REQUIRE(errors.size() == 1);
  CHECK(errors[0].at("key") == "class.quote.deadlne_ms");
  CHECK(errors[0].at("nearest") == "class.quote.deadline_ms");
}

// Guards against malformed bodies that crash the daemon or pass as a patch.
TEST_CASE("malformed patches are rejected") {
  for (const auto* body :
       {"", "[]", "{", "{\"id\": 5}", R"({"id": "p", "author": "a"})",
        R"({"id": "p", "author": "a", "version": -1, "seen_revision": 0,
            "set": {"retry.max_attempts": 2}})",
        R"({"id": "p", "author": "a", "version": 1, "seen_revision": 0})",
        R"({"id": "p", "author": "a", "version": 1, "seen_revision": 0,
            "set": {"retry.max_attempts": 99}})"}) {
    auto parsed = parse_patch(body);
    auto* rejected = std::get_if<http::response>(&parsed);
    REQUIRE(rejected != nullptr);
    CHECK(rejected->status == 422);
  }
}

// Guards against a conflict response that does not name who changed the key.
TEST_CASE("a conflict names both authors") {
  publish_result result;
  result.outcome = coordination::append_outcome::invalid;
  result.offset = 7;
  result.decision.verdict = coordination::control_verdict::conflict;
  result.decision.conflicts.push_back(
      {"retry.max_attempts", "2", "3", "ann", "bob", "patch-b"});
  auto response = change_response(result, false);
  CHECK(response.status == 409);
  auto conflict = body_of(response).at("conflicts").at(0);
  CHECK(conflict.at("your_author") == "ann");
  CHECK(conflict.at("their_author") == "bob");
  CHECK(conflict.at("their_patch") == "patch-b");
}

// Guards against "accepted" before a majority has applied the patch, and
// against "not-run" for a patch that may be in the log.
TEST_CASE("an unconfirmed change is reported as unknown") {
  publish_result result;
  result.outcome = coordination::append_outcome::valid;
  result.offset = 7;
  CHECK(body_of(change_response(result, true)).at("result") == "accepted");
  CHECK(body_of(change_response(result, false)).at("result") == "unknown");
  result.outcome = coordination::append_outcome::unknown;
  CHECK(body_of(change_response(result, false)).at("result") == "unknown");
  result.outcome = coordination::append_outcome::invalid;
  result.offset = -1;
  CHECK(body_of(change_response(result, false)).at("result") == "not-run");
}

}  // namespace vanillaladder::control
