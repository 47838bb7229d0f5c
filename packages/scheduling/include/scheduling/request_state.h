#pragma once

#include <optional>
#include <string_view>
#include <variant>

/// Decisions about batch and interactive work; no I/O, no clock, no random
/// numbers.
namespace vanillaladder::scheduling {

/// Why a request was refused as "not run".
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

/// @return the reason named `text`, if there is one.
std::optional<refusal_reason> parse_refusal_reason(std::string_view text);

/// How one attempt at a backend server or a peer ended.
enum class attempt_end {
  /// A whole response arrived.
  responded,
  /// Nothing was sent; the attempt cannot have run.
  not_sent,
  /// The receiver said explicitly that it did not run the request.
  refused,
  /// The backend server closed the connection without a whole response; the
  /// attempt may have run, and has ended.
  closed,
  /// The time limit passed; the attempt may still be running.
  timed_out,
  /// Given up on this side for another reason; it may still be running.
  abandoned,
};

/// @return a metric label such as "timed-out".
std::string_view to_string(attempt_end end);

/// Pass the response on to the caller.
struct deliver_response {};
/// Queue the request for another attempt.
struct retry_request {};
/// Tell the caller that the request was not run.
struct refuse_request {
  refusal_reason reason;
};
/// Tell the caller that the outcome is unknown.
struct fail_request {
  int status;
  std::string_view reason;
};
using next_step =
    std::variant<deliver_response, retry_request, refuse_request, fail_request>;

/// What may be done next with a request, given its attempts so far.
///
/// Until an attempt has possibly run, a request may be retried or refused as
/// "not run". After that only an idempotent one may be retried, and only if
/// the attempt is proven to have ended; "not run" is never said again.
class request_state {
 public:
  /// @param idempotent whether running the request twice, one after the
  ///   other, is harmless.
  explicit request_state(bool idempotent) : idempotent_(idempotent) {}

  /// Counts an attempt that is handed to a backend server or a peer.
  void begin_attempt();

  /// Decides what follows the end of the current attempt.
  /// @param max_attempts limit of attempts for one request.
  /// @param budget_allows whether the retry budget has room for one more.
  next_step end_attempt(attempt_end end, unsigned max_attempts,
                        bool budget_allows);

  /// @return how to end a request that waits and will not be tried again.
  next_step give_up(refusal_reason reason) const;

  /// @return attempts begun so far.
  unsigned attempts() const { return attempts_; }
  /// @return whether an attempt that has ended may have run.
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
