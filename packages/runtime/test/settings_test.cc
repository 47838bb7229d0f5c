#include "runtime/settings.h"

#include <catch2/catch.hpp>

#include "runtime/nearest_name.h"

namespace vanillaladder::runtime {
namespace {

const std::string minimal = R"([instance]
id = "entry-1"
domain = "south"
[log]
address = "127.0.0.1"
port = 7000
[instances]
address = "127.0.0.1"
port = 7001
)";

std::string problems(const std::string& text) {
  return std::string(parse_settings(text, "f").status().message());
}

}  // namespace

// Guards against unintended changes of the defaults.
TEST_CASE("a minimal file gets the defaults") {
  auto settings = parse_settings(minimal, "f");
  REQUIRE(settings.ok());
  CHECK(settings->instance.id == "entry-1");
  CHECK(settings->log.port == 7000);
  CHECK(settings->listen.peer_port == 0);
  CHECK(settings->limits.fresh_limit.count() == 2000);
  CHECK(settings->limits.lease.count() == 10000);
  CHECK(settings->limits.blind_renewal_limit.count() == 7200);
  CHECK(settings->logging_level == log_level::info);
}

// Guards against values that are read but not used.
TEST_CASE("given values replace the defaults") {
  auto settings = parse_settings(minimal +
                                     "[limits]\nlease_ms = 4000\n"
                                     "[listen]\naddress = \"127.0.0.2\"\n"
                                     "[logging]\nlevel = \"debug\"\n",
                                 "f");
  REQUIRE(settings.ok());
  CHECK(settings->limits.lease.count() == 4000);
  CHECK(settings->listen.address == "127.0.0.2");
  CHECK(settings->logging_level == log_level::debug);
}

// Guards against errors reported one at a time or without a position.
TEST_CASE("every problem is reported with key, line and what is allowed") {
  CHECK(problems("[instance]\n"
                 "id = \"a b\"\n"
                 "domian = \"south\"\n"
                 "[log]\n"
                 "address = \"localhost\"\n"
                 "port = 70000\n"
                 "[instances]\n"
                 "address = \"127.0.0.1\"\n"
                 "port = \"1\"\n"
                 "[limit]\n") ==
        "f:1: instance.domain: required key is missing; allowed: a string of "
        "letters, digits, '-', '_' and '.'\n"
        "f:2: instance.id: value is not allowed; allowed: a string of letters, "
        "digits, '-', '_' and '.'\n"
        "f:3: instance.domian: unknown key, did you mean domain?; allowed: id, "
        "domain, rack, branch\n"
        "f:5: log.address: value is not allowed; allowed: an IPv4 address such "
        "as \"127.0.0.1\"\n"
        "f:6: log.port: value is not allowed; allowed: an integer from 1 to "
        "65535\n"
        "f:9: instances.port: value is not allowed; allowed: an integer from 1 "
        "to 65535\n"
        "f:10: limit: unknown section, did you mean limits?; allowed: "
        "instance, listen, log, instances, limits, logging, trace");
}

// Guards against a syntax error that is reported without its line.
TEST_CASE("a syntax error names its line") {
  CHECK(problems("[instance]\nid =\n").starts_with("f:2: "));
}

// Guards against a missing file that is treated as an empty one.
TEST_CASE("a missing file is reported") {
  auto settings = load_settings("/nonexistent/settings.toml");
  CHECK(settings.status().code() == absl::StatusCode::kNotFound);
}

// Guards against suggestions that do not resemble the typed name.
TEST_CASE("the nearest name has the least edit distance") {
  CHECK(edit_distance("kitten", "sitting") == 3);
  CHECK(edit_distance("", "abc") == 3);
  CHECK(nearest_name("a", {}).empty());
}

}  // namespace vanillaladder::runtime
