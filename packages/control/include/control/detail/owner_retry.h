#pragma once

#include <functional>
#include <utility>

#include "http/message.h"
#include "model/types.h"

namespace vanillaladder::control::detail {

/// How long a caller's job call waits for an owner: heartbeats name a new one
/// within about a second after a release, and a view that was late is fresh
/// again by then.
inline constexpr model::milliseconds max_owner_wait{5'000};
inline constexpr model::milliseconds owner_retry_interval{250};

/// Repeats job calls while a shard has no owner that may act. Submission and
/// cancellation are safe to repeat, and the refusal says that nothing ran.
class owner_retry {
 public:
  using reply = std::function<void(http::response)>;
  using call = std::function<void(reply)>;
  using call_after =
      std::function<void(model::milliseconds, std::function<void()>)>;

  /// @param timer runs a function after a delay, on the calls' event loop.
  explicit owner_retry(call_after timer) : call_after_(std::move(timer)) {}

  /// @param left time in which the call is still repeated.
  /// @param done gets the first answer that is not such a refusal, or the last
  ///   refusal.
  void run(const call& work, const reply& done,
           model::milliseconds left = max_owner_wait) const {
    work([this, work, done, left](const http::response& answer) {
      if (left <= model::milliseconds::zero() || !is_ownerless(answer)) {
        done(answer);
        return;
      }
      call_after_(owner_retry_interval, [this, work, done, left] {
        run(work, done, left - owner_retry_interval);
      });
    });
  }

 private:
  /// A log outage lasts longer than a caller's patience.
  static bool is_ownerless(const http::response& answer) {
    return answer.status == 503 &&
           http::find_header(answer.headers, "x-outcome") == "not-run" &&
           http::find_header(answer.headers, "x-reason") != "log-unavailable";
  }

  call_after call_after_;
};

}  // namespace vanillaladder::control::detail
