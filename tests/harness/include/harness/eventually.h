#pragma once

#include <chrono>
#include <thread>

#include "harness/child.h"

namespace vanillaladder::harness {

/// Polls an observed state.
/// @return whether `predicate` became true within the limit.
template <typename Predicate>
bool eventually(Predicate predicate,
                std::chrono::milliseconds limit = generous_limit) {
  constexpr std::chrono::milliseconds interval{50};
  auto until = std::chrono::steady_clock::now() + limit;
  while (!predicate()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    // Other processes give no event to wait for; only the poll rate, never a
    // verdict, depends on this.
    std::this_thread::sleep_for(interval);
  }
  return true;
}

}  // namespace vanillaladder::harness
