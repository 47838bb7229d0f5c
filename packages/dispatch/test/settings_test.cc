#include "dispatch/settings.h"

#include <catch2/catch.hpp>
#include <string>

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
