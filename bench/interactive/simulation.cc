#include "simulation.h"

#include <cmath>

namespace vanillaladder::bench {
namespace {

using namespace std::chrono_literals;
using scheduling::attempt_end;

constexpr unsigned daemon_count = 7;
constexpr unsigned slots_per_server = 8;
constexpr auto warm_up = 5s;
constexpr auto measured = 20s;
constexpr auto swing_period = 10s;
constexpr double tick_ms = 10;
constexpr double heartbeat_ms = 500;
constexpr double client_delay_ms = 1;
constexpr double failure_ms = 5;
constexpr double share_of_idempotent = 0.5;

std::string service_name() {
  return std::string(1, 's');
}

double as_ms(time_point::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double mean_service_ms(const deployment& where) {
  double mean = 0;
  for (const auto& kind : where.kinds) {
    mean += kind.share * kind.mean_ms;
  }
  return mean;
}

}  // namespace

simulation::simulation(const deployment& where, const scenario& what)
    : where_(where), what_(what), random_(what.seed), servers_(where.servers) {
  daemons_.reserve(daemon_count);
  for (unsigned n = 0; n < daemon_count; ++n) {
    daemons_.emplace_back(what.options);
  }
  for (unsigned n = 0; n < what.failing_servers; ++n) {
    servers_[n].failing = true;
  }
}

outcome simulation::run() {
  push_views();
  tick();
  schedule_arrival();
  auto end = start_ + warm_up + measured;
  while (!events_.empty() && events_.top().at < end) {
    auto next = events_.top();
    events_.pop();
    now_ = next.at;
    next.task();
  }
  return std::move(result_);
}

void simulation::after(double delay_ms, std::function<void()> task) {
  auto delay = std::chrono::duration_cast<time_point::duration>(
      std::chrono::duration<double, std::milli>(delay_ms));
  events_.push({now_ + delay, ++last_event_, std::move(task)});
}

double simulation::offered_load() const {
  bool high = ((now_ - start_) / swing_period) % 2 == 1;
  return what_.load * (high ? 1 + what_.swing : 1 - what_.swing);
}

void simulation::schedule_arrival() {
  double per_ms = offered_load() * where_.servers * slots_per_server /
                  mean_service_ms(where_);
  after(std::exponential_distribution<double>(per_ms)(random_), [this] {
    arrive();
    schedule_arrival();
  });
}

void simulation::arrive() {
  std::uniform_real_distribution<double> uniform(0, 1);
  call added;
  added.kind = uniform(random_) < where_.kinds[0].share ? 0 : 1;
  const auto& kind = where_.kinds[added.kind];
  double mu = std::log(kind.mean_ms) - kind.sigma * kind.sigma / 2;
  added.service_ms =
      std::lognormal_distribution<double>(mu, kind.sigma)(random_);
  added.daemon =
      std::uniform_int_distribution<unsigned>(0, daemon_count - 1)(random_);
  added.arrived = now_;
  auto deadline = what_.deadline > 0ms ? what_.deadline : kind.deadline;
  added.facts = {.service = service_name(),
                 .request_class = kind.name,
                 .team = std::string(1, uniform(random_) < 0.5 ? 'a' : 'b'),
                 .path = kind.name,
                 .idempotent = uniform(random_) < share_of_idempotent,
                 .deadline = now_ + deadline};
  add_call(std::move(added));
}

void simulation::add_call(call added) {
  auto id = ++last_id_;
  auto daemon = added.daemon;
  auto facts = added.facts;
  bool counted = !facts.forwarded && now_ >= start_ + warm_up;
  calls_.emplace(id, std::move(added));
  auto actions = daemons_[daemon].request_arrived(id, facts, now_);
  if (counted && daemons_[daemon].is_open(id)) {
    ++result_.admitted;
  }
  run_actions(daemon, actions);
}

void simulation::push_views() {
  std::vector<serving::peer_load> loads;
  for (unsigned n = 0; n < daemon_count; ++n) {
    loads.push_back({std::to_string(n), daemons_[n].free_slots(now_)});
  }
  for (unsigned n = 0; n < daemon_count; ++n) {
    serving::serving_view view;
    view.fresh = true;
    view.queue.alpha = what_.alpha;
    view.queue.max_queued = 100000;
    for (const auto& kind : where_.kinds) {
      auto& config = view.classes[kind.name];
      config.deadline_ms =
          what_.deadline > 0ms ? what_.deadline : kind.deadline;
    }
    for (unsigned index = 0; index < where_.servers; ++index) {
      serving::backend_grant grant;
      grant.info.id = std::to_string(index);
      grant.info.service = service_name();
      bool extra = index % daemon_count == n;
      grant.granted_slots = slots_per_server / daemon_count +
                            (extra ? slots_per_server % daemon_count : 0);
      if (!what_.grants) {
        grant.granted_slots = 1000000;
      }
      view.backends.push_back(grant);
    }
    for (unsigned peer = 0; peer < daemon_count && what_.grants; ++peer) {
      if (peer != n) {
        view.peers.push_back(loads[peer]);
      }
    }
    run_actions(n, daemons_[n].update(view, now_));
  }
  after(heartbeat_ms, [this] { push_views(); });
}

void simulation::tick() {
  for (unsigned n = 0; n < daemon_count; ++n) {
    run_actions(n, daemons_[n].tick(now_));
  }
  after(tick_ms, [this] { tick(); });
}

void simulation::run_actions(unsigned daemon,
                             const serving::action_list& actions) {
  for (const auto& action : actions) {
    std::visit([&](const auto& each) { execute(daemon, each); }, action);
  }
}

void simulation::execute(unsigned daemon, const serving::send_action& what) {
  if (now_ >= start_ + warm_up) {
    ++result_.sent;
  }
  job work{daemon, what.id, what.attempt, calls_.at(what.id).service_ms};
  auto index = static_cast<unsigned>(std::stoul(what.target.id));
  after(where_.delay_ms, [this, index, work] { receive(index, work); });
  after(static_cast<double>(what.timeout.count()),
        [this, work] { attempt_ended(work, attempt_end::timed_out); });
}

void simulation::receive(unsigned index, const job& work) {
  auto& target = servers_[index];
  if (target.failing) {
    after(failure_ms + where_.delay_ms,
          [this, work] { attempt_ended(work, attempt_end::closed); });
  } else if (target.busy < slots_per_server) {
    start(index, work);
  } else {
    target.waiting.push(work);
  }
}

void simulation::start(unsigned index, const job& work) {
  ++servers_[index].busy;
  after(work.service_ms, [this, index, work] {
    auto& done = servers_[index];
    --done.busy;
    if (!done.waiting.empty()) {
      auto next = done.waiting.front();
      done.waiting.pop();
      start(index, next);
    }
    after(where_.delay_ms,
          [this, work] { attempt_ended(work, attempt_end::responded); });
  });
}

void simulation::attempt_ended(const job& work, attempt_end end) {
  run_actions(work.daemon, daemons_[work.daemon].attempt_ended(
                               work.id, work.attempt, {.end = end}, now_));
}

void simulation::execute(unsigned daemon, const serving::forward_action& what) {
  call copy = calls_.at(what.id);
  job work{daemon, what.id, what.attempt, copy.service_ms};
  copy.daemon = static_cast<unsigned>(std::stoul(what.member));
  copy.facts.forwarded = true;
  copy.forwarded_by = [this, work](attempt_end end) {
    after(where_.delay_ms, [this, work, end] { attempt_ended(work, end); });
  };
  after(where_.delay_ms, [this, copy = std::move(copy)] { add_call(copy); });
}

void simulation::execute(unsigned, const serving::deliver_action& what) {
  end_call(what.id, attempt_end::responded);
}

void simulation::execute(unsigned, const serving::refuse_action& what) {
  end_call(what.id, attempt_end::refused);
}

void simulation::execute(unsigned, const serving::fail_action& what) {
  end_call(what.id, attempt_end::abandoned);
}

void simulation::end_call(serving::request_id id, attempt_end end) {
  auto node = calls_.extract(id);
  const auto& ended = node.mapped();
  if (ended.forwarded_by) {
    ended.forwarded_by(end);
    return;
  }
  bool answered = end == attempt_end::responded;
  // Counted by completion: waits may be as long as the measured time.
  if (answered && now_ >= start_ + warm_up && now_ <= ended.facts.deadline) {
    result_.good_work_ms[ended.kind] += ended.service_ms;
  }
  if (ended.arrived < start_ + warm_up) {
    return;
  }
  if (answered) {
    result_.latencies[ended.kind].push_back(as_ms(now_ - ended.arrived) +
                                            2 * client_delay_ms);
  }
}

}  // namespace vanillaladder::bench
