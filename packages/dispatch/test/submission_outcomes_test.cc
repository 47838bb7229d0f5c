#include "dispatch/submission_outcomes.h"

#include <catch2/catch.hpp>

namespace vanillaladder::dispatch {
namespace {

TEST_CASE("a refused submission may be refused again") {
  submission_outcomes outcomes;
  outcomes.begin("a");
  REQUIRE(outcomes.end("a", submit_result::refused) == submit_result::refused);
  REQUIRE(outcomes.refusal_of("a") == submit_result::refused);
}

TEST_CASE("nothing is refused after an attempt with an unknown outcome") {
  submission_outcomes outcomes;
  outcomes.begin("a");
  REQUIRE(outcomes.refusal_of("a") == submit_result::unknown);
  REQUIRE(outcomes.end("a", submit_result::unknown) == submit_result::unknown);
  REQUIRE(outcomes.refusal_of("a") == submit_result::unknown);
  outcomes.begin("a");
  REQUIRE(outcomes.end("a", submit_result::refused) == submit_result::unknown);
  REQUIRE(outcomes.refusal_of("b") == submit_result::refused);
}

TEST_CASE("an attempt is not refused while another one is in flight") {
  submission_outcomes outcomes;
  outcomes.begin("a");
  outcomes.begin("a");
  REQUIRE(outcomes.end("a", submit_result::refused) == submit_result::unknown);
  REQUIRE(outcomes.end("a", submit_result::accepted) ==
          submit_result::accepted);
}

TEST_CASE("only the latest unknown outcomes are remembered") {
  submission_outcomes outcomes;
  for (std::size_t n = 0; n <= submission_outcomes::max_unknown; ++n) {
    auto id = std::to_string(n);
    outcomes.begin(id);
    outcomes.end(id, submit_result::unknown);
  }
  REQUIRE(outcomes.refusal_of("0") == submit_result::refused);
  REQUIRE(outcomes.refusal_of("1") == submit_result::unknown);
}

}  // namespace
}  // namespace vanillaladder::dispatch
