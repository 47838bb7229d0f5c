#include "dispatch/settings.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace vanillaladder::dispatch {
namespace {

constexpr std::string_view complete = R"(
[instance]
id = "front-1"
domain = "z-a"
[listen]
callers = "10.0.0.1:80"
ready = "10.0.0.1:81"
metrics = "10.0.0.1:82"
[store]
address = "10.0.0.9:83"
[workers]
longest_lease_ms = 6000
)";

TEST_CASE("complete settings are parsed") {
  auto settings = parse_settings(complete, "s.toml");
  REQUIRE(settings.ok());
  REQUIRE(settings->store == endpoint{"10.0.0.9", 83});
  REQUIRE(settings->longest_lease == std::chrono::milliseconds(6000));
}

// Guards against a daemon that doesn't start, and a rolling restart that ends
// with none, after a bound became a fraction.
TEST_CASE("times may be fractions") {
  auto text = std::string(complete) +
              "run_stop_ms = 200.5\n[limits]\nstop_s = 6.5\n"
              "[jobs]\nstate_retention_s = 120\n";
  auto settings = parse_settings(text, "s.toml");
  REQUIRE(settings.ok());
  REQUIRE(settings->run_stop_time == std::chrono::milliseconds(201));
  REQUIRE(settings->stop_limit == std::chrono::milliseconds(6500));
  REQUIRE(settings->state_retention == std::chrono::milliseconds(120000));
}

TEST_CASE("values of the command line go before those of the file") {
  std::vector<std::string> overrides = {
      "limits.memory_mb=512", "access.strict_revocation=true",
      "access.revocation_limit_ms=", "instance.id=front-2"};
  auto text = std::string(complete) + "[limits]\nmemory_mb = 160\n";
  auto settings = parse_settings(text, "s.toml", overrides);
  REQUIRE(settings.ok());
  REQUIRE(settings->memory_mib == 512);
  REQUIRE(settings->access.strict_revocation);
  REQUIRE(settings->access.revocation_limit == std::chrono::milliseconds(5000));
  REQUIRE(settings->instance == "front-2");
  std::vector<std::string> unknown = {"limits.odd=1"};
  REQUIRE_FALSE(parse_settings(complete, "s.toml", unknown).ok());
  std::vector<std::string> malformed = {"limits"};
  REQUIRE_FALSE(parse_settings(complete, "s.toml", malformed).ok());
}

TEST_CASE("processor share and speed may be fractions or integers") {
  auto text = std::string(complete) +
              "[limits]\nprocessor_share = 0.5\nprocessor_speed = 2\n";
  auto settings = parse_settings(text, "s.toml");
  REQUIRE(settings.ok());
  REQUIRE(settings->processor_share == Approx(0.5));
  REQUIRE(settings->processor_speed == Approx(2));
  auto none = std::string(complete) + "[limits]\nprocessor_share = 0\n";
  REQUIRE_FALSE(parse_settings(none, "s.toml").ok());
}

TEST_CASE("each problem is reported with its line and the allowed values") {
  auto text = std::string(complete) + "[limits]\nstop_ms = \"x\"\nodd = 1\n";
  auto settings = parse_settings(text, "s.toml");
  REQUIRE_FALSE(settings.ok());
  std::string message(settings.status().message());
  REQUIRE(message.find("s.toml:14: limits.stop_ms: allowed:") !=
          std::string::npos);
  REQUIRE(message.find("limits.odd: unknown key") != std::string::npos);
  auto missing = parse_settings("[instance]\nid = \"a\"\n", "s.toml");
  REQUIRE(
      std::string(missing.status().message()).find("store.address: missing") !=
      std::string::npos);
}

TEST_CASE("text that is not valid TOML is rejected") {
  REQUIRE_FALSE(parse_settings("[instance\n", "s.toml").ok());
}

}  // namespace
}  // namespace vanillaladder::dispatch
