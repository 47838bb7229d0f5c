#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "scheduling/admission.h"
#include "scheduling/request_queue.h"
#include "scheduling/request_state.h"
#include "scheduling/retry_budget.h"
#include "scheduling/router.h"
#include "serving/detail/backend_table.h"
#include "serving/ports.h"
#include "serving/view.h"

namespace vanillaladder::serving {

using scheduling::request_id;

/// Decision policies. The daemon uses the defaults, benchmarks other values.
struct machine_options {
  scheduling::queue_order order = scheduling::queue_order::fair;
  scheduling::routing_policy routing = scheduling::routing_policy::least_load;
  /// Whether requests expected to miss their deadline are refused early.
  bool check_expected_wait = true;
  milliseconds request_timeout_ms{30000};
};

/// Properties of a request that determine how it is handled.
struct request_info {
  std::string service;
  model::class_id request_class;
  model::team_id team;
  std::string path;
  bool idempotent = false;
  /// Whether its key must be claimed before it is sent.
  bool needs_claim = false;
  /// Whether it comes from a peer; if so, it is not forwarded again and does
  /// not wait for a slot.
  bool forwarded = false;
  model::time_point deadline{};
};

/// Claim the request's key, then call `claim_granted` or `remove_unclaimed`.
struct claim_action {
  request_id id;
  milliseconds remaining;
};
/// Send the request to a backend server, then call `attempt_ended`.
struct send_action {
  request_id id;
  unsigned attempt;
  model::backend_info target;
  milliseconds timeout;
};
/// Forward the request to a peer, then call `attempt_ended`.
struct forward_action {
  request_id id;
  unsigned attempt;
  model::instance_id member;
  milliseconds timeout;
};
/// Deliver the response reported to `attempt_ended`; ends the request.
struct deliver_action {
  request_id id;
};
/// Answer "not run"; ends the request.
struct refuse_action {
  request_id id;
  scheduling::refusal_reason reason;
};
/// Answer "unknown"; ends the request.
struct fail_action {
  request_id id;
  int status;
  std::string_view reason;
};
/// Discard the request, whose caller has disconnected; ends the request.
struct drop_action {
  request_id id;
  key_outcome outcome;
};
/// The request was queued for another attempt; for metrics only.
struct retry_notice {
  request_id id;
  scheduling::attempt_end cause;
};
/// A backend server was ejected or readmitted; for metrics and logs only.
struct health_notice {
  model::backend_id backend;
  scheduling::health_change change;
};
using action = std::variant<claim_action, send_action, forward_action,
                            deliver_action, refuse_action, fail_action,
                            drop_action, retry_notice, health_notice>;
using action_list = std::vector<action>;

/// Result of an attempt.
struct attempt_result {
  scheduling::attempt_end end = scheduling::attempt_end::responded;
  /// Whether the response had a status of 500 or above.
  bool server_error = false;
};

/// Makes all decisions about the requests of one daemon, without I/O or clock.
///
/// Each event handler returns the actions to execute, in order. Ids are chosen
/// by the caller and must not be reused.
class request_machine {
 public:
  explicit request_machine(const machine_options& options = {});

  /// Replaces the view.
  action_list update(const serving_view& view, model::time_point now);
  /// Handles the arrival of a request.
  action_list request_arrived(request_id id, const request_info& info,
                              model::time_point now);
  /// Handles the successful claim of the request's key.
  action_list claim_granted(request_id id, model::time_point now);
  /// Removes a request whose key could not be claimed.
  void remove_unclaimed(request_id id);
  /// Handles the disconnection of the caller.
  action_list caller_disconnected(request_id id, model::time_point now);
  /// Handles the end of an attempt. Results of attempts that are no longer
  /// current are ignored.
  action_list attempt_ended(request_id id, unsigned attempt,
                            const attempt_result& result,
                            model::time_point now);
  /// Handles an attempt that was not sent because the view had become stale by
  /// the time its action was executed.
  action_list attempt_cancelled(request_id id, unsigned attempt,
                                model::time_point now);
  /// Handles deadlines and probes that are due.
  action_list tick(model::time_point now);

  /// @return the latest time for the next call of `tick`; `max` if none is
  ///   needed.
  model::time_point next_wakeup() const;
  /// @return whether requests may be sent under the view at `now`.
  bool fresh(model::time_point now) const;
  /// @return whether the view is fresh and the daemon is not about to stop.
  bool serves_callers(model::time_point now) const {
    return fresh(now) && !view_.draining;
  }
  /// @return the configured deadline of a class.
  milliseconds class_deadline(const model::class_id& name) const;
  /// @return whether the attempt is the request's current one.
  bool is_current(request_id id, unsigned attempt) const;
  /// @return whether the request is known and has not ended.
  bool is_open(request_id id) const { return requests_.contains(id); }
  std::size_t open_requests() const { return requests_.size(); }
  /// @return the phase as a metric label, such as "queued".
  std::string_view phase_name(request_id id) const;

  /// @return the free slots available to forwarded requests, by service.
  std::map<std::string, unsigned> free_slots(model::time_point now) const;
  /// @return the exchanges in progress by backend server.
  std::map<model::backend_id, unsigned> in_flight() const;

 private:
  enum class phase { claiming, queued, sending, forwarding };

  struct open_request {
    request_info info;
    scheduling::request_state state;
    phase current = phase::queued;
    model::time_point arrived{};
    double expected_cost_ms = 0;
    /// Whether a slot was free on arrival; if so, the request is attempted
    /// regardless of the time left.
    bool slot_free_on_arrival = false;
    bool caller_gone = false;
    std::string target{};
    model::time_point sent_at{};
    std::set<std::string> tried{};
  };

  const class_config& class_of(const model::class_id& name) const;
  unsigned team_weight(const model::team_id& team) const;
  std::optional<scheduling::refusal_reason> admit(open_request& request,
                                                  model::time_point now) const;
  std::optional<scheduling::refusal_reason> check_view(
      const request_info& info, model::time_point now) const;
  scheduling::admission_input admission_input_for(const open_request& request,
                                                  model::time_point now) const;
  bool slot_free(const request_info& info, model::time_point now) const;
  std::size_t waiting() const;

  scheduling::queued_request queue_entry(request_id id,
                                         const open_request& request) const;
  void enqueue(request_id id, open_request& request);
  void dispatch_all(model::time_point now, action_list& actions);
  void dispatch(const std::string& service, model::time_point now,
                action_list& actions);
  /// Ends all waiting requests of a service if none may be sent now.
  /// @return whether it did.
  bool give_up_unservable(const std::string& service, model::time_point now,
                          action_list& actions);
  /// Sends, forwards or ends a waiting request, if possible.
  /// @return whether the request no longer waits.
  bool try_dispatch(request_id id, model::time_point now, action_list& actions);
  void send(request_id id, open_request& request,
            const model::backend_id& target, model::time_point now,
            action_list& actions);
  void forward(request_id id, open_request& request,
               const model::instance_id& member, model::time_point now,
               action_list& actions);
  milliseconds time_left(const open_request& request,
                         model::time_point now) const;

  void release(const open_request& request, const attempt_result& result,
               model::time_point now, action_list& actions);
  void update_estimates(const open_request& request,
                        const attempt_result& result, model::time_point now,
                        action_list& actions);
  void apply(request_id id, const scheduling::next_step& step,
             action_list& actions);
  void retry(request_id id, scheduling::attempt_end cause, bool from_backend,
             model::time_point now, action_list& actions);
  void end_after_disconnect(request_id id, const attempt_result& result,
                            action_list& actions);
  void give_up(request_id id, scheduling::refusal_reason reason,
               action_list& actions);
  void expire(model::time_point now, action_list& actions);
  void remove_request(request_id id);

  machine_options options_;
  serving_view view_;
  bool has_view_ = false;
  detail::backend_table backends_;
  scheduling::cost_estimator costs_;
  scheduling::retry_budget budget_;
  std::size_t claiming_ = 0;
  std::map<request_id, open_request> requests_;
  std::map<std::string, scheduling::request_queue> queues_;
  /// Deadlines of the requests that are not ended by the timeout of an
  /// exchange.
  std::set<std::pair<model::time_point, request_id>> deadlines_;
};

}  // namespace vanillaladder::serving
