#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "serving/request_machine.h"

/// Virtual-time measurements of the interactive decisions: the daemons'
/// `request_machine`s, simple backend servers and seeded arrivals.
namespace vanillaladder::bench {

using model::milliseconds;
using model::time_point;

/// A class of requests with a lognormal service time.
struct request_kind {
  std::string name;
  double share = 0;
  double mean_ms = 0;
  double sigma = 0.5;
  milliseconds deadline{1000};
};

struct deployment {
  std::string name;
  unsigned servers = 0;
  double delay_ms = 0;
  std::array<request_kind, 2> kinds;
};

struct scenario {
  serving::machine_options options;
  unsigned alpha = 0;
  /// Whether slots are granted; without grants each daemon sends at once and
  /// requests wait at the servers.
  bool grants = true;
  /// Offered work over capacity, and the factor by which it alternately
  /// exceeds and falls short of that every ten seconds.
  double load = 0.95;
  double swing = 0;
  /// Replaces the deadlines of the kinds if set.
  milliseconds deadline{0};
  unsigned failing_servers = 0;
  unsigned seed = 1;
};

struct outcome {
  /// Latencies of answered requests in ms, by kind.
  std::array<std::vector<double>, 2> latencies;
  /// Service time of the requests that were answered within their deadline, by
  /// kind.
  std::array<double, 2> good_work_ms{};
  std::uint64_t admitted = 0;
  std::uint64_t sent = 0;
};

/// Runs one scenario.
class simulation {
 public:
  simulation(const deployment& where, const scenario& what);
  outcome run();

 private:
  struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> task;
    bool operator<(const event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct job {
    unsigned daemon;
    serving::request_id id;
    unsigned attempt;
    double service_ms;
  };
  struct server {
    unsigned busy = 0;
    std::queue<job> waiting;
    bool failing = false;
  };
  struct call {
    unsigned daemon = 0;
    std::size_t kind = 0;
    double service_ms = 0;
    time_point arrived;
    serving::request_info facts;
    /// Answers the daemon that forwarded the request.
    std::function<void(scheduling::attempt_end)> forwarded_by;
  };

  void after(double delay_ms, std::function<void()> task);
  double offered_load() const;
  void schedule_arrival();
  void arrive();
  void add_call(call added);
  void push_views();
  void tick();
  void run_actions(unsigned daemon, const serving::action_list& actions);
  void execute(unsigned daemon, const serving::send_action& what);
  void execute(unsigned daemon, const serving::forward_action& what);
  void execute(unsigned daemon, const serving::deliver_action& what);
  void execute(unsigned daemon, const serving::refuse_action& what);
  void execute(unsigned daemon, const serving::fail_action& what);
  template <typename Other>
  void execute(unsigned, const Other&) {}
  void receive(unsigned index, const job& work);
  void start(unsigned index, const job& work);
  void attempt_ended(const job& work, scheduling::attempt_end end);
  void end_call(serving::request_id id, scheduling::attempt_end end);

  const deployment& where_;
  const scenario& what_;
  std::mt19937_64 random_;
  time_point start_ = time_point() + std::chrono::hours(1);
  time_point now_ = start_;
  std::uint64_t last_event_ = 0;
  std::priority_queue<event> events_;
  std::vector<serving::request_machine> daemons_;
  std::vector<server> servers_;
  std::map<serving::request_id, call> calls_;
  serving::request_id last_id_ = 0;
  outcome result_;
};

}  // namespace vanillaladder::bench
