#include "http/detail/connection_ledger.h"

#include <catch2/catch.hpp>

namespace vanillaladder::http::detail {
namespace {

using namespace std::chrono_literals;
using activity = connection_ledger::activity;

const connection_ledger::time_point start{100s};

struct fixture {
  connection_ledger ledger;

  connection_ledger::connection_id add(
      activity doing, std::size_t bytes,
      connection_ledger::time_point progress = start,
      std::uint64_t answered = 0) {
    auto id = ledger.add(start);
    auto& entry = ledger.at(id);
    entry.last_progress = progress;
    entry.answered = answered;
    ledger.update(id, doing, bytes);
    return id;
  }
};

}  // namespace

TEST_CASE("the memory of all connections is counted") {
  fixture f;
  auto first = f.add(activity::receiving, 100);
  f.add(activity::answering, 50);
  f.ledger.update(first, activity::receiving, 300);
  REQUIRE(f.ledger.buffered_bytes() == 350);
  REQUIRE(f.ledger.answering_bytes() == 50);
  f.ledger.remove(first);
  REQUIRE(f.ledger.buffered_bytes() == 50);
}

// pattern: a crowd sends large bodies and stops just short of their end.
TEST_CASE("pattern: stalled bodies give way before one that moves") {
  fixture f;
  auto stalled = f.add(activity::receiving, 100, start - 2s);
  f.add(activity::receiving, 200, start - 1s);
  f.add(activity::receiving, 900, start);
  REQUIRE(f.ledger.pick_for_memory(start) == stalled);
}

TEST_CASE("pattern: the largest body gives way while all of them move") {
  fixture f;
  f.add(activity::receiving, 100, start - 100ms);
  auto largest = f.add(activity::receiving, 900, start);
  f.add(activity::answering, 5000, start);
  REQUIRE(f.ledger.pick_for_memory(start) == largest);
}

TEST_CASE("a request that is being answered never gives way") {
  fixture f;
  auto answering = f.add(activity::answering, 5000, start - 20s);
  REQUIRE_FALSE(f.ledger.pick_for_memory(start).has_value());
  REQUIRE_FALSE(f.ledger.pick_for_room(answering + 1).has_value());
  REQUIRE_FALSE(f.ledger.is_overdue(f.ledger.at(answering), start, 10s, 15s));
}

// pattern: a crowd opens connections and leaves them idle.
TEST_CASE("pattern: connections without a request give way to new ones first") {
  fixture f;
  f.add(activity::idle, 0, start - 9s, 4);
  f.add(activity::receiving, 10, start - 9s);
  auto unused = f.add(activity::idle, 0, start - 1s);
  auto newest = f.add(activity::idle, 0, start);
  REQUIRE(f.ledger.pick_for_room(newest) == unused);
  f.ledger.remove(unused);
  // Then the idle connection of a caller that was served.
  REQUIRE(f.ledger.at(*f.ledger.pick_for_room(newest)).answered == 4);
}

TEST_CASE("headers that take too long and idle connections are overdue") {
  fixture f;
  auto id = f.add(activity::receiving, 10, start);
  f.ledger.at(id).began_at = start - 11s;
  REQUIRE(f.ledger.is_overdue(f.ledger.at(id), start, 10s, 30s));
  // A body may take longer as long as it makes progress.
  f.ledger.at(id).has_head = true;
  REQUIRE_FALSE(f.ledger.is_overdue(f.ledger.at(id), start, 10s, 30s));
  REQUIRE(f.ledger.is_overdue(f.ledger.at(id), start + 31s, 10s, 30s));
}

}  // namespace vanillaladder::http::detail
