#include "dispatch/fleet_config.h"

#include <catch2/catch.hpp>

namespace vanillaladder::dispatch {
namespace {

fleet_config config_of_version(std::int64_t number, std::string prefix) {
  fleet_config config;
  config.version = number;
  config.queues = {
      {"q" + std::to_string(number), "host", std::move(prefix), {}}};
  return config;
}

// Guards against a reload of old records that restores an old version.
TEST_CASE("an older version is ignored") {
  config_view view;
  REQUIRE(view.apply(config_of_version(5, "/a/")));
  REQUIRE_FALSE(view.apply(config_of_version(3, "/b/")));
  REQUIRE_FALSE(view.apply(config_of_version(5, "/b/")));
  REQUIRE(view.find_queue("host", "/b/x") == nullptr);
  REQUIRE(view.version() == 5);
}

TEST_CASE("the longest matching prefix on the host selects the queue") {
  config_view view;
  auto config = config_of_version(1, "/a/");
  config.queues.push_back({"long", "host", "/a/b/", {}});
  config.queues.push_back({"other", "elsewhere", "/a/b/c/", {}});
  view.apply(config);
  REQUIRE(view.find_queue("host", "/a/b/c/x")->name == "long");
  REQUIRE(view.find_queue("host", "/a/x")->name == "q1");
  REQUIRE(view.find_queue("host", "/x") == nullptr);
}

TEST_CASE("a reload opens the domains that are no longer closed") {
  config_view view;
  view.close_domain("a");
  view.close_domain("b");
  view.open_all_except({"b"});
  REQUIRE(view.closed_domains() == std::set<model::domain_id>{"b"});
}

}  // namespace
}  // namespace vanillaladder::dispatch
