#include "control/detail/owner_retry.h"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "control/wire_convert.h"

namespace vanillaladder::control::detail {
namespace {

using model::milliseconds;

/// Makes calls of which the first `refusals` are refused; timers run at once.
struct refused_calls {
  refused_calls(http::response response, int count)
      : refusal(std::move(response)), refusals(count) {}

  http::response refusal;
  int refusals;
  int calls = 0;
  milliseconds waited{0};
  std::vector<int> statuses;

  void run() {
    owner_retry retry([this](milliseconds delay, const auto& retry_call) {
      waited += delay;
      retry_call();
    });
    retry.run(
        [this](const owner_retry::reply& reply) {
          reply(++calls <= refusals ? refusal : http::response{200, {}, ""});
        },
        [this](const http::response& response) {
          statuses.push_back(response.status);
        });
  }
};

}  // namespace

// Guards against a caller who is refused while a shard's ownership moves.
TEST_CASE("a job call is retried until the shard has an owner") {
  refused_calls calls{not_run_response("shard-owner-unavailable"), 3};
  calls.run();
  CHECK(calls.calls == 4);
  CHECK(calls.statuses == std::vector<int>{200});
}

// Guards against a caller who waits forever or gets two responses.
TEST_CASE("a job call without an owner is refused after the maximum wait") {
  refused_calls calls{not_run_response("stale-view"), 1000};
  calls.run();
  CHECK(calls.waited == max_owner_wait);
  CHECK(calls.statuses == std::vector<int>{503});
}

// Guards against retries of a call that may have run, or that is refused
// because of a log outage, which can last long.
TEST_CASE("only a call that found no owner is retried") {
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
