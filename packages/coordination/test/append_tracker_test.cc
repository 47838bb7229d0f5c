#include "coordination/append_tracker.h"

#include <catch2/catch.hpp>

#include "support.h"

namespace vanillaladder::coordination {
namespace {

record_id add(append_tracker& tracker, std::int64_t now) {
  auto id = tracker.next_id();
  tracker.add(id, std::to_string(id.sequence), at_ms(now));
  return id;
}

}  // namespace

// Guards the append rate limit: at most one append per shard every 50 ms.
TEST_CASE("records are batched while an append is in flight and for 50 ms") {
  append_tracker tracker("a", 1);
  CHECK_FALSE(tracker.poll(at_ms(0)));
  add(tracker, 0);
  auto first = tracker.poll(at_ms(0));
  REQUIRE(first);
  CHECK(first->records == std::vector<std::string>{"1"});
  add(tracker, 1);
  add(tracker, 2);
  CHECK_FALSE(tracker.poll(at_ms(60)));
  tracker.on_acknowledged(first->number, 10);
  CHECK(tracker.poll(at_ms(60))->records.size() == 2);

  append_tracker rate_limited("a", 1);
  add(rate_limited, 0);
  auto sent = rate_limited.poll(at_ms(0));
  rate_limited.on_acknowledged(sent->number, 0);
  add(rate_limited, 1);
  CHECK(rate_limited.next_poll() == at_ms(50));
  CHECK_FALSE(rate_limited.poll(at_ms(49)));
  CHECK(rate_limited.poll(at_ms(50)));
}

// Guards against an outcome that is taken from a response instead of the log.
TEST_CASE("a record is resolved only by reading it back") {
  append_tracker tracker("a", 1);
  auto id = add(tracker, 0);
  auto other = add(tracker, 0);
  auto batch = tracker.poll(at_ms(0));
  tracker.on_acknowledged(batch->number, 10);
  CHECK(tracker.unresolved() == 2);
  CHECK_FALSE(tracker.on_read(9, {"b", 1, 1}, true, false));
  CHECK_FALSE(tracker.on_read(9, {"a", 2, 1}, true, false));
  auto valid = tracker.on_read(10, id, true, false);
  REQUIRE(valid);
  CHECK(valid->outcome == append_outcome::valid);
  CHECK_FALSE(tracker.on_read(12, id, false, true));
  auto invalid = tracker.on_read(11, other, false, false);
  CHECK(invalid->outcome == append_outcome::invalid);
  CHECK(tracker.unresolved() == 0);
}

// Guards against lost records after a failed append, and after an acknowledged
// append whose record was corrupt.
TEST_CASE("unread records are appended again under the same id") {
  append_tracker tracker("a", 1);
  auto id = add(tracker, 0);
  auto lost = add(tracker, 0);
  auto first = tracker.poll(at_ms(0));
  tracker.on_failed(first->number, at_ms(100));
  tracker.on_acknowledged(first->number, 3);
  CHECK_FALSE(tracker.poll(at_ms(599)));
  auto second = tracker.poll(at_ms(600));
  REQUIRE(second);
  CHECK(second->records == first->records);
  CHECK(tracker.retried() == 2);
  CHECK(tracker.on_read(4, id, true, false)->outcome == append_outcome::valid);
  tracker.on_acknowledged(second->number, 5);
  tracker.on_read_position(6, at_ms(700));
  CHECK_FALSE(tracker.poll(at_ms(700)));
  tracker.on_read_position(7, at_ms(700));
  CHECK(tracker.poll(at_ms(700))->records == std::vector<std::string>{"2"});
  CHECK(tracker.on_read(8, lost, true, false)->offset == 8);
}

// Guards against reporting "not run" for a record that may still take effect.
TEST_CASE("the outcome of an abandoned record is unknown once it was sent") {
  append_tracker tracker("a", 1);
  auto sent = add(tracker, 0);
  tracker.poll(at_ms(0));
  auto queued = add(tracker, 1);
  CHECK(tracker.abandon(sent)->outcome == append_outcome::unknown);
  CHECK(tracker.abandon(queued)->outcome == append_outcome::invalid);
  CHECK_FALSE(tracker.abandon(queued));
  CHECK_FALSE(tracker.on_read(0, sent, true, false));
}

// Guards against a made-up outcome for a record whose first copy is covered by
// a snapshot, so that its verdict is not known.
TEST_CASE("an unresolved record that is read as a duplicate is unknown") {
  append_tracker tracker("a", 1);
  auto id = add(tracker, 0);
  CHECK(tracker.on_read(5, id, false, true)->outcome ==
        append_outcome::unknown);
}

}  // namespace vanillaladder::coordination
