#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "cluster.h"

namespace vanillaladder::bench {
namespace {

using namespace std::chrono_literals;

constexpr unsigned seeds = 5;
constexpr milliseconds warm_up = 15min;
constexpr milliseconds throughput_time = 30min;
constexpr milliseconds domain_out_time = 10min;
constexpr milliseconds after_return = 5min;
constexpr milliseconds failing_time = 15min;
constexpr milliseconds drain_limit = 2h;
constexpr std::size_t max_starts_on_failing = 5;

const deployment deployments[] = {{"labios", 50, 4, 6},
                                  {"vildiraam", 65, 3, 11}};

struct row {
  std::string measure;
  double target = 0;
  bool at_least = false;
  /// Rows without a target explain the others.
  bool has_target = true;
};

using measures = std::map<std::string, double>;

const row rows[] = {
    {"batch_throughput_over_left_by_services", 0.9, true},
    {"work_alone_over_left_by_services", 0, true, false},
    {"larger_of_declared_and_used_over_left_by_services", 0, true, false},
    {"evictions_per_1000_tasks_domain_out_and_back", 5, false},
    {"work_done_while_domain_out_over_capacity_that_stays", 0.9, true},
    {"starts_within_a_minute_on_failing_worker", max_starts_on_failing, false},
    {"over_commitment_cpu_millis", 0, false},
    {"over_commitment_memory_mib", 0, false},
    {"use_over_capacity_cpu_millis", 0, false, false},
    {"use_over_capacity_memory_mib", 0, false, false},
    {"tasks_finished_other_than_once", 0, false},
    {"batch_throughput_over_left_by_services_first_fit", 0, true, false},
    {"work_alone_over_left_by_services_first_fit", 0, true, false},
    {"batch_throughput_over_left_by_services_growing_memory", 0, true, false},
    {"use_over_capacity_memory_mib_growing_memory", 0, false, false},
    {"evictions_overcommitted_growing_memory", 0, false, false},
};

double cores_of(cluster& sim, const model::domain_id& without = {}) {
  double sum = 0;
  for (const auto& worker : sim.workers())
    if (worker.info.domain != without)
      sum += static_cast<double>(worker.info.capacity.cpu_millis) / 1000;
  return sum;
}

double cpu_ms_outside(cluster& sim, const model::domain_id& domain) {
  double sum = 0;
  for (const auto& worker : sim.workers())
    if (worker.info.domain != domain)
      sum += worker.cpu_ms;
  return sum;
}

std::size_t stopped(cluster& sim) {
  std::size_t sum = 0;
  for (const auto& worker : sim.workers())
    sum += worker.stopped;
  return sum;
}

void measure_throughput(cluster& sim, measures& found) {
  sim.run_for(warm_up);
  const double cpu = sim.finished_cpu_ms;
  const double work = sim.finished_work_ms;
  const double size = sim.finished_size_ms;
  sim.run_for(throughput_time);
  const double left =
      cores_of(sim) * static_cast<double>(throughput_time.count());
  found["batch_throughput_over_left_by_services"] =
      (sim.finished_cpu_ms - cpu) / left;
  found["work_alone_over_left_by_services"] =
      (sim.finished_work_ms - work) / left;
  found["larger_of_declared_and_used_over_left_by_services"] =
      (sim.finished_size_ms - size) / left;
}

void measure_domain(cluster& sim, measures& found) {
  const model::domain_id domain = "d1";
  std::size_t in_domain = 0;
  std::size_t tasks = 0;
  for (const auto& worker : sim.workers()) {
    tasks += worker.running_count();
    if (worker.info.domain == domain)
      in_domain += worker.running_count();
  }
  const auto finished = sim.finished;
  const auto stopped_before = stopped(sim);
  const double cpu = cpu_ms_outside(sim, domain);
  sim.set_domain_out(domain, true);
  sim.run_for(domain_out_time);
  found["work_done_while_domain_out_over_capacity_that_stays"] =
      (cpu_ms_outside(sim, domain) - cpu) / cores_of(sim, domain) /
      static_cast<double>(domain_out_time.count());
  sim.set_domain_out(domain, false);
  sim.run_for(after_return);
  const auto beyond = static_cast<double>(stopped(sim) - stopped_before) -
                      static_cast<double>(in_domain);
  tasks += sim.finished - finished;
  found["evictions_per_1000_tasks_domain_out_and_back"] =
      std::max(0.0, beyond) * 1000 / static_cast<double>(tasks);
}

void measure_excess(cluster& sim, measures& found) {
  for (const auto& worker : sim.workers()) {
    const auto take = [&found](const char* name, std::int64_t value) {
      found[name] = std::max(found[name], static_cast<double>(value));
    };
    take("over_commitment_cpu_millis", worker.declared_excess.cpu_millis);
    take("over_commitment_memory_mib", worker.declared_excess.memory_mib);
    take("use_over_capacity_cpu_millis", worker.used_excess.cpu_millis);
    take("use_over_capacity_memory_mib", worker.used_excess.memory_mib);
  }
}

std::size_t most_starts_in_a_minute(const worker& failing) {
  std::size_t most = 0;
  std::deque<time_point> recent;
  for (const auto at : failing.starts) {
    recent.push_back(at);
    while (at - recent.front() >= 1min)
      recent.pop_front();
    most = std::max(most, recent.size());
  }
  return most;
}

void print_counts(const deployment& where, const scenario& what,
                  const cluster& sim) {
  for (const auto& [name, count] : sim.counts())
    std::fprintf(stderr, "%s seed %u%s: %s %lu\n", where.name.c_str(),
                 what.seed, what.one_fails ? " failing" : "", name.c_str(),
                 static_cast<unsigned long>(count));
}

void measure_first_fit(const deployment& where, scenario what,
                       measures& found) {
  what.first_fit = true;
  cluster sim(where, what);
  measures own;
  measure_throughput(sim, own);
  for (const auto* const name : {"batch_throughput_over_left_by_services",
                                 "work_alone_over_left_by_services"})
    found[std::string(name) + "_first_fit"] = own[name];
}

void measure_growing_memory(const deployment& where, scenario what,
                            measures& found) {
  what.growing_memory = true;
  cluster sim(where, what);
  measures own;
  measure_throughput(sim, own);
  measure_excess(sim, own);
  for (const auto* const name : {"batch_throughput_over_left_by_services",
                                 "use_over_capacity_memory_mib"})
    found[std::string(name) + "_growing_memory"] = own[name];
  const auto evicted = sim.counts().find("evictions/overcommitted");
  found["evictions_overcommitted_growing_memory"] =
      evicted == sim.counts().end() ? 0 : static_cast<double>(evicted->second);
}

measures measure(const deployment& where, scenario what) {
  measures found;
  cluster sim(where, what);
  measure_throughput(sim, found);
  measure_domain(sim, found);
  sim.drain(drain_limit);
  measure_excess(sim, found);
  found["tasks_finished_other_than_once"] =
      static_cast<double>(sim.finished_other_than_once());
  print_counts(where, what, sim);
  measure_first_fit(where, what, found);
  measure_growing_memory(where, what, found);
  what.one_fails = true;
  cluster failing(where, what);
  failing.run_for(failing_time);
  found["starts_within_a_minute_on_failing_worker"] =
      static_cast<double>(most_starts_in_a_minute(failing.workers().front()));
  measure_excess(failing, found);
  return found;
}

void report(const deployment& where, bool error_per_class) {
  std::map<std::string, std::vector<double>> values;
  for (unsigned seed = 1; seed <= seeds; ++seed)
    for (const auto& [name, value] :
         measure(where, {seed, error_per_class, false}))
      values[name].push_back(value);
  for (const auto& [measure, target, at_least, has_target] : rows) {
    auto& all = values[measure];
    std::ranges::sort(all);
    const bool met = at_least ? all.front() >= target : all.back() <= target;
    char bound[32] = "none";
    if (has_target)
      std::snprintf(bound, sizeof bound, "%s%.2f",
                    at_least ? ">=" : "<=", target);
    std::printf("%s,%s%s,%s,%.4f,%.4f,%.4f,%u,%s\n", where.name.c_str(),
                measure.c_str(), error_per_class ? "_error_per_class" : "",
                bound, all[seeds / 2], all.front(), all.back(), seeds,
                !has_target ? "-"
                : met       ? "yes"
                            : "no");
  }
  std::fflush(stdout);
}

}  // namespace
}  // namespace vanillaladder::bench

/// An argument restricts the run to the deployment of that name. Counters of
/// the machines go to standard error.
int main(int count, char** arguments) {
  const std::string only = count > 1 ? arguments[1] : "";
  std::puts("deployment,measure,target,median,min,max,seeds,met");
  for (const auto& where : vanillaladder::bench::deployments)
    for (const bool error_per_class : {false, true})
      if (only.empty() || only == where.name)
        vanillaladder::bench::report(where, error_per_class);
}
