#pragma once

#include <array>
#include <cstdint>

#include "model/types.h"

namespace vanillaladder::scheduling {

/// Limits retries to a share of the requests admitted in the last 10 to 20
/// seconds, so that retries cannot amplify an overload.
class retry_budget {
 public:
  /// Minimum number of retries allowed in that time, so that a daemon with
  /// little traffic can retry. It is a lower bound of the share, not added to
  /// it.
  static constexpr std::uint64_t min_retries = 10;

  /// @param percent retries allowed per 100 admitted requests; 0 disables
  ///   retries.
  void set_percent(unsigned percent) { percent_ = percent; }

  /// Counts an admitted request.
  void record_admission(model::time_point now);
  /// @return whether one more retry is within the budget.
  bool allows_retry(model::time_point now);
  /// Counts a retry.
  void record_retry(model::time_point now);

 private:
  struct window {
    std::uint64_t admitted = 0;
    std::uint64_t retries = 0;
  };

  void advance(model::time_point now);

  unsigned percent_ = 10;
  model::time_point current_start_;
  std::array<window, 2> windows_;  // current, previous
};

}  // namespace vanillaladder::scheduling
