#include "dispatch/leader.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "daemon_fixture.h"
#include "dispatch/clock.h"
#include "silent_gateway.h"

namespace vanillaladder::dispatch {
namespace {

// Guards against a takeover that links all workers in one event-loop turn and
// thereby delays the renewal of the lease.
TEST_CASE("a leader links many workers over several event-loop turns") {
  constexpr int workers = 2000;
  daemon_fixture f;
  gateway_calls calls;
  start_gate starts({}, f.report);
  leader_context context{f.loop,
                         f.store,
                         f.jobs,
                         f.config,
                         f.follower,
                         f.report,
                         [] { return true; },
                         starts,
                         [](std::string_view) {}};
  leader lead(std::move(context), {}, std::make_unique<silent_gateway>(calls),
              1);
  for (int n = 0; n < workers; ++n) {
    batch::worker_entry entry;
    entry.info.id = "w" + std::to_string(n);
    entry.info.address = "10.0.0.1";
    entry.info.port = static_cast<std::uint16_t>(n + 1);
    lead.on_worker(entry);
  }
  int max_per_turn = 0;
  int previous = 0;
  // Runs in each event-loop turn, as the renewal of the lease could.
  std::function<void()> count_turn = [&] {
    max_per_turn = std::max(max_per_turn, calls.reports - previous);
    previous = calls.reports;
    f.loop.call_after(std::chrono::milliseconds(0), count_turn);
  };
  count_turn();
  lead.start();
  f.run_until([&] { return calls.reports == workers; });
  REQUIRE(max_per_turn <= workers / 4);
}

// pattern: while the store is slow, callers' appends fill the queue of the jobs
// topic, and the leader's records of job states wait behind them for seconds.
TEST_CASE("tasks start while the records of job states are not stored yet") {
  daemon_fixture f;
  gateway_calls calls;
  calls.answers_reports = true;
  start_gate starts({}, f.report);
  leader_context context{f.loop,
                         f.store,
                         f.jobs,
                         f.config,
                         f.follower,
                         f.report,
                         [] { return true; },
                         starts,
                         [](std::string_view) {}};
  leader lead(std::move(context), {}, std::make_unique<silent_gateway>(calls),
              1);
  batch::worker_entry entry;
  entry.info.id = "w";
  entry.info.address = "10.0.0.1";
  entry.info.port = 8000;
  entry.info.capacity = {32000, 64000, 0};
  entry.service = "svc";
  lead.on_worker(entry);
  lead.start();
  f.run_until([&] { return calls.reports > 0; });
  f.store.stalled_topic = std::string(batch::jobs_topic);
  for (int n = 1; n <= 3; ++n) {
    batch::job_spec spec;
    spec.id = "job" + std::to_string(n);
    spec.queue = "queue";
    spec.policy.service = "svc";
    spec.steps.push_back({.count = 1, .required_resources = {1000, 100, 0}});
    f.jobs.apply("j/" + spec.id, encode(spec));
    lead.on_job(spec.id, batch::job_directory::change::job_added);
    f.run_until([&] { return calls.starts == n; });
  }
}

// Guards against a takeover that holds all stored progress at a time, in which
// the records of an earlier version take more memory than their occurrences.
TEST_CASE("a leader restores each page of the progress as it is read") {
  daemon_fixture f;
  gateway_calls calls;
  batch::job_spec spec;
  spec.id = std::string("job");
  spec.queue = "queue";
  spec.policy.service = "svc";
  spec.steps.push_back({.count = 1, .required_resources = {1000, 100, 0}});
  spec.repeat_count = 1000;
  f.store.topic.push_back({"j/job", encode(spec)});
  for (int n = 0; n < 300; ++n) {
    f.store.topic.push_back({to_string(batch::progress_key{{"job", n, 0}, 0}),
                             batch::encode(std::vector<batch::task_record>{
                                 {0, true, 1, 0, "", {}}})});
  }
  f.store.keys_per_page = 50;
  f.store.unreadable_after = "never";
  start_gate starts({}, f.report);
  leader_context context{f.loop,
                         f.store,
                         f.jobs,
                         f.config,
                         f.follower,
                         f.report,
                         [] { return true; },
                         starts,
                         [](std::string_view) {}};
  f.run_until([&] { return f.jobs.find("job") != nullptr; });
  leader lead(std::move(context), {}, std::make_unique<silent_gateway>(calls),
              1);
  lead.start();
  f.run_until([&] { return lead.active(); });
  auto stored = [&](const std::string& key) {
    auto found =
        std::ranges::find(f.store.topic, key, &batch::topic_record::key);
    return found == f.store.topic.end() ? "" : found->value;
  };
  f.run_until([&] { return !stored("job/done").empty(); });
  CHECK(stored("job/done") == "0-299");
}

// Guards against a leader whose lease is valid, but whose copies of the topics
// are old: the lease rests on appends, which may be answered while reads are
// not.
TEST_CASE("a leader starts nothing while its copies of the topics are old") {
  daemon_fixture f;
  gateway_calls calls;
  calls.answers_reports = true;
  bool is_current = false;
  start_gate starts(
      {{"jobs", std::chrono::seconds(1),
        [&] { return is_current ? boot_now() : model::time_point(); },
        [](const std::function<void()>& done) { done(); }}},
      f.report);
  leader_context context{f.loop,
                         f.store,
                         f.jobs,
                         f.config,
                         f.follower,
                         f.report,
                         [] { return true; },
                         starts,
                         [](std::string_view) {}};
  batch::job_spec spec;
  spec.id = std::string("job");
  spec.queue = "queue";
  spec.policy.service = "svc";
  spec.steps.push_back({.count = 1, .required_resources = {1000, 100, 0}});
  f.jobs.apply("j/" + spec.id, encode(spec));
  leader lead(std::move(context), {}, std::make_unique<silent_gateway>(calls),
              1);
  batch::worker_entry entry;
  entry.info.id = "w";
  entry.info.address = "10.0.0.1";
  entry.info.port = 8000;
  entry.info.capacity = {32000, 64000, 0};
  entry.service = "svc";
  lead.on_worker(entry);
  lead.start();
  f.run_until([&] { return calls.reports > 20; });
  REQUIRE(calls.starts == 0);
  is_current = true;
  f.run_until([&] { return calls.starts == 1; });
}

/// Workers whose starts take the leader as long as on the slowest instances.
struct slow_gateway : silent_gateway {
  using silent_gateway::silent_gateway;

  void start(const model::worker_info& worker, const batch::start_order& order,
             const external::start_permit& permit,
             std::chrono::milliseconds limit, order_callback done) override {
    auto until = boot_now() + std::chrono::milliseconds(1);
    while (boot_now() < until) {
    }
    started.push_back(order.task.step.job);
    silent_gateway::start(worker, order, permit, limit, std::move(done));
  }

  /// Jobs of the starts, in their order.
  std::vector<model::job_id> started;
};

/// A leader with one large worker and a slow connection to it.
struct slow_leader {
  daemon_fixture f;
  gateway_calls calls;
  start_gate starts{{}, f.report};
  slow_gateway* gateway = nullptr;
  std::unique_ptr<leader> lead;

  slow_leader() {
    calls.answers_reports = true;
    leader_context context{f.loop,
                           f.store,
                           f.jobs,
                           f.config,
                           f.follower,
                           f.report,
                           [] { return true; },
                           starts,
                           [](std::string_view) {}};
    auto made = std::make_unique<slow_gateway>(calls);
    gateway = made.get();
    lead = std::make_unique<leader>(std::move(context), leader_options(),
                                    std::move(made), 1);
    batch::worker_entry entry;
    entry.info.id = "w";
    entry.info.address = "10.0.0.1";
    entry.info.port = 8000;
    entry.info.capacity = {10'000'000, 1'000'000, 0};
    entry.service = "svc";
    lead->on_worker(entry);
    lead->start();
    f.run_until([&] { return calls.reports > 0; });
  }

  void add_job(const model::job_id& id, int tasks, int priority = 0) {
    batch::job_spec spec;
    spec.id = id;
    spec.queue = "queue";
    spec.policy.service = "svc";
    spec.policy.priority = priority;
    spec.steps.push_back(
        {.count = tasks, .required_resources = {1000, 100, 0}});
    f.jobs.apply("j/" + spec.id, encode(spec));
    lead->on_job(spec.id, batch::job_directory::change::job_added);
  }

  void cancel_job(const model::job_id& id) {
    f.jobs.apply("c/" + id, "1");
    lead->on_job(id, batch::job_directory::change::job_cancelled);
  }
};

// Guards against cancelled tasks that run on, and serving tasks that are late,
// because stops and paces wait behind the starts of a backlog.
TEST_CASE("a stop is not sent after the starts that wait") {
  slow_leader s;
  s.add_job("a", 1);
  s.f.run_until([&] { return s.calls.starts == 1; });
  constexpr int backlog = 1000;
  s.add_job("b", backlog);
  s.f.run_until([&] { return s.calls.starts > 1; });
  s.cancel_job("a");
  s.f.run_until([&] { return s.calls.stops == 1; });
  CHECK(s.calls.starts < backlog / 4);
}

// Guards against starts that leave seconds after they were decided: urgent
// tasks wait behind them, and their ground may no longer hold on arrival.
TEST_CASE("the start of an urgent task is not sent after a whole backlog") {
  slow_leader s;
  constexpr int backlog = 3000;
  s.add_job("b", backlog, 1);
  s.f.run_until([&] { return s.calls.starts > 0; });
  s.add_job("c", 1);
  s.f.run_until([&] { return s.calls.starts == backlog + 1; });
  const auto& started = s.gateway->started;
  auto urgent = std::ranges::find(started, "c");
  CHECK(urgent - started.begin() < backlog / 3);
}

}  // namespace
}  // namespace vanillaladder::dispatch
