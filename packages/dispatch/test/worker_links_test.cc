#include "dispatch/worker_links.h"

#include <catch2/catch.hpp>

#include "daemon_fixture.h"
#include "dispatch/clock.h"
#include "dispatch/fencing_token.h"
#include "silent_gateway.h"

namespace vanillaladder::dispatch {
namespace {

const link_permissions always{[] { return true; }, [] { return true; }};

// Guards against runs of cancelled jobs that are never stopped: a new leader
// orders the stops before it has linked all workers.
TEST_CASE("a stop order waits until its worker is linked") {
  daemon_fixture f;
  gateway_calls calls;
  silent_gateway gateway(calls);
  batch::scheduler scheduler({}, boot_now(), [](const std::string&) {});
  worker_links links(f.loop, gateway, scheduler, 1, {}, always, {[] {}, [] {}},
                     f.report);
  batch::worker_entry entry;
  entry.info.id = "w";
  entry.info.address = "10.0.0.1";
  entry.info.port = 8000;
  scheduler.update_worker(entry, boot_now());
  links.send(batch::stop_order{"w", {{"job", 0, 0}, 0}, 1});
  REQUIRE(calls.stops == 0);
  links.update(entry);
  f.run_until([&] { return calls.stops > 0; });
  REQUIRE(calls.stops == 1);
}

// Guards against an order that is written long after it was decided, when the
// lease of this leader is over.
TEST_CASE("an order asks for permission again when it is written") {
  daemon_fixture f;
  gateway_calls calls;
  silent_gateway gateway(calls);
  batch::scheduler scheduler({}, boot_now(), [](const std::string&) {});
  bool leads = true;
  worker_links links(f.loop, gateway, scheduler, 7, {},
                     {[&] { return leads; }, [] { return true; }},
                     {[] {}, [] {}}, f.report);
  batch::worker_entry entry;
  entry.info.id = "w";
  entry.info.address = "10.0.0.1";
  entry.info.port = 8000;
  scheduler.update_worker(entry, boot_now());
  links.update(entry);
  links.send(batch::stop_order{"w", {{"job", 0, 0}, 0}, 1});
  REQUIRE(calls.stops == 1);
  REQUIRE(leader_of(calls.stop_permit.token) == 7);
  REQUIRE(calls.stop_permit.may_send());
  leads = false;
  REQUIRE_FALSE(calls.stop_permit.may_send());
}

/// A worker that answers each report with the same ended run.
struct ending_gateway : silent_gateway {
  using silent_gateway::silent_gateway;

  void report(const model::worker_info&, const external::report_request&,
              std::chrono::milliseconds, report_callback done) override {
    ++calls->reports;
    batch::worker_report answer;
    answer.incarnation = 1;
    answer.clock = std::chrono::milliseconds(1);
    answer.ended.push_back(
        {1, {{"job", 0, 0}, 0}, 1, batch::end_reason::done, ""});
    done(answer);
  }
};

// pattern: while ends wait to be stored, each worker answers at once, and the
// leader's processor is spent on reports that tell nothing new.
TEST_CASE("no report is requested while reported ends are not stored") {
  using std::chrono_literals::operator""ms;
  daemon_fixture f;
  gateway_calls calls;
  ending_gateway gateway(calls);
  batch::scheduler scheduler({}, boot_now(), [](const std::string&) {});
  link_options options;
  options.report_pause = 1ms;
  options.unstored_ends_pause = std::chrono::minutes(1);
  worker_links links(f.loop, gateway, scheduler, 7, options, always,
                     {[] {}, [] {}}, f.report);
  batch::worker_entry entry;
  entry.info.id = "w";
  entry.info.address = "10.0.0.1";
  entry.info.port = 8000;
  scheduler.update_worker(entry, boot_now());
  links.update(entry);
  auto wait = [&] {
    bool elapsed = false;
    f.loop.call_after(50ms, [&] { elapsed = true; });
    f.run_until([&] { return elapsed; });
  };
  wait();
  REQUIRE(calls.reports == 1);
  links.on_ends_stored();
  REQUIRE(calls.reports == 1);
  scheduler.plan(boot_now(), 0);
  scheduler.on_progress_committed();
  links.on_ends_stored();
  REQUIRE(calls.reports == 2);
  wait();
  REQUIRE(calls.reports > 2);
}

TEST_CASE("a report is requested in the end if storing takes long") {
  using std::chrono_literals::operator""ms;
  daemon_fixture f;
  gateway_calls calls;
  ending_gateway gateway(calls);
  batch::scheduler scheduler({}, boot_now(), [](const std::string&) {});
  link_options options;
  options.unstored_ends_pause = 5ms;
  worker_links links(f.loop, gateway, scheduler, 7, options, always,
                     {[] {}, [] {}}, f.report);
  batch::worker_entry entry;
  entry.info.id = "w";
  entry.info.address = "10.0.0.1";
  entry.info.port = 8000;
  scheduler.update_worker(entry, boot_now());
  links.update(entry);
  f.run_until([&] { return calls.reports == 3; });
}

// Guards against leases that outlast what the leader counts on: a worker that
// was not listed for a while may have restarted, and takes a deadline by its
// earlier clock for the longest lease. Its ends are numbered anew too.
TEST_CASE("a worker that is listed again gets no order by its earlier clock") {
  using std::chrono_literals::operator""ms;
  daemon_fixture f;
  gateway_calls calls;
  calls.answers_reports = true;
  silent_gateway gateway(calls);
  batch::scheduler scheduler({}, boot_now(), [](const std::string&) {});
  link_options options;
  options.report_pause = 1ms;
  worker_links links(f.loop, gateway, scheduler, 7, options, always,
                     {[] {}, [] {}}, f.report);
  batch::worker_entry entry;
  entry.info.id = "w";
  entry.info.address = "10.0.0.1";
  entry.info.port = 8000;
  entry.incarnation = 1;
  scheduler.update_worker(entry, boot_now());
  links.update(entry);
  f.run_until([&] { return calls.reports >= 3; });
  REQUIRE(calls.report_request.deadline.count() > 0);
  scheduler.remove_worker("w", boot_now());
  auto reports = calls.reports;
  bool elapsed = false;
  f.loop.call_after(50ms, [&] { elapsed = true; });
  f.run_until([&] { return elapsed; });
  REQUIRE(calls.reports == reports);
  calls.answers_reports = false;
  entry.incarnation = 2;
  scheduler.update_worker(entry, boot_now());
  links.update(entry);
  REQUIRE(calls.reports == reports + 1);
  REQUIRE(calls.report_request.deadline.count() == 0);
  REQUIRE(calls.report_request.stored_end == 0);
}

/// Links to one worker, with a start that was planned for it.
struct start_fixture : daemon_fixture {
  gateway_calls calls;
  silent_gateway gateway{calls};
  batch::scheduler scheduler{{}, boot_now(), [](const std::string&) {}};
  bool may_start = true;
  link_options options{.retry_pause = std::chrono::milliseconds(1)};
  worker_links links{
      loop,           gateway,
      scheduler,      7,
      options,        {[] { return true; }, [this] { return may_start; }},
      {[] {}, [] {}}, report};
  batch::commit planned;

  start_fixture() {
    calls.answers_reports = true;
    batch::worker_entry entry;
    entry.info.id = "w";
    entry.info.address = "10.0.0.1";
    entry.info.port = 8000;
    entry.info.domain = "d";
    entry.info.capacity = {32000, 64000, 0};
    entry.service = "svc";
    scheduler.update_worker(entry, boot_now());
    links.update(entry);
    auto job = std::make_shared<batch::job_spec>();
    job->id = "job";
    job->queue = "queue";
    job->policy.service = "svc";
    job->steps.push_back({.count = 1, .required_resources = {1000, 100, 0}});
    scheduler.add_job(job, boot_now(), wall_now());
    planned = scheduler.plan(boot_now(), wall_now());
    REQUIRE(planned.orders.size() == 1);
    scheduler.on_progress_committed();
    may_start = false;
    links.send(planned.orders.front());
  }
  void wait(std::chrono::milliseconds time) {
    bool elapsed = false;
    loop.call_after(time, [&] { elapsed = true; });
    run_until([&] { return elapsed; });
  }
};

// Guards against starts that rest on an old copy of the topics.
TEST_CASE("a start waits until tasks may start") {
  start_fixture f;
  f.wait(std::chrono::milliseconds(20));
  REQUIRE(f.calls.starts == 0);
  f.may_start = true;
  f.run_until([&] { return f.calls.starts == 1; });
  REQUIRE(f.calls.start_permit.may_send());
  f.may_start = false;
  REQUIRE_FALSE(f.calls.start_permit.may_send());
}

// Guards against a start that leaves as it was planned although its job was
// cancelled or its failure domain closed while it waited.
TEST_CASE("a start whose ground is gone while it waits is not sent") {
  bool is_cancelled = GENERATE(true, false);
  start_fixture f;
  if (is_cancelled) {
    f.scheduler.cancel_job("job", boot_now());
  } else {
    f.scheduler.set_closed_domains({"d"});
  }
  f.may_start = true;
  f.wait(std::chrono::milliseconds(50));
  REQUIRE(f.calls.starts == 0);
}

// The same for a start that waits for a connection.
TEST_CASE("a start whose ground is gone before it is written is not sent") {
  start_fixture f;
  f.may_start = true;
  f.run_until([&] { return f.calls.starts == 1; });
  REQUIRE(f.calls.start_permit.may_send());
  f.scheduler.cancel_job("job", boot_now());
  REQUIRE_FALSE(f.calls.start_permit.may_send());
}

/// A worker with one best-effort task beside a late serving task. It executes
/// each pace only when the test asks for it.
struct paced_gateway : silent_gateway {
  using silent_gateway::silent_gateway;

  void report(const model::worker_info&, const external::report_request&,
              std::chrono::milliseconds, report_callback done) override {
    ++calls->reports;
    batch::worker_report answer;
    answer.incarnation = 1;
    answer.clock = std::chrono::milliseconds(1);
    for (const auto& [task, started_run] : started) {
      batch::reported_run row;
      row.task = task;
      row.number = started_run;
      row.progress = task.step.job == "serving" ? 100 : 1;
      row.measurement = task.step.job == "serving" ? response_ms : 2000;
      answer.running.push_back(row);
    }
    done(answer);
  }
  void start(const model::worker_info&, const batch::start_order& order,
             const external::start_permit&, std::chrono::milliseconds,
             order_callback done) override {
    started.emplace_back(order.task, order.run);
    done(external::order_answer::done);
  }
  void pace(const model::worker_info&, const batch::pace_order& order,
            const external::call_permit&, std::chrono::milliseconds,
            order_callback done) override {
    paces.push_back({order.percent, std::move(done)});
  }

  struct pace_call {
    int percent = 0;
    order_callback done;
  };
  std::vector<std::pair<batch::task_key, int>> started;
  std::vector<pace_call> paces;
  std::int64_t response_ms = 8;
};

struct pace_fixture : daemon_fixture {
  gateway_calls calls;
  paced_gateway gateway{calls};
  batch::scheduler scheduler{{}, boot_now(), [](const std::string&) {}};
  worker_links links;

  static link_options fast() {
    link_options options;
    options.pace_repeat_interval = std::chrono::milliseconds(20);
    return options;
  }

  pace_fixture()
      : links(loop, gateway, scheduler, 1, fast(), always,
              {[this] { send_orders(); }, [] {}}, report) {
    batch::worker_entry entry;
    entry.info.id = "w";
    entry.info.address = "10.0.0.1";
    entry.info.port = 8000;
    entry.info.capacity = {8000, 9000, 0};
    entry.service = "svc";
    entry.incarnation = 1;
    scheduler.update_worker(entry, boot_now());
    links.update(entry);
    for (const char* id : {"serving", "filling"}) {
      batch::job_spec spec;
      spec.id = id;
      spec.queue = "q";
      spec.policy.service = "svc";
      spec.steps = {{.count = 1, .required_resources = {2000, 10, 0}}};
      auto& step = spec.steps[0];
      step.estimated_run_time = std::chrono::seconds(60);
      step.long_running = spec.id == "serving";
      step.best_effort = spec.id == "filling";
      step.response_time_target =
          std::chrono::milliseconds(step.long_running ? 20 : 0);
      step.image = id;
      scheduler.add_job(std::make_shared<batch::job_spec>(spec), boot_now(), 0);
    }
    run_until([this] {
      send_orders();
      return gateway.started.size() == 2;
    });
  }

  void send_orders() {
    auto commit = scheduler.plan(boot_now(), 0);
    scheduler.on_progress_committed();
    for (const auto& order : commit.orders) {
      links.send(order);
    }
    for (const auto& order : scheduler.take_orders()) {
      links.send(order);
    }
  }

  /// Makes the serving task late until a lower pace has been ordered.
  void wait_for_lower_pace() {
    gateway.response_ms = 60;
    run_until([this] {
      return !gateway.paces.empty() && gateway.paces.back().percent < 100;
    });
  }
};

// Guards against a pace that an earlier order undoes: the two were under way at
// the same time and took effect in the other order.
TEST_CASE("a pace is ordered again after orders that overlapped") {
  pace_fixture f;
  f.wait_for_lower_pace();
  f.gateway.response_ms = 8;
  f.run_until([&] {
    return f.gateway.paces.back().percent != f.gateway.paces.front().percent;
  });
  auto before = f.gateway.paces.size();
  REQUIRE(before >= 2);
  // Answered in the order of sending, which shows nothing of that of execution.
  for (std::size_t n = 0; n < before; ++n) {
    f.gateway.paces[n].done(external::order_answer::done);
  }
  REQUIRE(f.gateway.paces.size() == before + 1);
  REQUIRE(f.gateway.paces.back().percent ==
          f.scheduler.ordered_pace({{"filling", 0, 0}, 0}, 1));
}

// Guards against a pace that an order without an answer undoes seconds later.
TEST_CASE("a pace is ordered again while an earlier one may take effect") {
  pace_fixture f;
  f.wait_for_lower_pace();
  f.gateway.paces.back().done(external::order_answer::unanswered);
  f.gateway.paces.clear();
  f.gateway.response_ms = 8;
  auto answer_all = [&f] {
    auto answered = std::exchange(f.gateway.paces, {});
    for (auto& each : answered) {
      each.done(external::order_answer::done);
    }
    return answered.size();
  };
  // Until the task has its full speed again, so that no other pace is wanted.
  f.run_until([&] {
    answer_all();
    return f.scheduler.ordered_pace({{"filling", 0, 0}, 0}, 1) == 100;
  });
  std::size_t repeated = 0;
  bool elapsed = false;
  f.loop.call_after(std::chrono::milliseconds(500), [&] { elapsed = true; });
  f.run_until([&] {
    repeated += answer_all();
    return elapsed;
  });
  REQUIRE(repeated >= 3);
}

}  // namespace
}  // namespace vanillaladder::dispatch
