#include "disturbances.h"

#include <csignal>
#include <thread>

#include "harness/eventually.h"

namespace vanillaladder::soak {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// How often due steps and ended processes are looked for; no verdict depends
/// on it.
constexpr auto poll_interval = 10ms;

}  // namespace

disturbances::disturbances(harness::platform_cluster& cluster,
                           rotation& daemons, std::uint64_t seed)
    : cluster_(&cluster),
      daemons_(&daemons),
      random_(seed),
      states_(cluster.daemon_count(), daemon_state::ready) {
  for (std::size_t n = 0; n < states_.size(); ++n) {
    daemons_->set(n, cluster_->caller_port(n));
  }
}

void disturbances::note(const std::string& line) {
  auto ms = std::chrono::duration_cast<milliseconds>(clock::now() - began_);
  log_ += std::to_string(ms.count()) + " " + line + "\n";
}

disturbances::clock::time_point disturbances::after(std::int64_t low_ms,
                                                    std::int64_t high_ms) {
  return clock::now() + milliseconds(draw(random_, low_ms, high_ms));
}

std::string disturbances::one_of(const std::vector<std::string>& values) {
  auto last = static_cast<std::int64_t>(values.size()) - 1;
  return values[static_cast<std::size_t>(draw(random_, 0, last))];
}

/// @return the doors of some daemons, or an empty text for all.
std::string disturbances::some_doors() {
  std::string doors;
  for (std::size_t n = 0; n < states_.size(); ++n) {
    if (draw(random_, 0, 1) == 1) {
      doors += (doors.empty() ? "" : ",") + std::to_string(n);
    }
  }
  return doors;
}

void disturbances::run_due() {
  while (!pending_.empty() && pending_.begin()->first <= clock::now()) {
    auto step = pending_.extract(pending_.begin());
    step.mapped()();
  }
  watch_daemons();
}

void disturbances::run(milliseconds time) {
  auto until = clock::now() + time;
  auto next = clock::now();
  while (clock::now() < until) {
    if (clock::now() >= next) {
      begin_one();
      next = after(50, 600);
    }
    run_due();
    std::this_thread::sleep_for(poll_interval);
  }
}

bool disturbances::end_all() {
  note("end of the disturbances");
  // Ends come in their order; a restart may still be under way.
  while (!pending_.empty()) {
    auto step = pending_.extract(pending_.begin());
    step.mapped()();
  }
  auto all_ready = [this] {
    run_due();
    return std::ranges::all_of(
        states_, [](auto each) { return each == daemon_state::ready; });
  };
  return harness::eventually(all_ready) && cluster_->wait_until_ready();
}

/// Restarts daemons that have ended as they were asked to, and puts those back
/// into rotation that are ready.
void disturbances::watch_daemons() {
  for (std::size_t n = 0; n < states_.size(); ++n) {
    auto& process = cluster_->process(n);
    if (states_[n] == daemon_state::stopping && !process.running()) {
      if (auto code = process.wait_for_exit(); code != 0) {
        faults_.push_back("daemon " + std::to_string(n) + " ended with " +
                          std::to_string(code.value_or(-1)));
      }
      restart(n);
    } else if (states_[n] == daemon_state::starting && process.running() &&
               cluster_->ready(n)) {
      states_[n] = daemon_state::ready;
      daemons_->set(n, cluster_->caller_port(n));
    } else if (states_[n] != daemon_state::stopping &&
               states_[n] != daemon_state::starting && !process.running()) {
      faults_.push_back("daemon " + std::to_string(n) +
                        " ended by itself: " + process.errors());
      restart(n);
    }
  }
}

void disturbances::restart(std::size_t daemon) {
  note("restart of daemon " + std::to_string(daemon));
  cluster_->restart(daemon);
  states_[daemon] = daemon_state::starting;
}

void disturbances::begin_one() {
  auto kind = draw(random_, 0, 99);
  if (kind < 35) {
    disturb_daemon();
  } else if (kind < 72) {
    disturb_store();
  } else if (kind < 95) {
    disturb_worker();
  } else {
    close_domain();
  }
}

/// Takes one of the domains out; the others have room for all work.
void disturbances::close_domain() {
  if (is_domain_closed_) {
    return;
  }
  is_domain_closed_ = true;
  closure made;
  made.domain = "domain-" + std::to_string(draw(random_, 1, 3));
  note("closing of " + made.domain);
  auto key = standins::platform::closing_key(made.domain);
  cluster_->put("operator", key, "{}");
  made.closed_us = now_us();
  at(after(1000, 9000), [this, made, key]() mutable {
    note("opening of " + made.domain);
    made.opened_us = now_us();
    cluster_->put("operator", key, "");
    closures_.push_back(made);
    is_domain_closed_ = false;
  });
}

void disturbances::disturb_daemon() {
  auto n = static_cast<std::size_t>(
      draw(random_, 0, static_cast<std::int64_t>(states_.size()) - 1));
  if (states_[n] != daemon_state::ready) {
    return;
  }
  auto& process = cluster_->process(n);
  auto name = " of daemon " + std::to_string(n);
  switch (draw(random_, 0, 2)) {
    case 0:
      note("SIGKILL" + name);
      states_[n] = daemon_state::starting;
      daemons_->set(n, 0);
      process.send_signal(SIGKILL);
      process.wait_for_exit();
      at(after(0, 1500), [this, n] { restart(n); });
      return;
    case 1:
      // Callers go on to use their open connections.
      note("SIGTERM" + name);
      states_[n] = daemon_state::stopping;
      process.send_signal(SIGTERM);
      return;
    default:
      note("SIGSTOP" + name);
      states_[n] = daemon_state::paused;
      process.send_signal(SIGSTOP);
      at(after(100, 4000), [this, n] {
        note("SIGCONT of daemon " + std::to_string(n));
        cluster_->process(n).send_signal(SIGCONT);
        states_[n] = daemon_state::ready;
      });
      return;
  }
}

void disturbances::disturb_store() {
  const std::vector<std::string> topics = {"jobs", "progress", "lease",
                                           "operator", "workers"};
  auto set = [this](const json& values) {
    note("store " + values.dump());
    cluster_->set_store(values);
  };
  switch (draw(random_, 0, 8)) {
    case 0:
    case 1:
      set({{"outage", one_of({"error", "close", "silent"})},
           {"outage_doors", some_doors()}});
      at(after(200, 5000), [set] { set({{"outage", "none"}}); });
      return;
    case 2:
      set({{"silent_reads", one_of(topics) + "," + one_of(topics)},
           {"silent_doors", some_doors()}});
      at(after(200, 5000), [set] { set({{"silent_reads", ""}}); });
      return;
    case 3:
      set({{"held_appends", one_of(topics)}});
      at(after(200, 3000), [set] { set({{"held_appends", ""}}); });
      return;
    case 4:
    case 5:
      set({{"late_append_topic",
            one_of({"jobs", "jobs,progress", "jobs,progress,lease"})},
           {"late_append_ms", draw(random_, 1000, 6000)},
           {"late_every", draw(random_, 2, 4)}});
      at(after(1000, 5000), [set] {
        set({{"late_append_ms", 0}, {"late_every", 0}});
      });
      return;
    case 6:
      set({{"lose_answers", draw(random_, 1, 10)}});
      return;
    case 7:
      set({{"delay_ms", draw(random_, 20, 300)}});
      at(after(500, 4000), [set] { set({{"delay_ms", 0}}); });
      return;
    default: {
      auto topic = one_of(topics);
      note("the history of " + topic + " is gone");
      cluster_->forget(topic);
      return;
    }
  }
}

void disturbances::disturb_worker() {
  auto id = "worker-" + std::to_string(draw(random_, 1, 6));
  auto set = [this, id](const json& values) {
    note(id + " " + values.dump());
    cluster_->set_workers(values, id);
  };
  switch (draw(random_, 0, 3)) {
    case 0:
      set({{"silent", true}});
      at(after(200, 8000), [set] { set({{"silent", false}}); });
      return;
    case 1:
      set({{"dead", true}});
      at(after(100, 6000), [set] { set({{"dead", false}}); });
      return;
    case 2:
      set({{"draining", true}});
      at(after(500, 4000), [set] { set({{"draining", false}}); });
      return;
    default:
      set({{"late_orders", draw(random_, 1, 6)},
           {"late_order_ms", draw(random_, 500, 8000)}});
      return;
  }
}

}  // namespace vanillaladder::soak
