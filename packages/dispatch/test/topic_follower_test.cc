#include "dispatch/topic_follower.h"

#include <catch2/catch.hpp>

#include "daemon_fixture.h"

namespace vanillaladder::dispatch {
namespace {

using namespace std::chrono_literals;

/// A follower that pauses for long after each read that returned records.
struct fixture : daemon_fixture {
  int applied = 0;
  topic_follower slow{loop,
                      store,
                      {"other", 1ms, 60s},
                      {[this](auto, auto) { ++applied; }, {}},
                      report};

  fixture() {
    store.topic.push_back({"k", "1"});
    slow.start();
    run_until([this] { return applied == 1; });
    add_record();
    run_until([this] { return applied == 2; });
  }

  void add_record() { store.topic.push_back({"k", "2"}); }
  void wait(std::chrono::milliseconds time) {
    bool elapsed = false;
    loop.call_after(time, [&] { elapsed = true; });
    run_until([&] { return elapsed; });
  }
};

TEST_CASE("a pause delays the next read, a refresh does not wait for it") {
  fixture f;
  f.add_record();
  f.wait(50ms);
  REQUIRE(f.applied == 2);
  bool refreshed = false;
  f.slow.refresh([&](bool fresh) { refreshed = fresh; });
  f.run_until([&] { return refreshed; });
  REQUIRE(f.applied == 3);
}

// Guards against a new leader that waits for the end of a pause between reads.
TEST_CASE("a shorter pause ends the current pause") {
  fixture f;
  f.add_record();
  f.slow.set_read_pause(1ms);
  f.run_until([&] { return f.applied == 3; });
  f.add_record();
  f.run_until([&] { return f.applied == 4; });
}

}  // namespace
}  // namespace vanillaladder::dispatch
