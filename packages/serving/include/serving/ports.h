#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "http/message.h"
#include "model/types.h"

/// Interfaces through which the front reaches the rest of the daemon. All
/// calls and callbacks are on the front's event loop thread.
namespace vanillaladder::serving {

/// How a keyed request ended.
enum class key_outcome { answered, not_run, unknown };

/// @return the `x-outcome` value, such as "not-run".
std::string_view to_string(key_outcome outcome);

/// The key is claimed by this request, which may be sent now.
struct key_claimed {};
/// The key was claimed before; the request must not be sent.
struct key_repeated {
  /// Recorded outcome, `unknown` if none is recorded yet.
  key_outcome outcome = key_outcome::unknown;
};
/// No claim could be confirmed; the request must not be sent.
struct claim_unavailable {
  /// "log-unavailable" or "key-owner-unavailable".
  std::string reason;
};
using claim_result = std::variant<key_claimed, key_repeated, claim_unavailable>;

/// Claims idempotency keys with the owner of the key's shard.
class key_claims {
 public:
  using callback = std::function<void(claim_result)>;

  virtual ~key_claims() = default;
  /// Claims a key.
  /// @param key_hash 64-bit xxHash of service, team and idempotency key.
  /// @param request_digest 64-bit xxHash of method, target and body.
  /// @param remaining time until the request's deadline; a later answer is
  ///   dropped by the front.
  /// @param done called exactly once, possibly from inside `claim`.
  virtual void claim(std::uint64_t key_hash, std::uint64_t request_digest,
                     model::milliseconds remaining, callback done) = 0;
  /// Records how a claimed request ended; best effort, no answer.
  virtual void finish(std::uint64_t key_hash, key_outcome outcome) = 0;
};

/// The peer refused the request, or it never reached the peer.
struct forward_not_run {
  std::string reason;
};
/// The peer may have run the request.
struct forward_unknown {
  std::string reason;
  /// Whether the time limit passed, as opposed to a lost connection.
  bool timed_out = false;
};
/// A response may carry `x-outcome: not-run`, which the front treats like
/// `forward_not_run`.
using forward_result =
    std::variant<http::response, forward_not_run, forward_unknown>;

/// Sends requests to peers, which run them through
/// `front::handle_forwarded`.
class forwarder {
 public:
  using callback = std::function<void(forward_result)>;

  virtual ~forwarder() = default;
  /// Forwards a request.
  /// @param deadline time left for the whole exchange.
  /// @param done called at most once, possibly from inside `forward`; a
  ///   result after the deadline is dropped and counted by the front.
  virtual void forward(const model::instance_id& member, http::request message,
                       model::milliseconds deadline, callback done) = 0;
};

/// Events that the front counts.
enum class front_event {
  /// A request of a caller or a peer arrived.
  received,
  /// The request passed admission.
  admitted,
  /// An attempt was handed to a backend server; label: service.
  sent,
  /// An attempt was handed to a peer; label: service.
  forwarded,
  /// A whole response was passed on; label: service.
  answered,
  /// Refused as not run; label: reason.
  refused,
  /// Answered with outcome unknown; label: reason.
  failed,
  /// An attempt was repeated; label: why the previous one ended.
  retried,
  /// A repeat of a claimed key was answered 409; label: recorded outcome.
  key_repeated,
  /// A result arrived after its request was abandoned; label: where from.
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

/// Receives the front's counters and latencies.
class front_metrics {
 public:
  virtual ~front_metrics() = default;
  /// Adds 1 to a counter.
  virtual void count(front_event event, std::string_view label) = 0;
  /// Records the time from arrival to the answer of an answered request.
  virtual void observe_latency(const model::class_id& request_class,
                               model::milliseconds latency) = 0;
};

}  // namespace vanillaladder::serving
