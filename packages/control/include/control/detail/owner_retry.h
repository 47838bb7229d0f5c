#pragma once

#include <functional>
#include <utility>

#include "http/message.h"
#include "model/types.h"

namespace vanillaladder::control::detail {

/// Maximum time for which a job call is repeated while its shard has no owner.
/// Heartbeats announce a new owner within about a second after a release, and a
/// view that became stale is fresh again by then.
inline constexpr model::milliseconds max_owner_wait{5'000};
inline constexpr model::milliseconds owner_retry_interval{250};

/// Retries job calls while a shard has no owner that can serve them. This is
/// safe: submission and cancellation are idempotent, and only responses that
/// say that nothing ran are retried.
class owner_retry {
 public:
  using reply = std::function<void(http::response)>;
  using call = std::function<void(reply)>;
  using call_after =
      std::function<void(model::milliseconds, std::function<void()>)>;

  /// @param timer runs a function after a delay, on the calls' event loop.
  explicit owner_retry(call_after timer) : call_after_(std::move(timer)) {}

  /// @param remaining time for which the call may still be retried.
  /// @param done receives the first response other than such a refusal, or the
  ///   last refusal.
  void run(const call& send, const reply& done,
           model::milliseconds remaining = max_owner_wait) const {
    send([this, send, done, remaining](const http::response& response) {
      if (remaining <= model::milliseconds::zero() || !has_no_owner(response)) {
        done(response);
        return;
      }
      call_after_(owner_retry_interval, [this, send, done, remaining] {
        run(send, done, remaining - owner_retry_interval);
      });
    });
  }

 private:
  /// Excludes `log-unavailable`: a log outage outlasts `max_owner_wait`.
  static bool has_no_owner(const http::response& response) {
    return response.status == 503 &&
           http::find_header(response.headers, "x-outcome") == "not-run" &&
           http::find_header(response.headers, "x-reason") != "log-unavailable";
  }

  call_after call_after_;
};

}  // namespace vanillaladder::control::detail
