#include "steps.h"

#include <csignal>
#include <set>

#include "harness/eventually.h"

namespace vanillaladder::walk {
namespace {

using harness::cluster;
using harness::eventually;
using harness::json;
using harness::outcome;

constexpr std::int64_t short_run_ms = 300;
// Longer than the 10 s lease, so that the tasks of a killed daemon must be
// taken over and not only be waited for.
constexpr std::int64_t long_run_ms = 15000;
constexpr int long_job_tasks = 6;

std::string name_of(cluster& in, std::size_t index) {
  return in.at(index).id;
}

void require(bool holds, const std::string& peer, const std::string& message) {
  if (!holds) {
    throw step_failure{peer, message};
  }
}

std::string describe(const outcome& answer) {
  return "answer " + std::to_string(answer.status) + " " + answer.body;
}

/// Submits a job; a refusal as not run is repeated with the same key, since
/// shards find their first owners only after the daemons have become ready.
std::string submit(cluster& in, std::size_t daemon, const std::string& key,
                   int tasks, std::int64_t run_ms) {
  outcome answer;
  bool taken = eventually([&] {
    answer = in.submit(daemon, key, tasks, run_ms);
    return answer.status != 503;
  });
  require(taken && (answer.status == 201 || answer.status == 200),
          name_of(in, daemon), "job refused: " + describe(answer));
  return answer.parsed().value("id", "");
}

void wait_for_job(cluster& in, std::size_t daemon, const std::string& id) {
  json last;
  bool finished = eventually([&] {
    last = in.job(daemon, id);
    return last.is_object() && last.value("state", "") == "finished";
  });
  require(finished, name_of(in, daemon),
          "job " + id + " is not finished: " + last.dump());
}

/// Checks by the workers' own records that each task of a job finished once.
std::string check_finished_once(cluster& in, const std::string& id, int tasks) {
  std::map<std::string, int> ends;
  int starts = 0;
  for (const auto& event : in.workers().events()) {
    auto task = event.value("task", "");
    if (!task.starts_with(id + ":")) {
      continue;
    }
    starts += event.at("event") == "start" ? 1 : 0;
    if (event.at("event") == "end" && event.value("state", "") == "finished") {
      ++ends[task];
    }
  }
  for (const auto& [task, count] : ends) {
    require(count == 1, "workers",
            task + " finished " + std::to_string(count) + " times");
  }
  require(ends.size() == static_cast<std::size_t>(tasks), "workers",
          id + ": " + std::to_string(ends.size()) + " of " +
              std::to_string(tasks) + " tasks have finished");
  require(in.workers().state().value("max_runs_of_one_task", 0) <= 1, "workers",
          "a task ran in two places at once");
  return std::to_string(tasks) + " tasks finished once each in " +
         std::to_string(starts) + " starts";
}

/// Publishes a patch and waits until every daemon shows the value in force.
std::string apply(cluster& in, std::size_t daemon, const std::string& id,
                  const std::string& key, const std::string& value) {
  outcome answer;
  bool decided = eventually([&] {
    answer = in.patch(daemon, id, {{key, value}});
    return answer.status != 503;
  });
  require(decided && answer.status == 200, name_of(in, daemon),
          "patch refused: " + describe(answer));
  auto offset = answer.parsed().value("offset", 0);
  for (std::size_t n = 0; n < in.daemon_count(); ++n) {
    bool in_force = eventually([&] {
      auto config =
          in.http().get(in.at(n).operator_port, "/v1/config").parsed();
      return config.is_object() && config.value("offset", -1) >= offset &&
             config["keys"].value(key, "") == value;
    });
    require(in_force, name_of(in, n), key + " is not in force");
  }
  return key + " = " + value + " accepted at offset " + std::to_string(offset) +
         ", in force on " + std::to_string(in.daemon_count()) + " daemons";
}

std::string wait_ready(cluster& in) {
  for (std::size_t n = 0; n < in.daemon_count(); ++n) {
    require(in.wait_until_ready({n}), name_of(in, n),
            "is not ready: " + in.at(n).process->errors());
  }
  return std::to_string(in.daemon_count()) + " daemons ready";
}

/// Makes version 2; the first member makes an empty version 1.
std::string create_version(cluster& in) {
  outcome answer;
  bool decided = eventually([&] {
    answer = in.http().post(in.at(0).operator_port, "/v1/config/versions",
                            {{"version", 2},
                             {"base_version", 1},
                             {"base_revision", 0},
                             {"author", "walk"},
                             {"set", {{"class.quote.deadline_ms", "2000"}}},
                             {"remove", json::array()}});
    return answer.status != 503;
  });
  require(decided && answer.status == 200, name_of(in, 0), describe(answer));
  return "version 2 accepted";
}

std::string send_requests(cluster& in) {
  constexpr int each = 10;
  for (std::size_t daemon : {0U, 1U}) {
    for (int n = 0; n < each; ++n) {
      auto body = name_of(in, daemon) + " request " + std::to_string(n);
      auto answer = in.request(daemon, body, 5).get();
      auto echoed = answer.parsed();
      require(answer.status == 200 && echoed.is_object() &&
                  echoed.value("body", "") == body,
              name_of(in, daemon), describe(answer));
    }
  }
  return std::to_string(each) + " requests answered by each of 2 daemons";
}

std::string run_job(cluster& in) {
  auto id = submit(in, 1, "weekly-report", 4, short_run_ms);
  wait_for_job(in, 2, id);
  return id + ": " + check_finished_once(in, id, 4);
}

std::string publish_patch(cluster& in) {
  return apply(in, 2, "walk-deadline", "class.quote.deadline_ms", "1500");
}

/// @return starts on workers of a domain so far.
std::size_t starts_in(cluster& in, const std::string& domain) {
  std::set<std::string> members;
  for (std::size_t n = 0; n < 3; ++n) {
    if (in.domain_of(n) == domain) {
      members.insert(cluster::worker_id(n));
    }
  }
  std::size_t count = 0;
  for (const auto& event : in.workers().events("start")) {
    count += members.count(event.value("worker", ""));
  }
  return count;
}

std::string take_domain_out(cluster& in) {
  apply(in, 0, "walk-out", "domain.domain-1.state", "out");
  auto before = starts_in(in, "domain-1");
  auto id = submit(in, 0, "while-out", 6, short_run_ms);
  wait_for_job(in, 1, id);
  require(starts_in(in, "domain-1") == before, "workers",
          "a task started in domain-1 while it was out");
  return "domain-1 out: " + check_finished_once(in, id, 6) +
         ", none in domain-1";
}

/// Submits jobs of different shards: a single one may fit on a worker of the
/// other domain.
std::string bring_domain_back(cluster& in) {
  constexpr int most_jobs = 20;
  apply(in, 1, "walk-back", "domain.domain-1.state", "in");
  auto before = starts_in(in, "domain-1");
  int jobs = 0;
  while (starts_in(in, "domain-1") == before) {
    require(jobs < most_jobs, "workers",
            "none of " + std::to_string(jobs) + " jobs started in domain-1");
    ++jobs;
    auto id =
        submit(in, 2, "when-back-" + std::to_string(jobs), 4, short_run_ms);
    wait_for_job(in, 0, id);
    check_finished_once(in, id, 4);
  }
  return "domain-1 back: it runs tasks of job " + std::to_string(jobs);
}

/// @return the daemon whose lease a running task of a job is under.
std::size_t owner_of(cluster& in, const std::string& job) {
  for (const auto& event : in.workers().events("start")) {
    for (std::size_t n = 0; n < in.daemon_count(); ++n) {
      if (event.value("task", "").starts_with(job) &&
          event.value("holder", "").find(name_of(in, n)) != std::string::npos) {
        return n;
      }
    }
  }
  throw step_failure{"workers", "no daemon has started " + job};
}

std::string kill_owner(cluster& in) {
  auto id = submit(in, 0, "survives", long_job_tasks, long_run_ms);
  json last;
  bool running = eventually([&] {
    last = in.job(0, id);
    return last.is_object() && last.contains("tasks") &&
           last["tasks"].value("running", 0) == long_job_tasks;
  });
  require(running, name_of(in, 0), "job is not running: " + last.dump());
  auto victim = owner_of(in, id);
  in.at(victim).process->send_signal(SIGKILL);
  in.at(victim).process->wait_for_exit();
  wait_for_job(in, (victim + 1) % in.daemon_count(), id);
  return "killed " + name_of(in, victim) + " during " + id + ": " +
         check_finished_once(in, id, long_job_tasks);
}

std::string stop_rest(cluster& in) {
  std::string stopped;
  for (std::size_t n = 0; n < in.daemon_count(); ++n) {
    auto& process = *in.at(n).process;
    if (!process.running()) {
      continue;
    }
    process.send_signal(SIGTERM);
    auto code = process.wait_for_exit();
    require(code == 0, name_of(in, n),
            code ? "exit code " + std::to_string(*code)
                 : "did not end after SIGTERM");
    stopped += (stopped.empty() ? "" : ", ") + name_of(in, n);
  }
  require(in.faults().empty(), "daemons", in.faults());
  return stopped + " exited with 0";
}

}  // namespace

std::vector<step> steps() {
  return {
      {"daemons ready", wait_ready},
      {"configuration version", create_version},
      {"interactive requests", send_requests},
      {"batch job", run_job},
      {"patch in force everywhere", publish_patch},
      {"failure domain out", take_domain_out},
      {"failure domain back", bring_domain_back},
      {"daemon killed while its job runs", kill_owner},
      {"graceful stop", stop_rest},
  };
}

}  // namespace vanillaladder::walk
