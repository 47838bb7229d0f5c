#include "dispatch/scheduling_daemon.h"

#include <catch2/catch.hpp>
#include <utility>

#include "daemon_fixture.h"
#include "silent_gateway.h"

namespace vanillaladder::dispatch {
namespace {

struct empty_decoder : record_decoder {
  std::string operator_topic() const override { return "operator"; }
  std::string worker_topic() const override { return "workers"; }
  absl::StatusOr<operator_record> decode_operator(
      std::string_view, std::string_view) const override {
    return ignored_record();
  }
  absl::StatusOr<batch::worker_entry> decode_worker(
      std::string_view, std::string_view) const override {
    return absl::InvalidArgumentError("none");
  }
};

// Guards against a restarted daemon that leads before it knows which domains
// are closed and which workers have left.
TEST_CASE("a daemon does not lead before it has read what operators wrote") {
  auto topic = GENERATE(as<std::string>(), "operator", "workers");
  daemon_fixture f;
  f.store.unreadable_topic = topic;
  gateway_calls calls;
  empty_decoder decoder;
  daemon_settings settings;
  settings.instance = std::string("a");
  scheduling_daemon daemon(
      f.loop, settings, f.store, decoder,
      [&] { return std::make_unique<silent_gateway>(calls); }, f.report);
  daemon.start();
  bool elapsed = false;
  f.loop.call_after(std::chrono::milliseconds(400), [&] { elapsed = true; });
  f.run_until([&] { return elapsed; });
  REQUIRE(f.store.appends == 0);
  f.store.unreadable_topic.clear();
  f.run_until([&] { return f.store.appends > 0; });
}

/// Takes records with the value "good" for workers, and refuses others.
struct strict_decoder : empty_decoder {
  absl::StatusOr<batch::worker_entry> decode_worker(
      std::string_view key, std::string_view value) const override {
    if (value != "good") {
      return absl::InvalidArgumentError("worker: field address");
    }
    batch::worker_entry entry;
    entry.info.id = std::string(key);
    entry.info.address = "10.0.0.1";
    entry.info.port = 8000;
    return entry;
  }
};

// Guards against the use of a worker whose newest entry comes from another
// writer, and against entries that keep others from being read.
TEST_CASE("an id whose newest entry is refused names no worker") {
  daemon_fixture f;
  gateway_calls calls;
  calls.answers_reports = true;
  strict_decoder decoder;
  daemon_settings settings;
  settings.instance = std::string("a");
  f.store.topic = {{"v", "good"}, {"w", "good"}, {"x", "odd"}};
  scheduling_daemon daemon(
      f.loop, settings, f.store, decoder,
      [&] { return std::make_unique<silent_gateway>(calls); }, f.report);
  daemon.start();
  auto& reports = calls.reports_by_worker;
  f.run_until([&] { return reports["v"] > 0 && reports["w"] > 0; });
  f.store.topic.push_back({"w", "odd"});
  auto wait = [&](std::chrono::milliseconds time) {
    bool elapsed = false;
    f.loop.call_after(time, [&] { elapsed = true; });
    f.run_until([&] { return elapsed; });
  };
  wait(std::chrono::milliseconds(600));
  auto before = reports;
  wait(std::chrono::milliseconds(200));
  REQUIRE(reports["w"] == before["w"]);
  REQUIRE(reports["v"] > before["v"]);
  REQUIRE(reports["x"] == 0);
  // The worker's own next entry counts again.
  f.store.topic.push_back({"w", "good"});
  f.run_until([&] { return reports["w"] > before["w"]; });
}

/// A daemon that follows the jobs and can't lead.
struct following_daemon : daemon_fixture {
  gateway_calls calls;
  empty_decoder decoder;
  daemon_settings settings = [] {
    daemon_settings out;
    out.instance = std::string("a");
    return out;
  }();
  scheduling_daemon daemon{
      loop,
      settings,
      store,
      decoder,
      [this] { return std::make_unique<silent_gateway>(calls); },
      report};

  following_daemon() {
    store.unreadable_topic = "operator";
    for (const auto* id : {"a", "b"}) {
      batch::job_spec spec;
      spec.id = std::string(id);
      spec.queue = "queue";
      spec.steps.push_back({.count = 1});
      store.topic.push_back({"j/" + spec.id, encode(spec)});
    }
    daemon.start();
    run_until([this] { return shown("a") == job_answer::kind::known; });
  }

  /// Removes the first job, and the history that told of it.
  void lose_history() {
    store.topic[0] = {"j/b", store.topic[1].value};
    store.topic.push_back(store.topic[1]);
    store.first_retained = static_cast<model::offset>(store.topic.size());
  }
  job_answer::kind shown(const model::job_id& id) {
    // A read without an answer shows nothing.
    auto kind = std::make_shared<std::optional<job_answer::kind>>();
    bool elapsed = false;
    loop.call_after(std::chrono::seconds(1), [&] { elapsed = true; });
    daemon.service().show(id, [kind](job_answer got) { *kind = got.outcome; });
    run_until([&] { return kind->has_value() || elapsed; });
    if (!elapsed) {
      run_until([&] { return elapsed; });
    }
    return kind->value_or(job_answer::kind::unavailable);
  }
};

// Guards against a follower that missed more than the topic's history, keeps
// removed jobs, and starts them when it leads.
TEST_CASE("a job whose removal was not read is gone after the next load") {
  following_daemon f;
  f.lose_history();
  f.run_until([&] { return f.shown("a") != job_answer::kind::known; });
  REQUIRE(f.shown("a") == job_answer::kind::no_such_job);
  REQUIRE(f.shown("b") == job_answer::kind::known);
}

// Guards against an accepted job that is unknown after a load whose pages were
// read before its append.
TEST_CASE("a job that is accepted during a load is known after it") {
  following_daemon f;
  f.store.keys_per_page = 1;
  f.store.held_after = "j/b";
  f.store.topic.push_back({"j/c", f.store.topic[1].value});
  f.lose_history();
  // The loads of the jobs, of the workers and of the lease.
  f.run_until([&] { return f.store.held_pages.size() >= 3; });
  batch::job_spec spec;
  spec.id = std::string("a-own");
  spec.steps.push_back({.count = 1});
  std::optional<submit_result> result;
  f.daemon.service().submit({}, spec, [&](submit_result got) { result = got; });
  f.run_until([&] { return result.has_value(); });
  REQUIRE(*result == submit_result::accepted);
  // No read delivers the record after the load.
  f.store.unresponsive = true;
  f.store.held_after.reset();
  for (const auto& read : std::exchange(f.store.held_pages, {})) {
    read();
  }
  f.run_until([&] { return f.shown("a") != job_answer::kind::known; });
  REQUIRE(f.shown("a-own") == job_answer::kind::known);
}

}  // namespace
}  // namespace vanillaladder::dispatch
