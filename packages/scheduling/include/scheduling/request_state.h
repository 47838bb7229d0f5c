#pragma once

#include <optional>
#include <string_view>
#include <variant>

/// Scheduling decisions about batch and interactive work. This code performs no
/// I/O, reads no clock and uses no random numbers.
namespace vanillaladder::scheduling {

/// Reason for refusing a request with the outcome "not run".
enum class refusal_reason {
  queue_full,
  team_share,
  retry_budget,
  deadline,
  no_backend,
  stale_view,
  draining,
  log_unavailable,
  key_owner_unavailable,
  connect_failed,
  unknown_service,
  bad_request,
};

/// @return the `x-reason` value, such as "queue-full".
std::string_view to_string(refusal_reason reason);

/// @return the HTTP status of a refusal.
int status_of(refusal_reason reason);

/// @return the reason with the name `text`; nothing if there is none.
std::optional<refusal_reason> parse_refusal_reason(std::string_view text);

/// Result of one attempt at a backend server or a peer.
enum class attempt_end {
  /// A complete response arrived.
  responded,
  /// Nothing was sent, so the attempt cannot have run.
  not_sent,
  /// The receiver reported explicitly that it did not run the request.
  refused,
  /// The backend server closed the connection without a complete response. The
  /// attempt may have run, and has ended.
  closed,
  /// The attempt timed out; it may still be running.
  timed_out,
  /// Abandoned by the sender for another reason; it may still be running.
  abandoned,
};

/// @return the metric label, such as "timed-out".
std::string_view to_string(attempt_end end);

/// Deliver the response to the caller.
struct deliver_response {};
/// Queue the request for another attempt.
struct retry_request {};
/// Answer the caller that the request was not run.
struct refuse_request {
  refusal_reason reason;
};
/// Answer the caller that the outcome is unknown.
struct fail_request {
  int status;
  std::string_view reason;
};
using next_step =
    std::variant<deliver_response, retry_request, refuse_request, fail_request>;

/// Decides how a request continues, from its attempts so far.
///
/// As long as no attempt can have run, a request may be retried or refused as
/// "not run". After that, it may be retried only if it is idempotent and the
/// attempt has certainly ended, and is never refused as "not run".
class request_state {
 public:
  /// @param idempotent whether the request may safely run twice, one run after
  ///   the other.
  explicit request_state(bool idempotent) : idempotent_(idempotent) {}

  /// Records the start of an attempt at a backend server or a peer.
  void begin_attempt();

  /// Records the end of the current attempt and decides how to continue.
  /// @param max_attempts maximum number of attempts for one request.
  /// @param budget_allows whether the retry budget allows one more retry.
  next_step end_attempt(attempt_end end, unsigned max_attempts,
                        bool budget_allows);

  /// @return how to end a request that will not be attempted again.
  next_step give_up(refusal_reason reason) const;

  /// @return the number of attempts started so far.
  unsigned attempts() const { return attempts_; }
  /// @return whether any ended attempt may have run.
  bool may_have_run() const { return may_have_run_; }
  bool idempotent() const { return idempotent_; }

 private:
  bool retry_is_safe(attempt_end end) const;

  bool idempotent_;
  bool in_attempt_ = false;
  bool may_have_run_ = false;
  unsigned attempts_ = 0;
};

}  // namespace vanillaladder::scheduling
