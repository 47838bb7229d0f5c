#include "batch/run_time_model.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace vanillaladder::batch {
namespace {

using namespace std::chrono_literals;

TEST_CASE("estimates are used as they are until enough tasks have ended") {
  run_time_model model;
  REQUIRE(model.expected("q", 700ms) == 700ms);
  model.observe("q", 700ms, 1400ms);
  REQUIRE(model.expected("q", 700ms) == 700ms);
}

TEST_CASE("exact estimates are kept, a common bias is removed") {
  run_time_model model;
  for (int n = 0; n < 200; ++n) {
    milliseconds estimate(400 + 100 * (n % 7));
    model.observe("q", estimate, estimate + 200ms);
  }
  REQUIRE(std::abs((model.expected("q", 400ms) - 600ms).count()) < 20);
  REQUIRE(std::abs((model.expected("q", 1000ms) - 1200ms).count()) < 20);
  REQUIRE(model.expected("other", 400ms) == 400ms);
}

TEST_CASE("pattern: estimates without information give the mean run time") {
  run_time_model model;
  for (int n = 0; n < 400; ++n) {
    // Run times do not depend on the estimates.
    model.observe("q", milliseconds(100 + 300 * (n % 5)),
                  milliseconds(600 + 20 * (n % 3)));
  }
  REQUIRE(std::abs((model.expected("q", 100ms) - 620ms).count()) < 30);
  REQUIRE(std::abs((model.expected("q", 1300ms) - 620ms).count()) < 30);
}

}  // namespace
}  // namespace vanillaladder::batch
