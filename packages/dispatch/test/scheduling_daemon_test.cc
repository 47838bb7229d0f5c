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

}  // namespace
}  // namespace vanillaladder::dispatch
