#include "dispatch/topic_follower.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "daemon_fixture.h"
#include "dispatch/clock.h"

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

/// A follower of a topic that is loaded in pages of one key.
struct paged_fixture : daemon_fixture {
  std::vector<std::string> applied;
  topic_follower paged{
      loop,
      store,
      {"paged", 1ms, 1ms},
      {[this](auto key, auto) { applied.emplace_back(key); }, {}},
      report};

  paged_fixture() {
    store.keys_per_page = 1;
    store.topic = {{"a", "1"}, {"b", "1"}, {"c", "1"}};
    store.unreadable_after = "b";
    store.pages_requested.clear();
    paged.start();
    run_until(
        [this] { return std::ranges::count(store.pages_requested, "b") > 2; });
  }
};

// Guards against loads that begin anew at each lost page: they may never end,
// and the loads of many daemons use up the rate of reads.
TEST_CASE("a load goes on with the page that was not answered") {
  paged_fixture f;
  REQUIRE(std::ranges::count(f.store.pages_requested, "") == 1);
  REQUIRE_FALSE(f.paged.loaded());
  f.store.unreadable_after.reset();
  f.run_until([&] { return f.paged.loaded(); });
  REQUIRE(f.applied == std::vector<std::string>{"a", "b", "c"});
}

// Guards against decisions on a copy that lacks the records of a load that has
// not ended.
TEST_CASE("a copy is not current before the load has ended") {
  paged_fixture f;
  REQUIRE(f.paged.current_as_of() == model::time_point());
  auto before = boot_now();
  f.store.unreadable_after.reset();
  f.run_until([&] { return f.paged.loaded(); });
  f.run_until([&] { return f.paged.current_as_of() >= before; });
  // The history of the topic goes, and with it the records on the last page.
  auto last = f.paged.current_as_of();
  f.store.unreadable_after = "b";
  f.store.topic.push_back({"a", "2"});
  f.store.topic.push_back({"a", "3"});
  f.store.first_retained = 5;
  f.store.pages_requested.clear();
  f.run_until(
      [&] { return std::ranges::count(f.store.pages_requested, "b") > 1; });
  last = f.paged.current_as_of();
  bool fresh = true;
  f.paged.refresh([&](bool is_fresh) { fresh = is_fresh; });
  f.run_until([&] { return !fresh; });
  REQUIRE(f.paged.current_as_of() == last);
}

// Guards against an answer that is cut at its size limit and counts as the
// whole topic.
TEST_CASE("a copy is not current before it has reached the end of the topic") {
  paged_fixture f;
  f.store.unreadable_after.reset();
  f.run_until([&] { return f.paged.loaded(); });
  f.store.records_per_read = 1;
  auto added_at = boot_now();
  f.store.topic.push_back({"a", "2"});
  f.store.topic.push_back({"b", "2"});
  bool fresh = true;
  f.paged.refresh([&](bool is_fresh) {
    fresh = is_fresh;
    // Until the next answer the copy lacks a record.
    CHECK((f.paged.next() == 5 || f.paged.current_as_of() <= added_at));
  });
  f.run_until([&] { return !fresh; });
  f.run_until([&] { return f.paged.next() == 5; });
  f.run_until([&] { return f.paged.current_as_of() > added_at; });
}

// Guards against a load that waits for a read on a silent connection, although
// another read has shown that the history is gone.
TEST_CASE("a refresh that finds the history gone begins a load") {
  fixture f;
  f.add_record();
  f.add_record();
  auto end = static_cast<model::offset>(f.store.topic.size());
  f.store.first_retained = end;
  // The regular read comes only after its pause of a minute.
  bool fresh = true;
  f.slow.refresh([&](bool is_fresh) { fresh = is_fresh; });
  f.run_until([&] { return !fresh; });
  f.run_until([&] { return f.slow.next() == end; });
}

// Guards against the loss of a record that this daemon appended after the page
// with its key was read.
TEST_CASE("a load keeps the keys that were stored meanwhile") {
  daemon_fixture f;
  f.store.keys_per_page = 1;
  f.store.topic = {{"b", "1"}, {"c", "1"}};
  f.store.unreadable_after = "b";
  f.store.pages_requested.clear();
  std::set<std::string> kept;
  topic_follower paged{
      f.loop,
      f.store,
      {"paged", 1ms, 1ms},
      {[](auto, auto) {},
       [&](const std::set<std::string>& keys) { kept = keys; }},
      f.report};
  paged.note_stored("before");
  paged.start();
  f.run_until(
      [&] { return std::ranges::count(f.store.pages_requested, "b") > 1; });
  paged.note_stored("a");
  f.store.unreadable_after.reset();
  f.run_until([&] { return paged.loaded(); });
  REQUIRE(kept == std::set<std::string>{"a", "b", "c"});
}

}  // namespace
}  // namespace vanillaladder::dispatch
