#include "control/detail/owner_retry.h"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "control/wire_convert.h"

namespace vanillaladder::control::detail {
namespace {

using model::milliseconds;

/// Calls of which the first are refused; timers run at once.
struct refused_calls {
  refused_calls(http::response answer, int count)
      : refusal(std::move(answer)), refusals(count) {}

  http::response refusal;
  int refusals;
  int calls = 0;
  milliseconds waited{0};
  std::vector<int> statuses;

  void run() {
    owner_retry retry([this](milliseconds delay, const auto& again) {
      waited += delay;
      again();
    });
    retry.run(
        [this](const owner_retry::reply& reply) {
          reply(++calls <= refusals ? refusal : http::response{200, {}, ""});
        },
        [this](const http::response& answer) {
          statuses.push_back(answer.status);
        });
  }
};

}  // namespace

// Guards against a caller who is refused while a shard changes hands.
TEST_CASE("a job call is repeated until the shard has an owner") {
  refused_calls calls{not_run_response("shard-owner-unavailable"), 3};
  calls.run();
  CHECK(calls.calls == 4);
  CHECK(calls.statuses == std::vector<int>{200});
}

// Guards against a caller who waits for good, or gets two answers.
TEST_CASE("a job call without an owner is refused in the end") {
  refused_calls calls{not_run_response("stale-view"), 1000};
  calls.run();
  CHECK(calls.waited == max_owner_wait);
  CHECK(calls.statuses == std::vector<int>{503});
}

// Guards against repeats of a call that may have run, or that a log outage
// refuses for a long time.
TEST_CASE("only a call that found no owner is repeated") {
  for (const auto& refusal :
       {unknown_response("shard-owner-silent"),
        not_run_response("log-unavailable"), http::response{404, {}, ""}}) {
    refused_calls calls{refusal, 1000};
    calls.run();
    CHECK(calls.calls == 1);
    CHECK(calls.statuses == std::vector<int>{refusal.status});
  }
}

}  // namespace vanillaladder::control::detail
