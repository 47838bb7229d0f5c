#include "dispatch/worker_links.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "batch/lease_bound.h"
#include "dispatch/clock.h"
#include "dispatch/fencing_token.h"
#include "dispatch/work_timer.h"
#include "runtime/error.h"

namespace vanillaladder::dispatch {
namespace {

using external::order_answer;

constexpr std::string_view name_of(order_answer answer) {
  switch (answer) {
    case order_answer::done:
      return "done";
    case order_answer::fenced:
      return "fenced";
    case order_answer::stale_run:
      return "run_passed";
    case order_answer::too_late:
      return "too_late";
    case order_answer::no_room:
      return "no_room";
    case order_answer::no_ticket:
      return "no_ticket";
    case order_answer::unhealthy:
      return "unhealthy";
    case order_answer::other_worker:
      return "other_worker";
    case order_answer::invalid:
      return "invalid";
    case order_answer::not_sent:
      return "not_sent";
    case order_answer::unanswered:
      return "unanswered";
  }
  return "unknown";
}

/// Calls that order the pace of one run.
struct pace_calls {
  int in_flight = 0;
  /// Whether one was sent before the answer to another. They may take effect in
  /// any order.
  bool overlap = false;
};

std::string run_name(const batch::pace_order& order) {
  return absl::StrCat(batch::to_string(order.task), "#", order.run);
}

/// Reports requested in one event-loop turn after ends have been stored, and
/// held starts sent in one.
constexpr std::size_t max_requests_per_turn = 32;

struct held_start {
  batch::start_order order;
  int attempt = 1;
  bool maybe_sent = false;
};

struct link {
  batch::worker_entry entry;
  bool report_in_flight = false;
  std::optional<http::event_loop::timer_id> next_report;
  /// Whether the worker is one of `delayed_reports`.
  bool is_delayed = false;
  int failures = 0;
  /// Whether the worker has reported since the link was added.
  bool has_reported = false;
  /// Last number of an end whose confirmation its process has answered.
  std::int64_t confirmed_end = 0;
  fencing_token token;
  /// Whether a call that must not take effect on another process may have been
  /// sent under this token.
  bool is_token_used = true;
};

}  // namespace

struct worker_links::impl : std::enable_shared_from_this<worker_links::impl> {
  impl(http::event_loop& loop_in, external::worker_gateway& gateway_in,
       batch::scheduler& scheduler_in, model::epoch epoch_in,
       const link_options& options_in, link_permissions permissions_in,
       listener handlers_in, reporter report_in)
      : loop(loop_in),
        gateway(gateway_in),
        scheduler(scheduler_in),
        epoch(epoch_in),
        options(options_in),
        may_order(std::move(permissions_in.may_order)),
        may_start(std::move(permissions_in.may_start)),
        may_extend_lease(std::move(permissions_in.may_extend_lease)),
        handlers(std::move(handlers_in)),
        report(report_in),
        report_timer(report, "take_report") {}

  void request_report(const model::worker_id& id);
  void request_report_after(const model::worker_id& id,
                            std::chrono::milliseconds pause);
  void request_delayed_reports();
  void note_confirmed(const model::worker_id& id, std::int64_t end);
  void handle_report(const model::worker_id& id, fencing_token token,
                     bool was_verified,
                     absl::StatusOr<batch::worker_report> answer);
  std::chrono::milliseconds extend_lease(const model::worker_id& id,
                                         std::chrono::milliseconds timeout);

  bool is_verified(const model::worker_id& id, const link& link) const;
  void raise_token(const model::worker_id& id, link& link);
  bool is_current(const model::worker_id& id, fencing_token token) const;
  order_answer check_fence(const model::worker_id& id, fencing_token token,
                           order_answer answer);

  void send_start(const batch::start_order& order, int attempt,
                  bool maybe_sent);
  void hold_start(const batch::start_order& order, int attempt,
                  bool maybe_sent);
  void schedule_held_starts();
  void send_held_starts();
  void drop_start(const batch::start_order& order, bool maybe_sent,
                  std::string_view why);
  void send_stop(const batch::stop_order& order);
  void send_pace(const batch::pace_order& order);
  void on_pace_answered(const batch::pace_order& order, order_answer answer);
  void repeat_pace(const batch::pace_order& earlier);
  void repeat_pace_until(const batch::pace_order& earlier,
                         model::time_point until);
  void defer(std::chrono::milliseconds pause, std::function<void()> step);
  void count(std::string_view order_kind, order_answer answer);
  /// @return the permission of a call that must not take effect on a later
  ///   process of the worker.
  external::call_permit permit(link& link) const {
    link.is_token_used = true;
    return {link.token.value(), may_order};
  }

  http::event_loop& loop;
  external::worker_gateway& gateway;
  batch::scheduler& scheduler;
  model::epoch epoch;
  link_options options;
  std::function<bool()> may_order;
  std::function<bool()> may_start;
  std::function<bool(std::string_view)> may_extend_lease;
  listener handlers;
  reporter report;
  work_timer report_timer;
  absl::flat_hash_map<std::string, link> links;
  /// Sequence number of each worker's last token; outlives its links.
  absl::flat_hash_map<std::string, model::epoch> token_sequences;
  /// Workers whose next report is delayed until their ends are stored.
  std::vector<model::worker_id> delayed_reports;
  bool is_requesting_delayed = false;
  absl::flat_hash_map<std::string, pace_calls> paces;
  /// Starts that wait until they may be sent.
  std::deque<held_start> held_starts;
  /// Whether they are sent later, and how many of them in the present pass.
  bool is_pass_scheduled = false;
  std::size_t due_starts = 0;
  bool stopped = false;
};

void worker_links::impl::defer(std::chrono::milliseconds pause,
                               std::function<void()> step) {
  loop.call_after(pause, [self = shared_from_this(), step = std::move(step)] {
    if (!self->stopped) {
      step();
    }
  });
}

void worker_links::impl::count(std::string_view order_kind,
                               order_answer answer) {
  report.count(
      absl::StrCat("vanillaladder_worker_", std::string(order_kind), "_total"),
      "answer", name_of(answer));
}

/// @param timeout limit of the call that carries the lease.
/// @return deadline on the worker's clock, or 0 if the clock is not known or no
///   lease may be ordered.
std::chrono::milliseconds worker_links::impl::extend_lease(
    const model::worker_id& id, std::chrono::milliseconds timeout) {
  const auto* lease = scheduler.lease_of(id);
  if (lease == nullptr || !lease->clock_known() ||
      (may_extend_lease && !may_extend_lease(id))) {
    return std::chrono::milliseconds(0);
  }
  auto now = boot_now();
  auto deadline = lease->clock_at(now) + options.lease_duration;
  scheduler.on_lease_ordered(id, deadline, now + timeout);
  return deadline;
}

/// @return whether the process of the last report has answered the last
///   request, and the list of workers names no later one.
bool worker_links::impl::is_verified(const model::worker_id& id,
                                     const link& link) const {
  const auto* lease = scheduler.lease_of(id);
  return link.has_reported && link.failures == 0 && lease != nullptr &&
         lease->clock_known();
}

/// Gives the link a token above all calls that were sent to its worker. An
/// answer under it proves that none of these takes effect later, also if they
/// were meant for an earlier process.
void worker_links::impl::raise_token(const model::worker_id& id, link& link) {
  if (!link.is_token_used) {
    return;
  }
  auto& sequence = token_sequences[id];
  if (sequence == fencing_token::max_sequence) {
    report.event("links", absl::StrCat("tokens_used_up worker=", id));
    handlers.on_superseded();
    return;
  }
  link.token = fencing_token(epoch, ++sequence);
  link.is_token_used = false;
}

bool worker_links::impl::is_current(const model::worker_id& id,
                                    fencing_token token) const {
  auto found = links.find(id);
  return found != links.end() && found->second.token == token;
}

/// A worker that rejects the current token has seen a later leader. One that
/// rejects an earlier token has seen the current one.
order_answer worker_links::impl::check_fence(const model::worker_id& id,
                                             fencing_token token,
                                             order_answer answer) {
  if (answer != order_answer::fenced) {
    return answer;
  }
  if (is_current(id, token)) {
    handlers.on_superseded();
    return answer;
  }
  return order_answer::not_sent;
}

void worker_links::impl::request_report_after(const model::worker_id& id,
                                              std::chrono::milliseconds pause) {
  auto found = links.find(id);
  if (found == links.end()) {
    return;
  }
  auto& next = found->second.next_report;
  if (next) {
    loop.cancel(*next);
  }
  next = loop.call_after(pause, [self = shared_from_this(), id] {
    if (!self->stopped) {
      self->request_report(id);
    }
  });
}

/// Requests the delayed reports of workers whose ends are stored, some in each
/// event-loop turn.
void worker_links::impl::request_delayed_reports() {
  std::vector<model::worker_id> ready;
  std::erase_if(delayed_reports, [&](const auto& id) {
    if (ready.size() == max_requests_per_turn ||
        scheduler.has_unstored_ends(id)) {
      return false;
    }
    ready.push_back(id);
    return true;
  });
  for (const auto& id : ready) {
    if (auto found = links.find(id); found != links.end()) {
      found->second.is_delayed = false;
      request_report(id);
    }
  }
  is_requesting_delayed = ready.size() == max_requests_per_turn;
  if (is_requesting_delayed) {
    defer(std::chrono::milliseconds(0), [this] { request_delayed_reports(); });
  }
}

void worker_links::impl::request_report(const model::worker_id& id) {
  auto found = links.find(id);
  if (found == links.end() || found->second.report_in_flight) {
    return;
  }
  if (auto timer = std::exchange(found->second.next_report, std::nullopt)) {
    loop.cancel(*timer);
  }
  if (!scheduler.needs_contact(id)) {
    links.erase(found);
    gateway.disconnect(id);
    return;
  }
  if (!may_order()) {
    request_report_after(id, options.retry_pause);
    return;
  }
  auto& link = found->second;
  link.report_in_flight = true;
  external::report_request request;
  auto wait = scheduler.needs_frequent_reports(id)
                  ? options.sensitive_report_wait
                  : options.report_wait;
  // The lease of a worker that does not answer must expire. One that has not
  // reported on this link, or did not answer, may have restarted: its clock and
  // its numbers of ends may have started anew.
  bool verified = is_verified(id, link);
  if (verified) {
    request.permit = permit(link);
    request.deadline = extend_lease(id, wait + options.answer_limit);
    // A later process would forget ends of its own, so that a number is sent
    // only until it is confirmed.
    auto stored_end = scheduler.last_stored_end(id);
    request.stored_end = stored_end > link.confirmed_end ? stored_end : 0;
    // Without a deadline no lease may be ordered until the next renewal of the
    // leadership.
    request.wait = request.deadline.count() > 0 ? wait : options.retry_pause;
  } else {
    raise_token(id, link);
    link.confirmed_end = 0;
    request.permit = {link.token.value(), may_order};
  }
  auto sent = boot_now();
  gateway.report(link.entry.info, request, request.wait + options.answer_limit,
                 [self = shared_from_this(), id, token = link.token, verified,
                  confirmed = request.stored_end,
                  sent](absl::StatusOr<batch::worker_report> answer) {
                   if (self->stopped) {
                     return;
                   }
                   if (answer.ok()) {
                     self->note_confirmed(id, confirmed);
                     answer->requested_at = sent;
                     answer->received_at = boot_now();
                     answer->received_wall = wall_now();
                   }
                   self->handle_report(id, token, verified, std::move(answer));
                 });
}

void worker_links::impl::note_confirmed(const model::worker_id& id,
                                        std::int64_t end) {
  if (auto found = links.find(id); found != links.end()) {
    auto& confirmed = found->second.confirmed_end;
    confirmed = std::max(confirmed, end);
  }
}

/// @param was_verified whether the process was known when it was asked.
void worker_links::impl::handle_report(
    const model::worker_id& id, fencing_token token, bool was_verified,
    absl::StatusOr<batch::worker_report> answer) {
  auto timing = report_timer.begin();
  auto found = links.find(id);
  if (found == links.end()) {
    return;
  }
  auto& link = found->second;
  link.report_in_flight = false;
  if (absl::IsAborted(answer.status()) && is_current(id, token)) {
    handlers.on_superseded();
    return;
  }
  if (!answer.ok()) {
    report.count("vanillaladder_worker_report_failures_total");
    if (was_verified) {
      scheduler.on_lease_unanswered(id, boot_now());
    }
    ++link.failures;
    if (link.failures >= 2) {
      scheduler.on_unreachable(id, boot_now());
    }
    request_report_after(id, link.failures < 2 ? options.retry_pause
                                               : options.unreachable_pause);
    return;
  }
  link.failures = 0;
  link.has_reported = true;
  if (was_verified && scheduler.is_other_process(id, answer->incarnation)) {
    // Calls to its predecessor may still take effect on it.
    scheduler.on_restart_noticed(id, answer->incarnation, boot_now());
    request_report(id);
    return;
  }
  // A report may lead to a stop of a run that would continue elsewhere.
  scheduler.hold_starts(!may_start());
  scheduler.on_report(id, *answer);
  handlers.on_change();
  if (scheduler.has_unstored_ends(id)) {
    if (!std::exchange(link.is_delayed, true)) {
      delayed_reports.push_back(id);
    }
    request_report_after(id, options.unstored_ends_pause);
  } else {
    request_report_after(id, options.report_pause);
  }
}

void worker_links::impl::send_start(const batch::start_order& order,
                                    int attempt, bool maybe_sent) {
  auto found = links.find(order.worker);
  if (found == links.end()) {
    drop_start(order, maybe_sent, "no_link");
    return;
  }
  // The order may have waited for long since it was planned, for an append or
  // for permission.
  if (auto why = scheduler.start_obstacle(order, boot_now()); !why.empty()) {
    drop_start(order, maybe_sent, why);
    return;
  }
  if (!may_order() || !may_start()) {
    hold_start(order, attempt, maybe_sent);
    return;
  }
  auto& link = found->second;
  if (!is_verified(order.worker, link)) {
    // Another process would start it.
    hold_start(order, attempt, maybe_sent);
    return;
  }
  auto deadline = extend_lease(order.worker, options.answer_limit);
  if (deadline.count() == 0) {
    // A run without a lease would end at once.
    hold_start(order, attempt, maybe_sent);
    return;
  }
  report.routine(
      "links",
      absl::StrCat("start_sent task=", batch::to_string(order.task),
                   " run=", order.run, " worker=", order.worker,
                   " deadline_ms=", deadline.count(), " attempt=", attempt));
  external::start_permit start{permit(link), deadline};
  start.call.may_send = [self = shared_from_this(), order, token = link.token] {
    return !self->stopped && self->may_order() && self->may_start() &&
           self->is_current(order.worker, token) &&
           self->scheduler.start_obstacle(order, boot_now()).empty();
  };
  gateway.start(
      link.entry.info, order, start, options.answer_limit,
      [self = shared_from_this(), order, attempt, maybe_sent,
       token = link.token](order_answer answer) {
        if (self->stopped) {
          return;
        }
        self->count("starts", answer);
        if (answer == order_answer::unanswered) {
          self->scheduler.on_start_unanswered(order.worker, order.task,
                                              order.run, boot_now());
        }
        answer = self->check_fence(order.worker, token, answer);
        using batch::start_outcome;
        auto outcome = start_outcome::not_run;
        switch (answer) {
          case order_answer::fenced:
            return;
          case order_answer::done:
          // The run exists already; the next report shows its state.
          case order_answer::stale_run:
            outcome = start_outcome::confirmed;
            break;
          case order_answer::unanswered:
          case order_answer::not_sent:
            if (attempt < self->options.start_attempts) {
              self->send_start(
                  order, attempt + 1,
                  maybe_sent || answer == order_answer::unanswered);
              return;
            }
            outcome = answer == order_answer::unanswered
                          ? start_outcome::unknown
                          : start_outcome::not_run;
            break;
          case order_answer::no_room:
            outcome = start_outcome::no_room;
            break;
          case order_answer::unhealthy:
            outcome = start_outcome::unhealthy;
            break;
          case order_answer::too_late:
          case order_answer::no_ticket:
          case order_answer::other_worker:
          case order_answer::invalid:
            break;
        }
        if (outcome != start_outcome::confirmed && maybe_sent) {
          // An earlier attempt may still be executed.
          outcome = start_outcome::unknown;
        }
        if (answer != order_answer::done) {
          self->report.routine(
              "links",
              absl::StrCat("start_answer task=", batch::to_string(order.task),
                           " run=", order.run, " worker=", order.worker,
                           " answer=", std::string(name_of(answer)),
                           " attempt=", attempt, " maybe_sent=", maybe_sent));
        }
        self->scheduler.on_start_result(order.worker, order.task, order.run,
                                        outcome, boot_now());
        self->handlers.on_change();
      });
}

void worker_links::impl::hold_start(const batch::start_order& order,
                                    int attempt, bool maybe_sent) {
  held_starts.push_back({order, attempt, maybe_sent});
  if (!is_pass_scheduled) {
    schedule_held_starts();
  }
}

void worker_links::impl::schedule_held_starts() {
  is_pass_scheduled = true;
  defer(options.retry_pause, [this] {
    due_starts = held_starts.size();
    send_held_starts();
  });
}

/// Sends the starts that are due once this is permitted, some in each
/// event-loop turn. Those that are held again wait for the next pass.
void worker_links::impl::send_held_starts() {
  if (!may_order() || !may_start()) {
    due_starts = 0;
  }
  std::vector<held_start> ready;
  for (; due_starts > 0 && ready.size() < max_requests_per_turn; --due_starts) {
    ready.push_back(std::move(held_starts.front()));
    held_starts.pop_front();
  }
  if (due_starts > 0) {
    defer(std::chrono::milliseconds(0), [this] { send_held_starts(); });
  } else if (!held_starts.empty()) {
    schedule_held_starts();
  } else {
    is_pass_scheduled = false;
  }
  for (const auto& each : ready) {
    send_start(each.order, each.attempt, each.maybe_sent);
  }
}

/// Gives up a start that was not sent, or not sent again.
void worker_links::impl::drop_start(const batch::start_order& order,
                                    bool maybe_sent, std::string_view why) {
  report.count("vanillaladder_starts_dropped_total", "reason", why);
  report.routine(
      "links",
      absl::StrCat("start_dropped task=", batch::to_string(order.task),
                   " run=", order.run, " worker=", order.worker,
                   " why=", std::string(why), " maybe_sent=", maybe_sent));
  scheduler.on_start_result(order.worker, order.task, order.run,
                            maybe_sent ? batch::start_outcome::unknown
                                       : batch::start_outcome::not_run,
                            boot_now());
  handlers.on_change();
}

void worker_links::impl::send_stop(const batch::stop_order& order) {
  auto found = links.find(order.worker);
  if (found == links.end() && !scheduler.needs_contact(order.worker)) {
    return;
  }
  // A worker without a link is linked later, or else its runs end when its
  // lease expires.
  if (found == links.end() || !may_order()) {
    defer(options.retry_pause, [this, order] { send_stop(order); });
    return;
  }
  auto& link = found->second;
  gateway.stop(link.entry.info, order, permit(link), options.answer_limit,
               [self = shared_from_this(), order,
                token = link.token](order_answer answer) {
                 if (self->stopped) {
                   return;
                 }
                 self->count("stops", answer);
                 answer = self->check_fence(order.worker, token, answer);
                 if (answer == order_answer::fenced) {
                   return;
                 }
                 if (answer == order_answer::done) {
                   self->scheduler.on_stop_answered(order.worker, order.task,
                                                    order.run, boot_now());
                 } else {
                   self->defer(self->options.retry_pause,
                               [self, order] { self->send_stop(order); });
                 }
               });
}

void worker_links::impl::send_pace(const batch::pace_order& order) {
  auto found = links.find(order.worker);
  if (found == links.end() || !may_order()) {
    scheduler.on_pace_undelivered(order.task, order.run);
    return;
  }
  auto& calls = paces[run_name(order)];
  calls.overlap = calls.overlap || calls.in_flight > 0;
  ++calls.in_flight;
  auto& link = found->second;
  gateway.pace(link.entry.info, order, permit(link), options.answer_limit,
               [self = shared_from_this(), order,
                token = link.token](order_answer answer) {
                 if (!self->stopped) {
                   self->on_pace_answered(
                       order, self->check_fence(order.worker, token, answer));
                 }
               });
}

void worker_links::impl::on_pace_answered(const batch::pace_order& order,
                                          order_answer answer) {
  count("paces", answer);
  if (answer == order_answer::fenced) {
    return;
  }
  if (answer == order_answer::done) {
    scheduler.on_pace_delivered(order.task, order.run, order.percent);
  } else {
    scheduler.on_pace_undelivered(order.task, order.run);
  }
  if (answer == order_answer::unanswered) {
    repeat_pace_until(order, boot_now() + options.late_order_limit);
  }
  auto calls = paces.find(run_name(order));
  if (calls != paces.end() && --calls->second.in_flight == 0) {
    bool overlap = calls->second.overlap;
    paces.erase(calls);
    if (overlap) {
      repeat_pace(order);
    }
  }
}

/// Orders the pace that holds once more: `earlier` may have taken effect after
/// it.
void worker_links::impl::repeat_pace(const batch::pace_order& earlier) {
  auto percent = scheduler.ordered_pace(earlier.task, earlier.run);
  if (percent && *percent >= 0) {
    report.count("vanillaladder_paces_repeated_total");
    send_pace({earlier.worker, earlier.task, earlier.run, *percent});
  }
}

void worker_links::impl::repeat_pace_until(const batch::pace_order& earlier,
                                           model::time_point until) {
  defer(options.pace_repeat_interval, [this, earlier, until] {
    auto percent = scheduler.ordered_pace(earlier.task, earlier.run);
    if (percent && *percent != earlier.percent) {
      repeat_pace(earlier);
    }
    if (percent && boot_now() < until) {
      repeat_pace_until(earlier, until);
    }
  });
}

worker_links::worker_links(http::event_loop& loop,
                           external::worker_gateway& gateway,
                           batch::scheduler& scheduler, model::epoch epoch,
                           const link_options& options,
                           link_permissions permissions, listener handlers,
                           reporter report)
    : impl_(std::make_shared<impl>(loop, gateway, scheduler, epoch, options,
                                   std::move(permissions), std::move(handlers),
                                   report)) {}

worker_links::~worker_links() {
  impl_->stopped = true;
}

void worker_links::update(const batch::worker_entry& entry) {
  auto& link = impl_->links[entry.info.id];
  bool is_new = link.entry.info.id.empty();
  bool moved = link.entry.info.address != entry.info.address ||
               link.entry.info.port != entry.info.port;
  if (!is_new && moved) {
    impl_->gateway.disconnect(entry.info.id);
  }
  link.entry = entry;
  if (is_new) {
    impl_->raise_token(entry.info.id, link);
    impl_->request_report(entry.info.id);
  }
}

void worker_links::on_ends_stored() {
  if (!impl_->is_requesting_delayed) {
    impl_->request_delayed_reports();
  }
}

void worker_links::send(const batch::order& order) {
  struct sender {
    impl& links;
    void operator()(const batch::start_order& order) const {
      links.send_start(order, 1, false);
    }
    void operator()(const batch::stop_order& order) const {
      links.send_stop(order);
    }
    void operator()(const batch::pace_order& order) const {
      links.send_pace(order);
    }
  };
  std::visit(sender{*impl_}, order);
}

}  // namespace vanillaladder::dispatch
