#include "dispatch/call_routing.h"

#include <catch2/catch.hpp>

namespace vanillaladder::dispatch {
namespace {

using namespace std::chrono_literals;

config_view make_config(bool with_keys) {
  fleet_config config;
  config.version = 1;
  config.queues.push_back({"closed", "h", "/closed/", {}, false});
  config.queues.push_back({"open", "h", "/open/", {}, true});
  if (with_keys) {
    config.organisations.push_back({"org", {"key-1", "key-2"}, {}});
  }
  config_view view;
  view.apply(std::move(config));
  return view;
}

const access_options strict{true, 5000ms};

}  // namespace

TEST_CASE("a call is routed by its path and its key") {
  auto config = make_config(true);
  auto route = [&](std::string_view path, std::string_view key) {
    return route_call(config, {"h", path, key}, 0ms, {});
  };
  auto closed = route("/closed/a", "key-2");
  REQUIRE(std::get<admitted_call>(closed).queue->name == "closed");
  REQUIRE(std::get<admitted_call>(closed).organisation == "org");
  REQUIRE(std::holds_alternative<unknown_key>(route("/closed/a", "key-3")));
  REQUIRE(std::holds_alternative<unknown_key>(route("/closed/a", "key-22")));
  REQUIRE(std::holds_alternative<unknown_key>(route("/closed/a", "")));
  REQUIRE(std::get<admitted_call>(route("/open/a", "")).organisation.empty());
  REQUIRE(std::holds_alternative<unknown_key>(route("/open/a", "key-3")));
  REQUIRE(std::holds_alternative<unknown_queue>(route("/other/a", "key-1")));
}

TEST_CASE("without organisations no key is needed") {
  auto config = make_config(false);
  auto route = route_call(config, {"h", "/closed/a", "any"}, 60s, strict);
  REQUIRE(std::get<admitted_call>(route).organisation.empty());
}

// Guards against a new route or key that is refused because the copy is old:
// connections to the store had gone silent, and routes were refused for 4.3 s.
TEST_CASE("an old copy refuses nothing") {
  auto config = make_config(true);
  auto age = max_refusal_age;
  REQUIRE(std::holds_alternative<stale_config>(
      route_call(config, {"h", "/other/a", ""}, age, {})));
  REQUIRE(std::holds_alternative<stale_config>(
      route_call(config, {"h", "/closed/a", "key-3"}, age, {})));
}

// Guards against a key that is served after it was taken away, by a daemon that
// can't read the store.
TEST_CASE("strict revocation bounds the age of the copy that admits a key") {
  auto config = make_config(true);
  call_credentials call{"h", "/closed/a", "key-1"};
  REQUIRE(std::holds_alternative<admitted_call>(
      route_call(config, call, 4700ms, strict)));
  REQUIRE(std::holds_alternative<stale_config>(
      route_call(config, call, 4750ms, strict)));
  // Calls without a key don't depend on it.
  REQUIRE(std::holds_alternative<admitted_call>(
      route_call(config, {"h", "/open/a", ""}, 60s, strict)));
  REQUIRE(
      std::holds_alternative<admitted_call>(route_call(config, call, 60s, {})));
}

}  // namespace vanillaladder::dispatch
