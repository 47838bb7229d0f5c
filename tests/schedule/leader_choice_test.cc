#include <csignal>

#include "scene.h"

namespace vanillaladder::schedule {
namespace {

using namespace std::chrono_literals;

/// Longer than the time in which a daemon notices that its reads fail.
constexpr auto notice_time = 4s;

}  // namespace

// Guards against a leader that can store, but not read, and therefore starts
// nothing, although another daemon could.
TEST_CASE("a daemon that can't read does not lead if another one can") {
  scene s;
  for (std::size_t round = 0; round < s.cluster.daemon_count(); ++round) {
    auto leader = s.cluster.wait_for_leader();
    auto cut_off = (leader + 1 + round % 2) % s.cluster.daemon_count();
    s.cluster.set_store({{"silent_doors", std::to_string(cut_off)},
                         {"silent_reads", "jobs,operator,workers"}});
    scene::pass(notice_time);
    s.cluster.process(leader).send_signal(SIGKILL);
    REQUIRE(s.cluster.process(leader).wait_for_exit());
    auto next = s.cluster.wait_for_leader();
    INFO("round " << round);
    CHECK(next != cut_off);
    s.cluster.set_store({{"silent_reads", ""}});
    s.cluster.restart(leader);
    REQUIRE(s.cluster.wait_until_ready());
    s.complete_one();
  }
  s.check_promises();
}

// Guards against a daemon with low capacity that leads for good, because it
// claimed while the others did not reach the store.
TEST_CASE("a daemon with more processor leads once it reaches the store") {
  harness::platform_options options;
  options.processor_shares = {0.5, 0.1, 0.1};
  scene s(options);
  s.cluster.set_store({{"outage", "silent"}, {"outage_doors", "0"}});
  REQUIRE(eventually([&] { return s.cluster.leader().value_or(0) != 0; }));
  auto lasting_job = s.submit(1, 4, lasting);
  REQUIRE(s.runs(lasting_job, 4));
  s.cluster.set_store({{"outage", "none"}});
  CHECK(eventually([&] { return s.cluster.leader() == 0U; }));
  s.complete_one();
  CHECK(s.runs(lasting_job, 4));
  CHECK(s.cluster.starts_of(lasting_job).size() == 4);
  s.check_promises();
}

}  // namespace vanillaladder::schedule
