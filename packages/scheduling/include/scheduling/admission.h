#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "model/types.h"
#include "scheduling/request_state.h"

namespace vanillaladder::scheduling {

/// Input of the admission decision for an arriving request.
struct admission_input {
  /// Queued requests of all services.
  std::size_t queued = 0;
  std::size_t max_queued = 10000;
  /// Slots granted to this daemon for the requested service.
  unsigned slots = 0;
  /// Whether a slot is free for the request now.
  bool slot_free = false;
  /// Sum of the expected costs of the requests served before this one.
  double work_ahead_ms = 0;
  /// Sum of the expected costs of the queued requests of the service, and of
  /// those of the team.
  double backlog_ms = 0;
  double team_backlog_ms = 0;
  double team_weight = 10;
  /// Sum of the weights of all teams with queued requests, including this one.
  double active_weight = 10;
  double expected_cost_ms = 0;
  /// Time left until the request's deadline.
  double remaining_ms = 0;
};

/// @return the time that should remain until the deadline when a request
///   starts; with less, a timeout that wastes the slot is likely.
double time_needed_ms(double expected_cost_ms);

/// @return the expected queueing delay of the request.
double expected_wait_ms(const admission_input& input);

/// @return the reason for refusing the request, or nothing if it is admitted.
std::optional<refusal_reason> decide_admission(const admission_input& input);

/// Estimates request durations by service, class and path prefix.
class cost_estimator {
 public:
  /// Estimate for a class without measurements.
  static constexpr double initial_cost_ms = 50;
  /// Maximum number of path prefixes with their own average; further ones use
  /// the average of their class.
  static constexpr std::size_t max_paths = 1024;

  /// Records a measured duration.
  void observe(std::string_view service, std::string_view request_class,
               std::string_view path, double duration_ms);
  /// @return the expected duration in milliseconds.
  double estimate_cost(std::string_view service, std::string_view request_class,
                       std::string_view path) const;

 private:
  struct average {
    double value_ms = 0;
    unsigned samples = 0;
    void add(double sample_ms);
  };

  std::map<std::string, average, std::less<>> by_class_;
  std::map<std::string, average, std::less<>> by_path_;
};

}  // namespace vanillaladder::scheduling
