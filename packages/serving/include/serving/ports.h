#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "http/message.h"
#include "model/types.h"

/// Interfaces between the front end and the rest of the daemon. All calls and
/// callbacks run on the event loop thread of the front end.
namespace vanillaladder::serving {

/// Outcome of a request with an idempotency key.
enum class key_outcome { answered, not_run, unknown };

/// @return the value of `x-outcome`, such as "not-run".
std::string_view to_string(key_outcome outcome);

/// The request has claimed the key and may be sent.
struct key_claimed {};
/// The key was claimed earlier; the request must not be sent.
struct key_repeated {
  /// Recorded outcome; `unknown` if none has been recorded yet.
  key_outcome outcome = key_outcome::unknown;
};
/// The claim could not be confirmed; the request must not be sent.
struct claim_unavailable {
  /// "log-unavailable" or "key-owner-unavailable".
  std::string reason;
};
using claim_result = std::variant<key_claimed, key_repeated, claim_unavailable>;

/// Claims idempotency keys at the owner of the key's shard.
class key_claims {
 public:
  using callback = std::function<void(claim_result)>;

  virtual ~key_claims() = default;
  /// Claims a key.
  /// @param key_hash 64-bit xxHash of service, team and idempotency key.
  /// @param request_digest 64-bit xxHash of method, target and body.
  /// @param remaining time until the request's deadline; results after it are
  ///   discarded by the front end.
  /// @param done called exactly once, possibly from inside `claim`.
  virtual void claim(std::uint64_t key_hash, std::uint64_t request_digest,
                     model::milliseconds remaining, callback done) = 0;
  /// Records the outcome of a request with a claimed key; best effort, without
  /// acknowledgement.
  virtual void finish(std::uint64_t key_hash, key_outcome outcome) = 0;
};

/// The peer refused the request, or the request did not reach the peer.
struct forward_not_run {
  std::string reason;
};
/// The peer may have run the request.
struct forward_unknown {
  std::string reason;
  /// Whether the exchange timed out, as opposed to a lost connection.
  bool timed_out = false;
};
/// Result of a forwarded request. The front end treats a response with
/// `x-outcome: not-run` like `forward_not_run`.
using forward_result =
    std::variant<http::response, forward_not_run, forward_unknown>;

/// Sends requests to peers, which serve them with `front::handle_forwarded`.
class forwarder {
 public:
  using callback = std::function<void(forward_result)>;

  virtual ~forwarder() = default;
  /// Forwards a request.
  /// @param deadline time allowed for the whole exchange.
  /// @param done called at most once, possibly from inside `forward`; results
  ///   after the deadline are discarded and counted by the front end.
  virtual void forward(const model::instance_id& member, http::request message,
                       model::milliseconds deadline, callback done) = 0;
};

/// Events counted by the front end.
enum class front_event {
  /// A request of a caller or a peer arrived.
  received,
  /// The request passed admission.
  admitted,
  /// An attempt was sent to a backend server; label: service.
  sent,
  /// An attempt was forwarded to a peer; label: service.
  forwarded,
  /// A complete response was delivered; label: service.
  answered,
  /// Refused as not run; label: reason.
  refused,
  /// Answered with outcome unknown; label: reason.
  failed,
  /// A request was queued for a retry; label: result of the previous attempt.
  retried,
  /// A request with a key claimed earlier was answered with 409; label:
  /// recorded outcome.
  key_repeated,
  /// A result arrived after its attempt or request had ended; label: source.
  late_result,
  /// The caller disconnected; label: state of the request.
  disconnected,
  /// A backend server was ejected; label: its id.
  ejected,
  /// A backend server was readmitted; label: its id.
  readmitted,
};

/// @return the metric name of an event, such as "requests_refused".
std::string_view to_string(front_event event);

/// Receives counters and latencies of the front end.
class front_metrics {
 public:
  virtual ~front_metrics() = default;
  /// Adds 1 to a counter.
  virtual void count(front_event event, std::string_view label) = 0;
  /// Records the time from arrival to response of an answered request.
  virtual void observe_latency(const model::class_id& request_class,
                               model::milliseconds latency) = 0;
};

}  // namespace vanillaladder::serving
