#include "batch/job_deadlines.h"

#include <algorithm>

namespace vanillaladder::batch {
namespace {

/// Longer spans make no difference to decisions and would overflow when they
/// are added to a time.
constexpr milliseconds max_span = std::chrono::hours(24 * 365 * 10);

}  // namespace

milliseconds critical_path_length(const job_spec& spec,
                                  std::span<const milliseconds> run_times) {
  auto chains = remaining_chains(spec, run_times);
  return chains.empty() ? milliseconds(0) : std::ranges::max(chains);
}

std::vector<milliseconds> remaining_chains(
    const job_spec& spec, std::span<const milliseconds> run_times) {
  std::vector<milliseconds> remaining(spec.steps.size(), milliseconds(0));
  // Steps depend on earlier ones only.
  for (auto n = spec.steps.size(); n-- > 0;) {
    remaining[n] = std::min(remaining[n] + run_times[n], max_span);
    for (int earlier : spec.steps[n].depends_on) {
      auto& chain = remaining[static_cast<std::size_t>(earlier)];
      chain = std::max(chain, remaining[n]);
    }
  }
  return remaining;
}

job_deadlines deadlines_of(const queue_policy& policy, milliseconds chain,
                           time_point arrival) {
  auto stretched = std::min(policy.stretch * static_cast<double>(chain.count()),
                            static_cast<double>(max_span.count()));
  auto span = std::min(milliseconds(static_cast<std::int64_t>(stretched)) +
                           std::min(policy.target_latency, max_span),
                       max_span);
  return {arrival + span, arrival + job_deadlines::expiry_factor * span};
}

}  // namespace vanillaladder::batch
