#include "dispatch/append_batcher.h"

#include <catch2/catch.hpp>

#include "daemon_fixture.h"

namespace vanillaladder::dispatch {
namespace {

struct fixture : daemon_fixture {
  append_batcher appends{loop, store, "jobs"};
  int stored = 0;
  int failed = 0;

  void add(const std::string& key, std::size_t bytes = 1) {
    appends.add({key, std::string(bytes, 'x')},
                [this](const absl::StatusOr<model::offset>& end) {
                  ++(end.ok() ? stored : failed);
                });
  }
};

// Guards against one append per submission, which queue up at a slow store that
// executes them one at a time.
TEST_CASE("records that arrive during an append share the next one") {
  fixture f;
  for (int n = 0; n < 5; ++n) {
    f.add("k" + std::to_string(n));
  }
  f.run_until([&] { return f.stored == 5; });
  REQUIRE(f.store.appends == 2);
  REQUIRE(f.store.topic.size() == 5);
  REQUIRE(f.store.topic[4].key == "k4");
}

// Guards against submissions that time out behind a lost answer: callers wait
// only a little longer than the timeout of an append.
TEST_CASE("a lost answer delays further records only briefly") {
  fixture f;
  f.store.drops_answers = true;
  f.add("a");
  f.store.drops_answers = false;
  f.add("b");
  f.run_until([&] { return f.stored == 1; });
  REQUIRE(f.store.topic.size() == 2);
}

TEST_CASE("a failed append fails all of its records and no others") {
  fixture f;
  f.add("a");
  f.add("b");
  f.add("c");
  f.store.unreachable = true;
  f.run_until([&] { return f.stored + f.failed == 3; });
  REQUIRE(f.stored == 1);
  REQUIRE(f.failed == 2);
  f.store.unreachable = false;
  f.add("d");
  f.run_until([&] { return f.stored == 2; });
  REQUIRE(f.store.topic.back().key == "d");
}

TEST_CASE("a batch of several records stays below the size limit") {
  fixture f;
  f.add("a");
  for (int n = 0; n < 3; ++n) {
    f.add("b", append_batcher::max_batch_bytes / 2 + 1);
  }
  f.run_until([&] { return f.stored == 4; });
  REQUIRE(f.store.appends == 4);
}

}  // namespace
}  // namespace vanillaladder::dispatch
