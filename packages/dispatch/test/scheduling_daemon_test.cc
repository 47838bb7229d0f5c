#include "dispatch/scheduling_daemon.h"

#include <catch2/catch.hpp>

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

}  // namespace
}  // namespace vanillaladder::dispatch
