#include <algorithm>
#include <cstdio>
#include <functional>

#include "simulation.h"

namespace vanillaladder::bench {
namespace {

using namespace std::chrono_literals;

constexpr unsigned seeds = 5;
constexpr double high_load = 0.95;
// Low enough that no request waits for a slot.
constexpr double low_load = 0.1;
constexpr double load_swing = 0.1;
constexpr unsigned measured_alpha = 10;
// Long enough that no request of a run at 95% load is refused.
constexpr milliseconds no_deadline = 30s;

const deployment deployments[] = {
    {"labios-claros",
     50,
     1,
     {{{"drill", 0.95, 60, 0.5, 1000ms}, {"caption", 0.05, 900, 0.5, 8000ms}}}},
    {"vatimaja",
     65,
     0.5,
     {{{"quote", 0.95, 40, 0.5, 800ms}, {"bulk", 0.05, 600, 0.5, 6000ms}}}},
};

double percentile_99(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  auto at = values.begin() + static_cast<std::ptrdiff_t>(
                                 0.99 * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

double overall_p99(const outcome& result) {
  auto all = result.latencies[0];
  all.insert(all.end(), result.latencies[1].begin(), result.latencies[1].end());
  return percentile_99(std::move(all));
}

scenario baseline(bool grants) {
  scenario what;
  what.options.order = scheduling::queue_order::arrival;
  what.options.routing = scheduling::routing_policy::round_robin;
  what.options.check_expected_wait = false;
  what.grants = grants;
  return what;
}

outcome run(const deployment& where, scenario what, unsigned seed) {
  what.seed = seed;
  return simulation(where, what).run();
}

/// The median, least and greatest value of all seeds.
struct spread {
  double median;
  double min;
  double max;
};

spread measure_all(const std::function<double(unsigned)>& value) {
  std::vector<double> values(seeds);
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    values[seed - 1] = value(seed);
  }
  std::sort(values.begin(), values.end());
  return {values[seeds / 2], values.front(), values.back()};
}

/// Prints one row; `value` is called with each seed.
void report(const deployment& where, const std::string& measure, double target,
            bool at_least, const std::function<double(unsigned)>& value) {
  auto found = measure_all(value);
  bool met = at_least ? found.min >= target : found.max <= target;
  std::printf("%s,%s,%s%.2f,%.4f,%.4f,%.4f,%u,%s\n", where.name.c_str(),
              measure.c_str(), at_least ? ">=" : "<=", target, found.median,
              found.min, found.max, seeds, met ? "yes" : "no");
  std::fflush(stdout);
}

/// Prints one row of a measure without a target.
void report(const deployment& where, const std::string& measure,
            const std::function<double(unsigned)>& value) {
  auto found = measure_all(value);
  std::printf("%s,%s,,%.4f,%.4f,%.4f,%u,\n", where.name.c_str(),
              measure.c_str(), found.median, found.min, found.max, seeds);
  std::fflush(stdout);
}

std::vector<outcome> run_at_high_load(const deployment& where, scenario what,
                                      double swing) {
  what.load = high_load;
  what.swing = swing;
  what.deadline = no_deadline;
  std::vector<outcome> results(seeds);
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    results[seed - 1] = run(where, what, seed);
  }
  return results;
}

void report_latency(const deployment& where, const std::string& suffix,
                    const std::vector<outcome>& ours,
                    const std::vector<outcome>& theirs) {
  report(where, "fcfs_p99_over_p99" + suffix, 3, true, [&](unsigned seed) {
    return overall_p99(theirs[seed - 1]) / overall_p99(ours[seed - 1]);
  });
  report(where, "frequent_class_fcfs_p99_over_p99" + suffix, 3, true,
         [&](unsigned seed) {
           return percentile_99(theirs[seed - 1].latencies[0]) /
                  percentile_99(ours[seed - 1].latencies[0]);
         });
  report(where, "slowest_class_p99_over_fcfs" + suffix, 1.5, false,
         [&](unsigned seed) {
           return percentile_99(ours[seed - 1].latencies[1]) /
                  percentile_99(theirs[seed - 1].latencies[1]);
         });
}

/// The p99 cannot be lower than that of requests that never wait, so this
/// bounds what an order of requests can gain.
void report_least_latency(const deployment& where, const std::string& suffix,
                          const std::vector<outcome>& theirs) {
  scenario idle;
  idle.load = low_load;
  idle.deadline = no_deadline;
  report(where, "fcfs_p99_over_p99_without_waiting" + suffix,
         [&](unsigned seed) {
           return overall_p99(theirs[seed - 1]) /
                  overall_p99(run(where, idle, seed));
         });
}

void report_high_load(const deployment& where) {
  for (double swing : {0.0, load_swing}) {
    std::string load = swing > 0 ? "_shifting" : "_steady";
    auto round_robin = run_at_high_load(where, baseline(false), swing);
    report_least_latency(where, load + "_round_robin", round_robin);
    auto pooled = run_at_high_load(where, baseline(true), swing);
    for (unsigned alpha : {0U, measured_alpha}) {
      scenario ours;
      ours.alpha = alpha;
      auto results = run_at_high_load(where, ours, swing);
      std::string suffix = load + "_alpha" + std::to_string(alpha);
      report_latency(where, suffix + "_round_robin", results, round_robin);
      report_latency(where, suffix + "_pooled", results, pooled);
    }
  }
}

std::vector<std::array<double, 2>> good_work(const deployment& where,
                                             double load) {
  std::vector<std::array<double, 2>> results;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    scenario what;
    what.load = load;
    results.push_back(run(where, what, seed).good_work_ms);
  }
  return results;
}

void report_overload(const deployment& where) {
  auto capacity = good_work(where, 1);
  auto overload = good_work(where, 2);
  report(where, "goodput_2x_over_1x", 0.95, true, [&](unsigned seed) {
    const auto& most = overload[seed - 1];
    const auto& base = capacity[seed - 1];
    return (most[0] + most[1]) / (base[0] + base[1]);
  });
  // The sum hides a class that starves while another gets its slots.
  report(where, "least_served_class_goodput_2x_over_1x", [&](unsigned seed) {
    const auto& most = overload[seed - 1];
    const auto& base = capacity[seed - 1];
    return std::min(most[0] / base[0], most[1] / base[1]);
  });
}

void report_failures(const deployment& where) {
  report(where, "sent_over_admitted_third_failing", 1.1, false,
         [&](unsigned seed) {
           scenario failing;
           // 90% of the capacity of the servers that work.
           failing.load = 0.6;
           failing.failing_servers = where.servers / 3;
           auto result = run(where, failing, seed);
           return static_cast<double>(result.sent) /
                  static_cast<double>(result.admitted);
         });
}

}  // namespace
}  // namespace vanillaladder::bench

/// An argument restricts the run to the deployment of that name.
int main(int count, char** arguments) {
  const std::string only = count > 1 ? arguments[1] : "";
  std::puts("deployment,measure,target,median,min,max,seeds,met");
  for (const auto& where : vanillaladder::bench::deployments) {
    if (!only.empty() && only != where.name) {
      continue;
    }
    vanillaladder::bench::report_overload(where);
    vanillaladder::bench::report_failures(where);
    vanillaladder::bench::report_high_load(where);
  }
}
