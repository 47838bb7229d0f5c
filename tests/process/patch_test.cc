#include <csignal>

#include "scene.h"

namespace vanillaladder::process {
namespace {

std::future<harness::outcome> start_patch(scene& s, std::size_t daemon,
                                          const std::string& id,
                                          const json& set, std::int64_t version,
                                          std::int64_t revision) {
  json body = {{"id", id},           {"author", "author of " + id},
               {"version", version}, {"seen_revision", revision},
               {"set", set},         {"remove", json::array()}};
  return s.cluster.http().start(
      s.cluster.at(daemon).operator_port,
      {"POST", "/v1/config/patches", {}, body.dump()});
}

json config_of(scene& s, std::size_t daemon) {
  return s.cluster.http()
      .get(s.cluster.at(daemon).operator_port, "/v1/config")
      .parsed();
}

}  // namespace

// Guards against two concurrent patches that are both accepted for one key,
// or an accepted one that is lost or reverts.
TEST_CASE("of two patches on one key exactly one is accepted and stays") {
  scene s;
  REQUIRE(eventually([&] { return config_of(s, 0).value("version", 0) > 0; }));
  for (int round = 0; round < 8; ++round) {
    auto config = config_of(s, 0);
    auto version = config.at("version").get<std::int64_t>();
    auto revision = config.at("revision").get<std::int64_t>();
    auto name = std::to_string(round);
    auto first = start_patch(
        s, 0, "a" + name,
        {{"team.reports.weight", "2" + name}, {"team.a.weight", "1" + name}},
        version, revision);
    auto second =
        start_patch(s, 1, "b" + name, {{"team.reports.weight", "3" + name}},
                    version, revision);
    auto other = start_patch(s, 2, "c" + name, {{"team.c.weight", "1" + name}},
                             version, revision);
    auto a = first.get();
    auto b = second.get();
    INFO(a.body << " " << b.body);
    CHECK(std::multiset<int>{a.status, b.status} ==
          std::multiset<int>{200, 409});
    CHECK(other.get().status == 200);
    auto winner = (a.status == 200 ? "2" : "3") + name;
    const auto& loser = a.status == 200 ? b : a;
    CHECK(loser.parsed().at("conflicts")[0].value("theirs", "") == winner);
    CHECK(
        eventually([&] { return s.in_force("team.reports.weight", winner); }));
    CHECK(eventually([&] { return s.in_force("team.c.weight", "1" + name); }));
  }
  s.check_promises();
}

// Guards against an accepted patch that is gone after restarts.
TEST_CASE("an accepted patch survives the restart of every daemon") {
  scene s;
  s.apply(0, "lasting", {{"team.reports.weight", "77"}});
  for (std::size_t n = 0; n < 3; ++n) {
    s.cluster.at(n).process->send_signal(SIGKILL);
    REQUIRE(s.cluster.at(n).process->wait_for_exit());
    s.cluster.restart(n);
    REQUIRE(eventually([&] { return s.cluster.ready(n); }));
    CHECK(config_of(s, n)["keys"].value("team.reports.weight", "") == "77");
  }
  s.check_promises();
}

}  // namespace vanillaladder::process
