#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "model/types.h"
#include "scheduling/request_state.h"

namespace vanillaladder::scheduling {

/// What admission knows when a request arrives.
struct admission_input {
  /// Requests that wait, for all services.
  std::size_t queued = 0;
  std::size_t max_queued = 10000;
  /// Slots of this daemon that serve the request's service.
  unsigned slots = 0;
  /// Whether a slot can take the request at once.
  bool slot_free = false;
  /// Expected costs of the waiting requests that will be served first.
  double work_ahead_ms = 0;
  /// Expected costs of the waiting requests of the service and of the team.
  double backlog_ms = 0;
  double team_backlog_ms = 0;
  double team_weight = 10;
  /// Sum of the weights of the teams with waiting requests, this one included.
  double active_weight = 10;
  double expected_cost_ms = 0;
  /// Time left until the request's deadline.
  double remaining_ms = 0;
};

/// @return the time that a request should have left when it starts; below it
///   a timeout is likely, which wastes the slot.
double time_needed_ms(double expected_cost_ms);

/// @return the time that a request is expected to wait for a slot.
double expected_wait_ms(const admission_input& input);

/// @return why the request is refused now, or nothing if it is admitted.
std::optional<refusal_reason> decide_admission(const admission_input& input);

/// Learns how long requests take, by service, class and start of the path.
class cost_estimator {
 public:
  /// Expected cost before anything was measured.
  static constexpr double initial_cost_ms = 50;
  /// Paths kept; more fall back to the average of their class.
  static constexpr std::size_t max_paths = 1024;

  /// Adds a measured duration.
  void observe(std::string_view service, std::string_view request_class,
               std::string_view path, double duration_ms);
  /// @return the expected duration.
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
