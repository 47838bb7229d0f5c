#include "dispatch/lost_worker_list.h"

#include <catch2/catch.hpp>

#include "daemon_fixture.h"
#include "dispatch/leadership.h"

namespace vanillaladder::dispatch {
namespace {

using namespace std::chrono_literals;

const model::time_point start{100s};

std::vector<batch::lost_worker> lost(const std::string& id,
                                     model::time_point ends_at) {
  return {{id, ends_at}};
}

TEST_CASE("a list is decoded unchanged, invalid text is rejected") {
  lost_worker_record record{"front-1-77", 3, {{"w1", 2500ms}, {"w2", 0ms}}};
  REQUIRE(decode_lost_workers(encode(record)) == record);
  REQUIRE(decode_lost_workers("a 1") == lost_worker_record{"a", 1, {}});
  record.workers.push_back({"w3", 10ms, 20ms});
  REQUIRE(decode_lost_workers(encode(record)) == record);
  for (const char* text :
       {"", "a", "a x", "a 1 w1", "a 1 w1 x", "a 1 w1 -5", "a 1 w1 5/",
        "a 1 w1 5/x", "a 1 w1 5/-6", "a 1 w1 5/6/7", "a 1 w1 /6"}) {
    REQUIRE_FALSE(decode_lost_workers(text).has_value());
  }
}

TEST_CASE("nothing is stored while no worker is lost") {
  lost_worker_list list("a");
  REQUIRE_FALSE(list.prepare_record(std::nullopt, start).has_value());
  REQUIRE_FALSE(list.prepare_record({{}}, start).has_value());
}

// Guards against a bound that counts anew with each change of the leader.
TEST_CASE("the bound on a lease is passed on from leader to leader") {
  lost_worker_list first("a");
  auto record = first.prepare_record(lost("w1", start + 5s), start);
  auto now = start + 100ms;
  for (int n = 0; n < 4; ++n) {
    lost_worker_list next("b" + std::to_string(n));
    next.on_record(*record, now);
    now += 1s;
    record = next.prepare_record(std::nullopt, now);
    REQUIRE(record.has_value());
  }
  REQUIRE(record->workers.front().remaining == 1000ms);
}

// The same for the bound that counts if a later process has started.
TEST_CASE("the bound after a restart is passed on from leader to leader") {
  lost_worker_list first("a");
  auto worker = lost("w1", start + 5s);
  worker.front().later_lease_ends_at = start + 11s;
  auto record = first.prepare_record(worker, start);
  auto now = start;
  for (int n = 0; n < 4; ++n) {
    lost_worker_list next("b" + std::to_string(n));
    next.on_record(*record, now);
    now += 1s;
    record = next.prepare_record(std::nullopt, now);
  }
  REQUIRE(record->workers.front().remaining == 1s);
  REQUIRE(record->workers.front().remaining_after_restart == 7s);
  lost_worker_list last("c");
  last.on_record(*record, now);
  REQUIRE(last.workers().front().later_lease_ends_at == start + 11s);
}

// Guards against a successor that relies on a list although the worker has been
// given a lease since.
TEST_CASE("a listed worker gets a lease only after a list without it") {
  lost_worker_list list("a");
  auto listed = list.prepare_record(lost("w1", start + 5s), start);
  // Without an answer it may be stored all the same.
  REQUIRE_FALSE(list.may_extend_lease("w1"));
  REQUIRE(list.may_extend_lease("w2"));
  list.on_record(*listed, start + 10ms);
  auto cleared = list.prepare_record({{}}, start + 400ms);
  REQUIRE(cleared.has_value());
  REQUIRE_FALSE(list.may_extend_lease("w1"));
  list.on_record(*cleared, start + 410ms);
  REQUIRE(list.may_extend_lease("w1"));
  REQUIRE_FALSE(list.prepare_record({{}}, start + 800ms).has_value());
}

TEST_CASE("lists without an answer do not pile up") {
  lost_worker_list list("a");
  for (int n = 0; n < 100; ++n) {
    list.prepare_record(lost("w" + std::to_string(n), start + 5s), start);
  }
  auto last = list.prepare_record({{}}, start);
  REQUIRE_FALSE(list.may_extend_lease("w0"));
  list.on_record(*last, start);
  REQUIRE(list.may_extend_lease("w0"));
}

TEST_CASE("a list has a bounded number of workers, those that end first") {
  lost_worker_list list("a");
  std::vector<batch::lost_worker> many;
  many.reserve(600);
  for (int n = 0; n < 600; ++n) {
    many.push_back({"w" + std::to_string(n), start + 10s - n * 1ms});
  }
  auto record = list.prepare_record(many, start);
  REQUIRE(record->workers.size() == lost_worker_list::max_workers);
  REQUIRE(record->workers.front().id == "w599");
  REQUIRE(list.may_extend_lease("w0"));
}

// Guards against a list that is prepared, but not stored with the lease.
TEST_CASE("the holder stores lost workers with its renewals") {
  daemon_fixture f;
  int won = 0;
  std::vector<batch::lost_worker> workers;
  leadership_options options;
  options.holder_id = "a-1";
  options.topic = "keyed.lease";
  options.renewal_interval = 105ms;
  leadership::listener handlers{[&](model::epoch) { ++won; }, [] {}};
  handlers.lost_workers = [&] { return std::optional(workers); };
  leadership lead(f.loop, f.store, options, handlers, f.report);
  lead.start();
  f.run_until([&] { return won == 1; });
  REQUIRE(lead.may_extend_lease("w1"));
  workers = lost("w1", start);
  f.run_until([&] { return !lead.lost_workers().empty(); });
  REQUIRE_FALSE(lead.may_extend_lease("w1"));
  workers.clear();
  f.run_until([&] { return lead.may_extend_lease("w1"); });
  REQUIRE(lead.valid());
}

}  // namespace
}  // namespace vanillaladder::dispatch
