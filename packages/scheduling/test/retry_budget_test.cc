#include "scheduling/retry_budget.h"

#include <catch2/catch.hpp>

namespace vanillaladder::scheduling {
namespace {

using namespace std::chrono_literals;

const model::time_point start = model::time_point() + 1h;

}  // namespace

// Guards against retries that amplify the load when most servers fail.
TEST_CASE("retries stay within their share over many windows") {
  retry_budget budget;
  int admitted = 0;
  int retries = 0;
  for (auto now = start; now < start + 200s; now += 5ms) {
    budget.record_admission(now);
    ++admitted;
    if (budget.allows_retry(now)) {
      budget.record_retry(now);
      ++retries;
    }
  }
  CHECK(retries * 10 <= admitted);
  CHECK(retries * 11 >= admitted);
}

// Guards against a daemon with little traffic that can never retry, and against
// retries at a budget of 0%.
TEST_CASE("the minimum number of retries applies except at 0%") {
  retry_budget budget;
  for (std::uint64_t n = 0; n < retry_budget::min_retries; ++n) {
    CHECK(budget.allows_retry(start));
    budget.record_retry(start);
  }
  CHECK_FALSE(budget.allows_retry(start));
  CHECK(budget.allows_retry(start + 30s));
  budget.set_percent(0);
  CHECK_FALSE(budget.allows_retry(start + 30s));
}

}  // namespace vanillaladder::scheduling
