#include "scene.h"

#include <algorithm>

namespace vanillaladder::process {

scene::scene(cluster_options options) : cluster(std::move(options)) {
  REQUIRE(cluster.wait_until_ready());
}

harness::outcome scene::request(std::size_t daemon, const std::string& body,
                                std::int64_t ms,
                                const std::vector<http::header>& headers) {
  harness::outcome last;
  eventually([&] {
    last = cluster.request(daemon, body, ms, headers).get();
    return last.status != 503 || last.header("x-outcome") != "not-run";
  });
  return last;
}

std::string scene::submit(std::size_t daemon, const std::string& key, int tasks,
                          std::int64_t run_ms, const json& more) {
  harness::outcome last;
  bool accepted = eventually([&] {
    last = cluster.submit(daemon, key, tasks, run_ms, more);
    return last.status == 201 || last.status == 200;
  });
  INFO(last.status << " " << last.body);
  REQUIRE(accepted);
  return last.parsed().at("id").get<std::string>();
}

std::vector<std::string> scene::submit_many(const std::string& prefix, int jobs,
                                            std::int64_t run_ms) {
  std::vector<std::string> ids(static_cast<std::size_t>(jobs));
  for (std::size_t n = 0; n < ids.size(); ++n) {
    ids[n] = submit(n % cluster.daemon_count(), prefix + std::to_string(n), 1,
                    run_ms);
  }
  return ids;
}

bool scene::all_finish(std::size_t daemon,
                       const std::vector<std::string>& jobs) {
  return std::ranges::all_of(jobs, [&](const std::string& job) {
    return reaches(daemon, job, "finished");
  });
}

bool scene::reaches(std::size_t daemon, const std::string& job,
                    const std::string& state) {
  json last;
  bool reached = eventually([&] {
    last = cluster.job(daemon, job);
    return last.is_object() && last.value("state", "") == state;
  });
  if (!reached) {
    WARN("job " << job << " did not become " << state << ": " << last.dump());
  }
  return reached;
}

std::int64_t scene::running_tasks() {
  std::int64_t sum = 0;
  auto state = cluster.workers().state();
  for (const auto& worker : state.at("workers")) {
    sum += worker.at("running").get<std::int64_t>();
  }
  return sum;
}

std::size_t scene::owner_of(const json& start) {
  auto holder = start.at("holder").get<std::string>();
  for (std::size_t n = 0; n < cluster.daemon_count(); ++n) {
    if (holder.find(cluster.at(n).id) != std::string::npos) {
      return n;
    }
  }
  FAIL("no daemon holds the lease of " << start.dump());
  return 0;
}

std::map<std::string, int> scene::ends(const std::string& state) {
  std::map<std::string, int> counts;
  for (const auto& event : cluster.workers().events("end")) {
    if (event.at("state") == state) {
      ++counts[event.at("task").get<std::string>()];
    }
  }
  return counts;
}

bool scene::in_force(const std::string& key, const std::string& value) {
  for (std::size_t n = 0; n < cluster.daemon_count(); ++n) {
    if (!cluster.at(n).process->running()) {
      continue;
    }
    auto config =
        cluster.http().get(cluster.at(n).operator_port, "/v1/config").parsed();
    if (!config.is_object() || !config.contains("keys") ||
        config["keys"].value(key, "") != value) {
      return false;
    }
  }
  return true;
}

void scene::apply(std::size_t daemon, const std::string& id, const json& set) {
  harness::outcome last;
  bool accepted = eventually([&] {
    last = cluster.patch(daemon, id, set);
    if (last.status == 0) {
      WARN("no answer to a patch: " << last.body);
    }
    return last.status == 200 && last.parsed().contains("result");
  });
  INFO(last.status << " " << last.body);
  REQUIRE(accepted);
  for (const auto& item : set.items()) {
    REQUIRE(eventually([&] { return in_force(item.key(), item.value()); }));
  }
}

void scene::wait_for_key_owners() {
  int probe = 0;
  auto answered = [&](std::size_t daemon) {
    // Sixteen shards: most of them own one of these keys.
    for (int n = 0; n < 40; ++n) {
      auto key = "probe-" + std::to_string(++probe);
      auto answer =
          cluster.request(daemon, "", 1, {{"idempotency-key", key}}).get();
      if (answer.status != 200) {
        return false;
      }
    }
    return true;
  };
  for (std::size_t n = 0; n < cluster.daemon_count(); ++n) {
    REQUIRE(eventually([&] { return answered(n); }));
  }
}

void scene::check_promises() {
  auto workers = cluster.workers().state();
  INFO(workers.at("max_runs_task"));
  CHECK(workers.at("max_runs_of_one_task") <= 1);
  for (const auto& worker : workers.at("workers")) {
    INFO(worker.dump());
    CHECK(worker.at("over_capacity") == 0);
  }
  auto backends = cluster.backends().state();
  for (const auto& backend : backends.at("backends")) {
    INFO(backend.dump());
    CHECK(backend.at("max_slots") <= 8);
    CHECK(backend.at("max_connections") <= 64);
    CHECK(backend.at("max_runs_of_one_key") <= 1);
  }
  CHECK(cluster.faults().empty());
}

void scene::check_finished_once(std::size_t tasks) {
  auto finished = ends("finished");
  CHECK(finished.size() == tasks);
  for (const auto& [task, count] : finished) {
    INFO(task);
    CHECK(count == 1);
  }
}

}  // namespace vanillaladder::process
