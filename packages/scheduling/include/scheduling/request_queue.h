#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "model/types.h"

namespace vanillaladder::scheduling {

/// Identifies a request within one daemon.
using request_id = std::uint64_t;

/// A request that waits for a slot.
struct queued_request {
  request_id id = 0;
  model::team_id team{};
  unsigned team_weight = 10;
  unsigned class_weight = 10;
  /// Urgent requests are ordered by arrival alone.
  bool urgent = false;
  double expected_cost_ms = 0;
  model::time_point arrived{};
  /// From this point on the request goes ahead of the fair order.
  model::time_point overdue_at{};
};

/// Order in which waiting requests get slots.
enum class queue_order {
  /// Weighted fair sharing between teams, key order within a team.
  fair,
  /// Arrival order over all requests; a baseline for measurements.
  arrival,
};

/// Waiting requests of one service.
///
/// Teams share slot time by weight (start-time fair queueing over expected
/// cost). Within a team the order is by `arrived + alpha * cost * 10 / class
/// weight`, so a request can be overtaken only by those that arrive within a
/// bounded time after it. Overdue requests get every second slot, which
/// bounds the wait of each class and keeps half of the slots under fair
/// sharing when everything is overdue.
class request_queue {
 public:
  explicit request_queue(queue_order order = queue_order::fair)
      : order_(order) {}

  /// @param alpha weight of the expected cost for requests pushed from now on.
  void set_alpha(double alpha) { alpha_ = alpha; }

  /// Adds a request; its id must not be queued.
  void push(const queued_request& request);

  /// @return the request that is served next, if any waits.
  std::optional<request_id> front(model::time_point now) const;
  /// Removes the request that `front` returned and charges its team.
  void pop(request_id id, model::time_point now);
  /// Removes a request without a charge; unknown ids are ignored.
  void remove(request_id id);

  std::size_t size() const { return requests_.size(); }
  bool empty() const { return requests_.empty(); }
  /// @return the sum of the expected costs of all waiting requests.
  double backlog_ms() const { return backlog_ms_; }
  /// @return the sum of the expected costs of a team's waiting requests.
  double backlog_ms(const model::team_id& team) const;
  /// @return the sum of weights of the teams that have waiting requests.
  double active_weight() const { return active_weight_; }

 private:
  using key = std::pair<double, request_id>;

  struct entry {
    queued_request request;
    double key_ms = 0;
  };
  struct team_state {
    std::set<key> by_key;
    double weight = 10;
    double backlog_ms = 0;
    double finish = 0;
  };

  double key_of(const queued_request& request) const;
  std::optional<request_id> overdue(model::time_point now) const;
  std::optional<request_id> next_in_order() const;
  double start_tag(const team_state& team) const;
  void erase(request_id id);

  queue_order order_;
  double alpha_ = 0;
  double virtual_time_ = 0;
  double backlog_ms_ = 0;
  double active_weight_ = 0;
  bool overdue_turn_ = true;
  std::map<request_id, entry> requests_;
  std::map<model::team_id, team_state> teams_;
  std::set<std::pair<model::time_point, request_id>> by_overdue_;
};

}  // namespace vanillaladder::scheduling
