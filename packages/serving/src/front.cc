#include "serving/front.h"

#include <algorithm>

#include "serving/detail/front_impl.h"
#include "serving/detail/messages.h"

namespace vanillaladder::serving {
namespace {

using clock = std::chrono::steady_clock;
using scheduling::refusal_reason;

// Lower bound of the timer delay. Without it, a due probe that no waiting
// request may use would cause a busy loop.
constexpr milliseconds min_timer_ms{5};

}  // namespace

std::optional<request_id> front::impl::accept(
    http::request message, bool forwarded,
    std::optional<milliseconds> remaining, forwarded_callback done) {
  metrics.count(front_event::received, "");
  auto refuse = [&](refusal_reason reason) {
    metrics.count(front_event::refused, scheduling::to_string(reason));
    done(detail::refusal_response(reason));
    return std::nullopt;
  };
  if (draining) {
    return refuse(refusal_reason::draining);
  }
  auto caller =
      detail::parse_caller_request(message, limits.request_timeout_ms);
  if (!caller) {
    return refuse(refusal_reason::bad_request);
  }
  auto now = clock::now();
  auto deadline = remaining.value_or(
      caller->deadline.value_or(machine.class_deadline(caller->request_class)));
  request_info info{
      .service = caller->service,
      .request_class = caller->request_class,
      .team = caller->team,
      .path = std::string(http::path_of(message.target)),
      .idempotent = caller->idempotent,
      .needs_claim = !forwarded && !caller->idempotent && !caller->key.empty(),
      .forwarded = forwarded,
      .deadline = now + std::min(deadline, limits.request_timeout_ms)};
  request_id id = ++last_id;
  requests.emplace(id, detail::served_request{std::move(message),
                                              std::move(done),
                                              caller->service,
                                              caller->request_class,
                                              now,
                                              detail::hash_key(*caller),
                                              false,
                                              {}});
  auto actions = machine.request_arrived(id, info, now);
  if (machine.is_open(id)) {
    metrics.count(front_event::admitted, caller->service);
  }
  run(std::move(actions));
  return id;
}

void front::impl::schedule() {
  auto due = machine.next_wakeup();
  if (timer && timer->first == due) {
    return;
  }
  if (timer) {
    loop.cancel(timer->second);
    timer.reset();
  }
  if (due == model::time_point::max()) {
    return;
  }
  auto delay = std::chrono::ceil<milliseconds>(due - clock::now());
  auto id =
      loop.call_after(std::max(delay, min_timer_ms), [self = weak_from_this()] {
        if (auto locked = self.lock()) {
          locked->on_timer();
        }
      });
  timer.emplace(due, id);
}

void front::impl::on_timer() {
  timer.reset();
  run(machine.tick(clock::now()));
}

void front::impl::report_idle() {
  if (idle && requests.empty()) {
    loop.post(std::exchange(idle, nullptr));
  }
}

front::front(http::event_loop& loop, key_claims& claims, forwarder& peers,
             front_metrics& metrics, const front_limits& limits)
    : impl_(std::make_shared<impl>(loop, claims, peers, metrics, limits)) {}

front::~front() {
  if (impl_->timer) {
    impl_->loop.cancel(impl_->timer->second);
  }
}

void front::handle(http::request message,
                   std::shared_ptr<http::responder> answer) {
  auto id = impl_->accept(
      std::move(message), false, std::nullopt,
      [answer](http::response result) { answer->respond(std::move(result)); });
  if (!id || !impl_->machine.is_open(*id)) {
    return;
  }
  answer->on_disconnect([self = impl_->weak_from_this(), id = *id] {
    auto locked = self.lock();
    if (locked && locked->machine.is_open(id)) {
      locked->metrics.count(front_event::disconnected,
                            locked->machine.phase_name(id));
      locked->run(locked->machine.caller_disconnected(id, clock::now()));
    }
  });
}

void front::handle_forwarded(http::request message,
                             milliseconds remaining_deadline,
                             forwarded_callback done) {
  impl_->accept(std::move(message), true, remaining_deadline, std::move(done));
}

void front::update(const serving_view& view) {
  impl_->run(impl_->machine.update(view, clock::now()));
}

void front::begin_drain(std::function<void()> idle) {
  impl_->draining = true;
  impl_->idle = std::move(idle);
  impl_->report_idle();
}

bool front::ready() const {
  return !impl_->draining && impl_->machine.serves_callers(clock::now());
}

std::map<std::string, unsigned> front::free_slots() const {
  auto slots = impl_->machine.free_slots(clock::now());
  if (impl_->draining) {
    for (auto& [service, count] : slots) {
      count = 0;
    }
  }
  return slots;
}

std::map<model::backend_id, unsigned> front::in_flight() const {
  return impl_->machine.in_flight();
}

std::size_t front::open_requests() const {
  return impl_->requests.size();
}

}  // namespace vanillaladder::serving
