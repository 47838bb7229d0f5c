#include "scheduling/retry_budget.h"

#include <algorithm>

namespace vanillaladder::scheduling {
namespace {

constexpr std::chrono::seconds window_s{10};

}  // namespace

void retry_budget::advance(model::time_point now) {
  if (now - current_start_ < window_s) {
    return;
  }
  bool adjacent = now - current_start_ < 2 * window_s;
  windows_[1] = adjacent ? windows_[0] : window{};
  windows_[0] = {};
  current_start_ = adjacent ? current_start_ + window_s : now;
}

void retry_budget::record_admission(model::time_point now) {
  advance(now);
  ++windows_[0].admitted;
}

bool retry_budget::allows_retry(model::time_point now) {
  advance(now);
  if (percent_ == 0) {
    return false;
  }
  auto admitted = windows_[0].admitted + windows_[1].admitted;
  auto retries = windows_[0].retries + windows_[1].retries;
  return retries < std::max(min_retries, admitted * percent_ / 100);
}

void retry_budget::record_retry(model::time_point now) {
  advance(now);
  ++windows_[0].retries;
}

}  // namespace vanillaladder::scheduling
