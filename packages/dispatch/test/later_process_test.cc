#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "daemon_fixture.h"
#include "dispatch/clock.h"
#include "dispatch/worker_links.h"

namespace vanillaladder::dispatch {
namespace {

using std::chrono_literals::operator""ms;

constexpr model::epoch leader_epoch = 7;

/// A worker that keeps the highest token that it has seen, as the platform's
/// do, and whose process a test may replace.
struct fencing_gateway : external::worker_gateway {
  void report(const model::worker_info&,
              const external::report_request& request,
              std::chrono::milliseconds, report_callback done) override {
    requests.push_back(request);
    if (is_silent) {
      silent_reports.push_back(std::move(done));
      return;
    }
    if (request.permit.token < token) {
      done(absl::AbortedError("fenced"));
      return;
    }
    token = request.permit.token;
    batch::worker_report answer;
    answer.incarnation = incarnation;
    answer.clock = 2919967ms;
    answer.ended = ended;
    done(answer);
  }
  void start(const model::worker_info&, const batch::start_order&,
             const external::start_permit& permit, std::chrono::milliseconds,
             order_callback done) override {
    starts.push_back(permit);
    unanswered.push_back(std::move(done));
  }
  void stop(const model::worker_info&, const batch::stop_order&,
            const external::call_permit& permit, std::chrono::milliseconds,
            order_callback done) override {
    stops.push_back(permit);
    unanswered.push_back(std::move(done));
  }
  void pace(const model::worker_info&, const batch::pace_order&,
            const external::call_permit&, std::chrono::milliseconds,
            order_callback) override {}
  void disconnect(const model::worker_id&) override {}

  void fail_reports() {
    for (auto& done : std::exchange(silent_reports, {})) {
      done(absl::UnavailableError("no answer"));
    }
  }
  void replace_process() {
    token = 0;
    ++incarnation;
  }

  model::epoch token = 0;
  batch::unix_ms incarnation = 1;
  bool is_silent = false;
  std::vector<batch::reported_end> ended;
  std::vector<external::report_request> requests;
  std::vector<report_callback> silent_reports;
  std::vector<external::start_permit> starts;
  std::vector<external::call_permit> stops;
  std::vector<order_callback> unanswered;
};

struct later_process_fixture : daemon_fixture {
  fencing_gateway gateway;
  batch::scheduler scheduler{{}, boot_now(), [](const std::string&) {}};
  int superseded = 0;
  link_options options{
      .report_pause = 1ms, .retry_pause = 1ms, .unreachable_pause = 1ms};
  worker_links links{loop,
                     gateway,
                     scheduler,
                     leader_epoch,
                     options,
                     {[] { return true; }, [] { return true; }},
                     {[] {}, [this] { ++superseded; }},
                     report};
  batch::worker_entry entry;

  later_process_fixture() {
    entry.info.id = "w";
    entry.info.address = "10.0.0.1";
    entry.info.port = 8000;
    entry.info.domain = "d";
    entry.info.capacity = {32000, 64000, 0};
    entry.service = "svc";
    entry.incarnation = 1;
    scheduler.update_worker(entry, boot_now());
    links.update(entry);
    run_until([&] { return gateway.requests.size() >= 3; });
    REQUIRE(gateway.requests.back().deadline > 0ms);
  }

  batch::order plan_start() {
    auto job = std::make_shared<batch::job_spec>();
    job->id = "job";
    job->queue = "queue";
    job->policy.service = "svc";
    job->steps.push_back({.count = 1, .required_resources = {1000, 100, 0}});
    scheduler.add_job(job, boot_now(), wall_now());
    auto planned = scheduler.plan(boot_now(), wall_now());
    REQUIRE(planned.orders.size() == 1);
    scheduler.on_progress_committed();
    return planned.orders.front();
  }

  void pass(std::chrono::milliseconds time) {
    bool elapsed = false;
    loop.call_after(time, [&] { elapsed = true; });
    run_until([&] { return elapsed; });
  }

  /// Lets the report that is under way fail, and the next ones succeed.
  void lose_report() {
    gateway.is_silent = true;
    run_until([&] { return !gateway.silent_reports.empty(); });
    gateway.is_silent = false;
    gateway.fail_reports();
  }
};

}  // namespace

// Guards against runs and leases of a process that come from calls meant for
// its predecessor, executed seconds later: both accepted the same token.
TEST_CASE("a call to an earlier process is below the token of a later one") {
  later_process_fixture f;
  f.links.send(f.plan_start());
  REQUIRE(f.gateway.starts.size() == 1);
  f.lose_report();
  f.gateway.replace_process();
  auto asked = f.gateway.requests.size();
  f.run_until([&] { return f.gateway.requests.size() > asked + 2; });
  CHECK(f.gateway.starts.front().call.token < f.gateway.token);
  CHECK(f.superseded == 0);
}

// The same if the list of workers tells of the later process first.
TEST_CASE("the token rises when a later process is listed") {
  later_process_fixture f;
  auto before = f.gateway.token;
  f.gateway.replace_process();
  f.entry.incarnation = 2;
  f.scheduler.update_worker(f.entry, boot_now());
  f.links.update(f.entry);
  auto asked = f.gateway.requests.size();
  f.run_until([&] { return f.gateway.requests.size() > asked + 2; });
  CHECK(f.gateway.token > before);
}

// Guards against a report that rests on calls which may still take effect: the
// later process was found by a request under the token of its predecessor.
TEST_CASE("a later process is asked again under a token of its own") {
  later_process_fixture f;
  auto before = f.gateway.token;
  f.gateway.replace_process();
  auto asked = f.gateway.requests.size();
  f.run_until([&] { return f.gateway.requests.size() > asked + 2; });
  CHECK(f.gateway.token > before);
  CHECK(f.gateway.requests.back().deadline > 0ms);
}

// Guards against a leader that gives up because a worker rejects an order which
// the leader itself has superseded.
TEST_CASE("an order below the leader's own token does not end its leadership") {
  later_process_fixture f;
  f.links.send(batch::stop_order{"w", {{"other", 0, 0}, 0}, 1});
  REQUIRE(f.gateway.stops.size() == 1);
  f.lose_report();
  auto asked = f.gateway.requests.size();
  f.run_until([&] { return f.gateway.requests.size() > asked + 2; });
  f.gateway.unanswered.front()(external::order_answer::fenced);
  f.pass(20ms);
  CHECK(f.superseded == 0);
  // It is ordered again.
  REQUIRE(f.gateway.stops.size() == 2);
  CHECK(f.gateway.stops.back().token == f.gateway.token);
  f.gateway.unanswered.back()(external::order_answer::fenced);
  f.pass(20ms);
  CHECK(f.superseded == 1);
}

// Guards against ends that a later process forgets, because it gets the number
// of an end of its predecessor.
TEST_CASE("an end is confirmed until the worker has answered and not longer") {
  later_process_fixture f;
  f.gateway.ended = {{1, {{"job", 0, 0}, 0}, 1, batch::end_reason::done, ""}};
  f.run_until([&] { return f.scheduler.has_unstored_ends("w"); });
  f.gateway.ended.clear();
  f.scheduler.plan(boot_now(), wall_now());
  f.scheduler.on_progress_committed();
  auto asked = f.gateway.requests.size();
  f.links.on_ends_stored();
  f.run_until([&] { return f.gateway.requests.size() > asked + 3; });
  auto confirmations = std::ranges::count(
      f.gateway.requests, 1, &external::report_request::stored_end);
  CHECK(confirmations == 1);
}

// Guards against starts that reach a process which the leader doesn't know.
TEST_CASE("a start waits while the worker has not answered the last request") {
  later_process_fixture f;
  auto start = f.plan_start();
  f.gateway.is_silent = true;
  f.run_until([&] { return !f.gateway.silent_reports.empty(); });
  f.gateway.fail_reports();
  f.links.send(start);
  f.pass(20ms);
  CHECK(f.gateway.starts.empty());
}

}  // namespace vanillaladder::dispatch
