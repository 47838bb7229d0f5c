#include "coordination/config_schema.h"

#include <catch2/catch.hpp>

namespace vanillaladder::coordination {

// Guards against values outside the documented ranges.
TEST_CASE("values are checked against type and range") {
  CHECK_FALSE(check_setting("class.quote.deadline_ms", "800"));
  CHECK_FALSE(check_setting("branch.north.class.quote.deadline_ms", "30000"));
  CHECK_FALSE(check_setting("instance.10.0.0.1:80.state", "dead"));
  CHECK(check_setting("class.quote.deadline_ms", "0")->allowed == "1..30000");
  CHECK(check_setting("class.quote.deadline_ms", "30001"));
  CHECK(check_setting("class.quote.deadline_ms", "80 "));
  CHECK(check_setting("class.quote.deadline_ms", "99999999999999999999"));
  CHECK(check_setting("domain.a.state", "gone")->allowed == "in|out");
  CHECK(check_setting("domain.a.state", ""));
  CHECK(check_setting("team.a.quota_cpu_millis", "-1")->allowed == "0 or more");
}

// Guards against misspelled keys that are accepted without any effect.
TEST_CASE("an unknown key is rejected with the nearest known key") {
  CHECK(check_setting("clas.quote.dedline_ms", "800")->nearest ==
        "class.quote.deadline_ms");
  CHECK(check_setting("branch.north.queue.alfa", "1")->nearest ==
        "queue.alpha");
  CHECK(check_setting("retry.max_attempt", "1")->nearest ==
        "retry.max_attempts");
  CHECK(check_setting("class..kind", "batch"));
  CHECK(check_setting("branch.north", "1"));
  CHECK(check_setting("", "1"));
  CHECK(check_key("admission.max_queue")->nearest == "admission.max_queued");
}

// Guards against defaults, or stored values of another release, that are used
// without validation.
TEST_CASE("lookups fall back to defaults that the schema allows") {
  for (const auto& rule : schema_rules()) {
    std::string key(rule.pattern);
    auto placeholder_start = key.find("<name>");
    if (placeholder_start != std::string::npos) {
      key.erase(placeholder_start, std::string_view("<name>").size())
          .insert(placeholder_start, 1, 'x');
    }
    if (!rule.default_value.empty()) {
      CHECK_FALSE(check_setting(key, rule.default_value));
    }
  }
  config_view view({{"class.quote.deadline_ms", "800"},
                    {"class.quote.weight", "many"},
                    {"domain.a.state", "out"}});
  CHECK(view.integer("class", "quote", "max_wait_ms") == 800);
  CHECK(view.integer("class", "drill", "max_wait_ms") == 1000);
  CHECK(view.integer("class", "quote", "weight") == 10);
  CHECK_FALSE(view.integer("team", "a", "quota_cpu_millis"));
  CHECK(view.choice("class", "quote", "kind") == "interactive");
  CHECK(view.domain_out("a"));
  CHECK_FALSE(view.domain_out("b"));
}

}  // namespace vanillaladder::coordination
