#include "scheduling/request_state.h"

#include <catch2/catch.hpp>

namespace vanillaladder::scheduling {
namespace {

template <typename Step>
bool is(const next_step& step) {
  return std::holds_alternative<Step>(step);
}

constexpr attempt_end all_ends[] = {
    attempt_end::responded, attempt_end::not_sent,  attempt_end::refused,
    attempt_end::closed,    attempt_end::timed_out, attempt_end::abandoned};

}  // namespace

// Guards against running a non-idempotent request twice, and against "not run"
// after an attempt that may have run. Covers all sequences of three results.
TEST_CASE("no sequence of attempts violates the delivery guarantees") {
  for (bool idempotent : {false, true}) {
    for (int sequence = 0; sequence < 6 * 6 * 6; ++sequence) {
      request_state state(idempotent);
      bool may_have_run = false;
      bool may_be_running = false;
      for (int n = sequence; state.attempts() < 3; n /= 6) {
        state.begin_attempt();
        auto end = all_ends[n % 6];
        auto step = state.end_attempt(end, 3, true);
        may_have_run = may_have_run || (end != attempt_end::not_sent &&
                                        end != attempt_end::refused);
        may_be_running =
            end == attempt_end::timed_out || end == attempt_end::abandoned;
        if (is<refuse_request>(step)) {
          CHECK_FALSE(may_have_run);
        }
        if (!is<retry_request>(step)) {
          break;
        }
        CHECK_FALSE(may_be_running);
        CHECK((idempotent || !may_have_run));
        CHECK(is<refuse_request>(state.give_up(refusal_reason::deadline)) ==
              !may_have_run);
      }
    }
  }
}

// Guards against retries beyond the attempt limit or the budget, and against
// refusals with the wrong reason.
TEST_CASE("retries stop at the attempt limit and at the budget") {
  request_state limited(true);
  limited.begin_attempt();
  auto last = limited.end_attempt(attempt_end::not_sent, 1, true);
  CHECK(std::get<refuse_request>(last).reason ==
        refusal_reason::connect_failed);
  request_state over_budget(true);
  over_budget.begin_attempt();
  auto step = over_budget.end_attempt(attempt_end::not_sent, 3, false);
  CHECK(std::get<refuse_request>(step).reason == refusal_reason::retry_budget);
  request_state timed_out(true);
  timed_out.begin_attempt();
  auto failure = timed_out.end_attempt(attempt_end::timed_out, 3, true);
  CHECK(std::get<fail_request>(failure).status == 504);
}

// Guards against status codes that differ from the documented ones.
TEST_CASE("refusals have their documented status") {
  CHECK(status_of(refusal_reason::team_share) == 429);
  CHECK(status_of(refusal_reason::stale_view) == 503);
  CHECK(status_of(refusal_reason::unknown_service) == 404);
  CHECK(parse_refusal_reason("log-unavailable") ==
        refusal_reason::log_unavailable);
  CHECK_FALSE(parse_refusal_reason("other"));
}

}  // namespace vanillaladder::scheduling
