#include "scene.h"

#include <algorithm>
#include <cstdio>
#include <thread>

namespace vanillaladder::schedule {

scene::scene(harness::platform_options options) : cluster(options) {
  all_tasks = static_cast<int>(options.workers) *
              static_cast<int>(options.worker_cpu_millis) / 1000;
  REQUIRE(cluster.wait_until_ready());
  complete_one();
}

std::string scene::next_id() {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016x",
                static_cast<unsigned>(++last_id_));
  return text.data();
}

std::string scene::submit(std::size_t daemon, const std::vector<step>& steps,
                          const task_plan& plan) {
  auto id = next_id();
  auto body = submission(steps, plan);
  harness::outcome last;
  bool accepted = eventually([&] {
    last = cluster.submit(daemon, id, body);
    return last.status == 200;
  });
  INFO(last.status << " " << last.body);
  REQUIRE(accepted);
  return id;
}

void scene::cancel(std::size_t daemon, const std::string& job) {
  harness::outcome last;
  bool confirmed = eventually([&] {
    last = cluster.cancel(daemon, job);
    return last.status == 200;
  });
  INFO(last.status << " " << last.body);
  REQUIRE(confirmed);
}

bool scene::reaches(std::size_t daemon, const std::string& job,
                    const std::string& state) {
  std::string last;
  bool reached = eventually([&] {
    last = cluster.state(daemon, job);
    return last == state;
  });
  if (!reached) {
    WARN("job " << job << " did not become " << state << " but " << last);
  }
  return reached;
}

bool scene::runs(const std::string& job, std::size_t tasks) {
  return eventually([&] { return cluster.running(job) == tasks; });
}

void scene::pass(std::chrono::milliseconds time) {
  // What is checked afterwards holds from this time on; a longer time changes
  // no verdict.
  std::this_thread::sleep_for(time);
}

std::string scene::fill_all_room(std::size_t daemon) {
  auto job = submit(daemon, all_tasks, lasting);
  REQUIRE(runs(job, static_cast<std::size_t>(all_tasks)));
  return job;
}

std::set<std::string> scene::places(const std::string& job, const char* field) {
  std::set<std::string> found;
  for (const auto& each : cluster.starts_of(job)) {
    found.insert(each.at(field).get<std::string>());
  }
  return found;
}

void scene::complete_one() {
  std::size_t daemon = 0;
  while (!cluster.process(daemon).running()) {
    ++daemon;
  }
  auto job = submit(daemon, 1, {50, 0});
  REQUIRE(reaches(daemon, job, "completed"));
}

void scene::check_promises() {
  auto workers = cluster.workers();
  INFO(workers.at("max_runs_task"));
  CHECK(workers.at("max_runs_of_one_task") <= 1);
  CHECK(workers.at("run_again").empty());
  for (std::size_t n = 0; n < cluster.daemon_count(); ++n) {
    INFO(n << " " << cluster.process(n).errors());
    CHECK(cluster.process(n).running());
  }
  CHECK(cluster.faults().empty());
}

}  // namespace vanillaladder::schedule
