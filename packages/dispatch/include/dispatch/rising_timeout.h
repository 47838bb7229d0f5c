#pragma once

#include <algorithm>
#include <chrono>

namespace vanillaladder::dispatch {

/// Timeout of a call that is repeated until it is answered.
///
/// Doubles with each call that was not answered in time, so that a slow peer
/// can answer eventually.
class rising_timeout {
 public:
  rising_timeout(std::chrono::milliseconds first,
                 std::chrono::milliseconds highest)
      : first_(first), highest_(highest), value_(first) {}

  std::chrono::milliseconds value() const { return value_; }
  void on_unanswered() { value_ = std::min(2 * value_, highest_); }
  void on_answered() { value_ = first_; }

 private:
  std::chrono::milliseconds first_;
  std::chrono::milliseconds highest_;
  std::chrono::milliseconds value_;
};

/// @return the timeout of a page of newest records. While the store is slow, a
///   page for many daemons at once takes longer than the first value; the
///   highest one bounds how long a connection that died in an outage is waited
///   for.
inline rising_timeout make_page_timeout() {
  return {std::chrono::milliseconds(1500), std::chrono::milliseconds(3000)};
}

}  // namespace vanillaladder::dispatch
