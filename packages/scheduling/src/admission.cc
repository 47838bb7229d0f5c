#include "scheduling/admission.h"

#include <algorithm>

namespace vanillaladder::scheduling {
namespace {

// Multiple of the expected duration that must remain when a request starts.
// Durations vary around their mean, and a timeout wastes the slot in proportion
// to the duration: with a lognormal sigma of 0.5, about 13% of the work is in
// requests that take more than twice the mean, and 3% in those that take more
// than three times the mean.
constexpr double run_time_factor = 3;
constexpr unsigned max_weighted_samples = 20;
constexpr std::size_t path_prefix_segments = 2;

/// @return the first segments of a path. They rarely contain an id, so that
///   the number of distinct prefixes stays small.
std::string_view path_prefix(std::string_view path) {
  std::size_t at = 0;
  for (std::size_t n = 0; n <= path_prefix_segments; ++n) {
    at = path.find('/', n == 0 ? 0 : at + 1);
    if (at == std::string_view::npos) {
      return path;
    }
  }
  return path.substr(0, at);
}

std::string join(std::string_view a, std::string_view b) {
  std::string text(a);
  text += '\n';
  text += b;
  return text;
}

}  // namespace

double time_needed_ms(double expected_cost_ms) {
  return run_time_factor * expected_cost_ms;
}

double expected_wait_ms(const admission_input& input) {
  if (input.slot_free || input.slots == 0) {
    return 0;
  }
  return input.work_ahead_ms / input.slots;
}

std::optional<refusal_reason> decide_admission(const admission_input& input) {
  if (input.queued >= input.max_queued) {
    return refusal_reason::queue_full;
  }
  if (input.remaining_ms <= 0) {
    return refusal_reason::deadline;
  }
  if (input.slot_free) {
    return std::nullopt;
  }
  double needed =
      expected_wait_ms(input) + time_needed_ms(input.expected_cost_ms);
  if (input.work_ahead_ms <= 0 || needed <= input.remaining_ms) {
    return std::nullopt;
  }
  double share = input.team_weight / std::max(1.0, input.active_weight);
  bool over_share = input.active_weight > input.team_weight &&
                    input.team_backlog_ms > share * input.backlog_ms;
  return over_share ? refusal_reason::team_share : refusal_reason::deadline;
}

void cost_estimator::average::add(double sample_ms) {
  samples = std::min(samples + 1, max_weighted_samples);
  value_ms += (sample_ms - value_ms) / samples;
}

void cost_estimator::observe(std::string_view service,
                             std::string_view request_class,
                             std::string_view path, double duration_ms) {
  auto class_key = join(service, request_class);
  auto path_key = join(class_key, path_prefix(path));
  by_class_[std::move(class_key)].add(duration_ms);
  auto found = by_path_.find(path_key);
  if (found != by_path_.end()) {
    found->second.add(duration_ms);
  } else if (by_path_.size() < max_paths) {
    by_path_[std::move(path_key)].add(duration_ms);
  }
}

double cost_estimator::estimate_cost(std::string_view service,
                                     std::string_view request_class,
                                     std::string_view path) const {
  auto class_key = join(service, request_class);
  auto found = by_path_.find(join(class_key, path_prefix(path)));
  if (found != by_path_.end()) {
    return found->second.value_ms;
  }
  auto by_class = by_class_.find(class_key);
  return by_class == by_class_.end() ? initial_cost_ms
                                     : by_class->second.value_ms;
}

}  // namespace vanillaladder::scheduling
