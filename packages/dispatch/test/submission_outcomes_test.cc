#include "dispatch/submission_outcomes.h"

#include <catch2/catch.hpp>

namespace vanillaladder::dispatch {
namespace {

TEST_CASE("a submission that was not stored leaves nothing behind") {
  submission_outcomes outcomes;
  outcomes.begin("a");
  REQUIRE(outcomes.may_be_stored("a"));
  outcomes.end("a", submit_result::not_stored);
  REQUIRE_FALSE(outcomes.may_be_stored("a"));
}

TEST_CASE("an attempt with an unknown outcome may be stored") {
  submission_outcomes outcomes;
  outcomes.begin("a");
  outcomes.end("a", submit_result::unknown);
  REQUIRE(outcomes.may_be_stored("a"));
  outcomes.begin("a");
  outcomes.end("a", submit_result::not_stored);
  REQUIRE(outcomes.may_be_stored("a"));
  REQUIRE_FALSE(outcomes.may_be_stored("b"));
}

TEST_CASE("an attempt may be stored while another one is in flight") {
  submission_outcomes outcomes;
  outcomes.begin("a");
  outcomes.begin("a");
  outcomes.end("a", submit_result::not_stored);
  REQUIRE(outcomes.may_be_stored("a"));
  outcomes.end("a", submit_result::accepted);
  REQUIRE_FALSE(outcomes.may_be_stored("a"));
}

TEST_CASE("only the latest unknown outcomes are remembered") {
  submission_outcomes outcomes;
  for (std::size_t n = 0; n <= submission_outcomes::max_unknown; ++n) {
    auto id = std::to_string(n);
    outcomes.begin(id);
    outcomes.end(id, submit_result::unknown);
  }
  REQUIRE_FALSE(outcomes.may_be_stored("0"));
  REQUIRE(outcomes.may_be_stored("1"));
}

}  // namespace
}  // namespace vanillaladder::dispatch
