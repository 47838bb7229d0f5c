#include "scheduling/request_state.h"

#include <array>

namespace vanillaladder::scheduling {
namespace {

struct reason_entry {
  refusal_reason reason;
  std::string_view name;
  int status;
};

constexpr auto reasons = std::to_array<reason_entry>({
    {refusal_reason::queue_full, "queue-full", 429},
    {refusal_reason::team_share, "team-share", 429},
    {refusal_reason::retry_budget, "retry-budget", 429},
    {refusal_reason::deadline, "deadline", 503},
    {refusal_reason::no_backend, "no-backend", 503},
    {refusal_reason::stale_view, "stale-view", 503},
    {refusal_reason::draining, "draining", 503},
    {refusal_reason::log_unavailable, "log-unavailable", 503},
    {refusal_reason::key_owner_unavailable, "key-owner-unavailable", 503},
    {refusal_reason::connect_failed, "connect-failed", 503},
    {refusal_reason::unknown_service, "unknown-service", 404},
    {refusal_reason::bad_request, "bad-request", 400},
});

const reason_entry& entry_of(refusal_reason reason) {
  for (const auto& entry : reasons) {
    if (entry.reason == reason) {
      return entry;
    }
  }
  return reasons.back();
}

bool certainly_not_run(attempt_end end) {
  return end == attempt_end::not_sent || end == attempt_end::refused;
}

fail_request failure_after(attempt_end end) {
  switch (end) {
    case attempt_end::timed_out:
      return {504, "timeout"};
    case attempt_end::abandoned:
      return {502, "response-abandoned"};
    default:
      return {502, "connection-closed"};
  }
}

}  // namespace

std::string_view to_string(refusal_reason reason) {
  return entry_of(reason).name;
}

int status_of(refusal_reason reason) {
  return entry_of(reason).status;
}

std::optional<refusal_reason> parse_refusal_reason(std::string_view text) {
  for (const auto& entry : reasons) {
    if (entry.name == text) {
      return entry.reason;
    }
  }
  return std::nullopt;
}

std::string_view to_string(attempt_end end) {
  switch (end) {
    case attempt_end::responded:
      return "responded";
    case attempt_end::not_sent:
      return "not-sent";
    case attempt_end::refused:
      return "refused";
    case attempt_end::closed:
      return "closed";
    case attempt_end::timed_out:
      return "timed-out";
    case attempt_end::abandoned:
      return "abandoned";
  }
  return "unknown";
}

void request_state::begin_attempt() {
  ++attempts_;
  in_attempt_ = true;
}

bool request_state::retry_is_safe(attempt_end end) const {
  return certainly_not_run(end) || (idempotent_ && end == attempt_end::closed);
}

next_step request_state::end_attempt(attempt_end end, unsigned max_attempts,
                                     bool budget_allows) {
  in_attempt_ = false;
  if (end == attempt_end::responded) {
    return deliver_response{};
  }
  may_have_run_ = may_have_run_ || !certainly_not_run(end);
  if (!retry_is_safe(end)) {
    return failure_after(end);
  }
  if (attempts_ < max_attempts && budget_allows) {
    return retry_request{};
  }
  if (may_have_run_) {
    return failure_after(end);
  }
  if (attempts_ < max_attempts) {
    return refuse_request{refusal_reason::retry_budget};
  }
  return refuse_request{end == attempt_end::not_sent
                            ? refusal_reason::connect_failed
                            : refusal_reason::no_backend};
}

next_step request_state::give_up(refusal_reason reason) const {
  if (in_attempt_ || may_have_run_) {
    return reason == refusal_reason::deadline
               ? fail_request{504, "timeout"}
               : fail_request{502, to_string(reason)};
  }
  return refuse_request{reason};
}

}  // namespace vanillaladder::scheduling
