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

}  // namespace vanillaladder::schedule
