#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "harness/cluster.h"
#include "harness/eventually.h"
#include "process_usage.h"

/// Measures what a daemon costs, with real processes on loopback. Prints rows
/// `measure,size,value,unit` and writes them to the file named as argument.
namespace vanillaladder::bench {
namespace {

using clock = std::chrono::steady_clock;
using harness::cluster;
using harness::cluster_options;
using harness::json;

class table {
 public:
  explicit table(const char* path) : file_(path) {
    add_line("measure,size,value,unit");
  }

  void add(const std::string& measure, std::int64_t size, double value,
           const std::string& unit) {
    char text[64];
    std::snprintf(text, sizeof text, "%.3f", value);
    add_line(measure + "," + std::to_string(size) + "," + text + "," + unit);
  }

 private:
  void add_line(const std::string& line) {
    std::cout << line << std::endl;
    file_ << line << "\n" << std::flush;
  }

  std::ofstream file_;
};

double seconds_since(clock::time_point start) {
  return std::chrono::duration<double>(clock::now() - start).count();
}

double quantile(std::vector<double> values, double q) {
  std::ranges::sort(values);
  auto last = static_cast<double>(values.size() - 1);
  return values.at(static_cast<std::size_t>(q * last));
}

/// Cost of control while nothing happens, per daemon.
void measure_idle(table& out, std::size_t workers) {
  cluster_options options;
  options.daemons = 8;
  options.backends = 8;
  options.workers = workers;
  options.domains = 4;
  cluster running(options);
  running.wait_until_ready();
  // Shards are claimed and workers listed before the measurement.
  std::this_thread::sleep_for(std::chrono::seconds(6));
  std::vector<double> before;
  for (std::size_t n = 0; n < options.daemons; ++n) {
    before.push_back(read_usage(running.at(n).process->pid()).cpu_seconds);
  }
  auto bytes = loopback_bytes();
  auto start = clock::now();
  // The interval that is measured.
  std::this_thread::sleep_for(std::chrono::seconds(15));
  auto elapsed = seconds_since(start);
  auto sent = static_cast<double>(loopback_bytes() - bytes);
  double cpu = 0;
  double resident = 0;
  for (std::size_t n = 0; n < options.daemons; ++n) {
    auto usage = read_usage(running.at(n).process->pid());
    cpu = std::max(cpu, (usage.cpu_seconds - before[n]) / elapsed * 100);
    resident = std::max(resident, usage.resident_mib);
  }
  auto size = static_cast<std::int64_t>(workers);
  out.add("idle_cpu_largest_daemon_by_workers", size, cpu, "percent_of_core");
  out.add("idle_rss_largest_daemon_by_workers", size, resident, "MiB");
  out.add("idle_bytes_per_daemon_by_workers", size,
          sent / elapsed / static_cast<double>(options.daemons), "B/s");
}

/// Sends requests one after the other.
std::vector<double> latencies(cluster& running, std::uint16_t port,
                              std::size_t count) {
  std::vector<double> found;
  http::request message{"GET", "/quote/x?ms=0", {}, ""};
  for (std::size_t n = 0; n < count; ++n) {
    auto start = clock::now();
    if (running.http().call(port, message).status == 200) {
      found.push_back(seconds_since(start) * 1000);
    }
  }
  return found;
}

void measure_latency(table& out, cluster& running) {
  constexpr std::size_t count = 2000;
  auto direct = latencies(running, running.backends().ports().at(0), count);
  auto proxied = latencies(running, running.at(0).caller_port, count);
  for (double q : {0.5, 0.99}) {
    auto size = static_cast<std::int64_t>(q * 100);
    out.add("latency_direct_quantile", size, quantile(direct, q), "ms");
    out.add("latency_proxied_quantile", size, quantile(proxied, q), "ms");
  }
}

/// Keeps `width` requests open until `count` have been answered.
void measure_throughput(table& out, cluster& running, std::size_t width) {
  constexpr std::size_t count = 4000;
  auto& target = running.at(0);
  auto before = read_usage(target.process->pid()).cpu_seconds;
  auto start = clock::now();
  std::deque<std::future<harness::outcome>> open;
  std::size_t started = 0;
  std::size_t answered = 0;
  while (started < count || !open.empty()) {
    while (started < count && open.size() < width) {
      open.push_back(running.http().start(target.caller_port,
                                          {"GET", "/quote/x?ms=0", {}, ""}));
      ++started;
    }
    answered += open.front().get().status == 200 ? 1 : 0;
    open.pop_front();
  }
  auto cpu = read_usage(target.process->pid()).cpu_seconds - before;
  auto size = static_cast<std::int64_t>(width);
  out.add("answered_by_width", size, static_cast<double>(answered), "requests");
  out.add("throughput_by_width", size,
          static_cast<double>(answered) / seconds_since(start), "requests/s");
  out.add("requests_per_cpu_second_by_width", size,
          static_cast<double>(answered) / std::max(cpu, 0.01),
          "requests/cpu_s");
}

/// Resident memory with requests that wait for a slot.
void measure_queue(table& out, std::size_t queued) {
  cluster_options options;
  options.daemons = 1;
  options.backends = 1;
  options.workers = 1;
  options.domains = 1;
  cluster running(options);
  running.wait_until_ready();
  running.patch(0, "long-deadline", {{"class.quote.deadline_ms", 30000}});
  std::vector<std::future<harness::outcome>> open;
  for (std::size_t n = 0; n < queued; ++n) {
    open.push_back(running.http().start(
        running.at(0).caller_port,
        {"GET", "/quote/x?ms=20000", {{"x-class", "quote"}}, ""}));
  }
  // All requests have arrived and wait by then.
  std::this_thread::sleep_for(std::chrono::seconds(8));
  auto usage = read_usage(running.at(0).process->pid());
  out.add("rss_by_queued_requests", static_cast<std::int64_t>(queued),
          usage.resident_mib, "MiB");
}

/// Time until an empty daemon is ready, with jobs in the log.
void measure_recovery(table& out, std::size_t jobs) {
  cluster running{cluster_options{}};
  running.wait_until_ready();
  std::vector<std::future<harness::outcome>> open;
  harness::eventually(
      [&] { return running.submit(0, "first", 1, 10).status == 201; });
  for (std::size_t n = 0; n < jobs; ++n) {
    running.submit(n % 3, "job-" + std::to_string(n), 10, 600000);
  }
  running.at(0).process->send_signal(SIGKILL);
  running.at(0).process->wait_for_exit();
  auto start = clock::now();
  running.restart(0);
  running.wait_until_ready({0});
  out.add("recovery_time_by_jobs_of_10_tasks", static_cast<std::int64_t>(jobs),
          seconds_since(start), "s");
  // The restarted daemon has taken over its shards by then.
  std::this_thread::sleep_for(std::chrono::seconds(8));
  double resident = 0;
  for (std::size_t n = 0; n < 3; ++n) {
    resident = std::max(resident,
                        read_usage(running.at(n).process->pid()).resident_mib);
  }
  out.add("rss_by_jobs_of_10_tasks", static_cast<std::int64_t>(jobs), resident,
          "MiB");
}

std::uint64_t revision_of(cluster& running, std::size_t index) {
  auto config =
      running.http().get(running.at(index).operator_port, "/v1/config");
  return config.parsed().value("revision", std::uint64_t{0});
}

/// Time from publishing a patch until the last daemon has it in force.
void measure_patches(table& out) {
  cluster_options options;
  options.daemons = 8;
  cluster running(options);
  running.wait_until_ready();
  std::vector<double> times;
  for (std::uint64_t n = 1; n <= 20; ++n) {
    auto start = clock::now();
    auto answer = running.patch(n % 8, "patch-" + std::to_string(n),
                                {{"class.quote.deadline_ms", 1000 + n}});
    if (answer.status != 200) {
      continue;
    }
    for (std::size_t index = 0; index < 8; ++index) {
      harness::eventually([&] { return revision_of(running, index) >= n; });
    }
    times.push_back(seconds_since(start) * 1000);
  }
  out.add("patches_accepted", 8, static_cast<double>(times.size()), "patches");
  if (!times.empty()) {
    out.add("patch_in_force_on_daemons_p50", 8, quantile(times, 0.5), "ms");
    out.add("patch_in_force_on_daemons_max", 8, quantile(times, 1), "ms");
  }
}

void run(const char* path) {
  table out(path);
  for (std::size_t workers : {16, 48, 96}) {
    measure_idle(out, workers);
  }
  {
    cluster_options options;
    options.backends = 4;
    cluster running(options);
    running.wait_until_ready();
    measure_latency(out, running);
    for (std::size_t width : {1, 8, 16}) {
      measure_throughput(out, running, width);
    }
  }
  for (std::size_t queued : {1000, 4000, 10000}) {
    measure_queue(out, queued);
  }
  for (std::size_t jobs : {50, 200, 800}) {
    measure_recovery(out, jobs);
  }
  measure_patches(out);
}

}  // namespace
}  // namespace vanillaladder::bench

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: daemon_bench CSV\n");
    return 2;
  }
  try {
    vanillaladder::bench::run(argv[1]);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "daemon_bench: %s\n", error.what());
    return 1;
  } catch (...) {
    std::fputs("daemon_bench: unknown error\n", stderr);
    return 1;
  }
  return 0;
}
