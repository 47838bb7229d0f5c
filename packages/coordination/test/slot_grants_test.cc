#include "coordination/slot_grants.h"

#include <catch2/catch.hpp>

#include "coordination/view_freshness.h"
#include "support.h"

namespace vanillaladder::coordination {
namespace {

constexpr std::uint32_t slots = 8;
constexpr std::int64_t longest_request_ms = 30000;
const std::string backends[] = {"b-1", "b-2"};

/// One process, which applies the log, verifies its view and uses its grants.
/// Its requests keep their slots when it crashes.
struct daemon {
  member_key self;
  control_state state;
  view_freshness view{self};
  grant_tracker tracker{self};
  bool running = true;
  std::map<std::string, std::vector<std::int64_t>> request_ends;

  bool within_grant() const {
    for (const auto& backend : backends) {
      auto held = request_ends.find(backend);
      if (held != request_ends.end() &&
          held->second.size() > tracker.limit(backend, slots)) {
        return false;
      }
    }
    return true;
  }
};

/// Daemons, a log and a clock, driven by random steps.
struct simulation {
  std::vector<control_record> log;
  std::vector<daemon> daemons;
  std::int64_t now = 0;
  std::uint64_t sequence = 0;
  std::uint64_t started = 0;
  model::incarnation last_incarnation = 0;

  void append(control_body body) {
    log.push_back({{"log", 1, ++sequence}, std::move(body)});
  }
  void join() {
    if (daemons.size() >= 12) {
      return;
    }
    daemon added;
    added.self = {"m" + std::to_string(random_below(5)), ++last_incarnation};
    // A new process of an instance replaces the previous one.
    for (auto& other : daemons) {
      other.running = other.running && other.self.first != added.self.first;
    }
    added.view = view_freshness(added.self);
    added.tracker = grant_tracker(added.self);
    append(member_joined{member(added.self.first, added.self.second)});
    daemons.push_back(added);
  }
  daemon& random_daemon() { return daemons[random_below(daemons.size())]; }

  void read(daemon& reader, std::uint32_t count) {
    auto end = static_cast<model::offset>(log.size());
    for (std::uint32_t i = 0; i < count && reader.state.applied() + 1 < end;
         ++i) {
      auto offset = reader.state.applied() + 1;
      reader.state.apply(offset, log[static_cast<std::size_t>(offset)]);
    }
    reader.view.set_members(reader.state.view());
    reader.view.set_applied(reader.state.applied());
    if (reader.state.applied() + 1 == end) {
      reader.view.on_log_end(at_ms(now), end);
    }
    reader.tracker.on_state(reader.state, at_ms(now));
    report(reader, reader);
  }
  void report(daemon& receiver, const daemon& sender) {
    receiver.tracker.on_report(
        {sender.self, sender.tracker.newest_view(), sender.within_grant()},
        at_ms(now));
  }
  void send_heartbeats(daemon& sender) {
    auto round = sender.view.start_round(at_ms(now));
    for (auto& peer : daemons) {
      if (!peer.running || peer.self == sender.self || random_below(3) == 0) {
        continue;
      }
      sender.view.on_heartbeat_response(
          round, {peer.self, peer.state.applied(), peer.view.recovered()});
      report(sender, peer);
      report(peer, sender);
    }
  }
  void send_request(daemon& sender, const std::string& backend) {
    sender.tracker.on_tick(at_ms(now));
    auto& held = sender.request_ends[backend];
    if (sender.view.state(at_ms(now)) == freshness::fresh &&
        held.size() < sender.tracker.limit(backend, slots)) {
      held.push_back(now + longest_request_ms);
      ++started;
    }
  }
  void release(daemon& leaving) {
    bool idle =
        std::all_of(leaving.request_ends.begin(), leaving.request_ends.end(),
                    [](const auto& held) { return held.second.empty(); });
    if (idle) {
      leaving.running = false;
      append(member_left{leaving.self.first, leaving.self.second,
                         leave_reason::graceful});
    }
  }
  void advance(std::int64_t ms) {
    now += ms;
    for (auto& daemon : daemons) {
      for (auto& [backend, held] : daemon.request_ends) {
        std::erase_if(held, [&](auto end) { return end <= now; });
      }
    }
  }
  void step() {
    auto kind = random_below(100);
    daemon& one = random_daemon();
    if (kind < 2) {
      join();
    } else if (kind < 4) {
      append(
          member_left{one.self.first, one.self.second, leave_reason::expelled});
    } else if (kind < 5) {
      one.running = false;
    } else if (!one.running) {
      return;
    } else if (kind < 30) {
      read(one, 1 + random_below(3));
    } else if (kind < 55) {
      send_heartbeats(one);
    } else if (kind < 93) {
      send_request(one, backends[kind % 2]);
    } else if (kind < 94) {
      release(one);
    } else {
      advance(random_below(2) == 0 ? 500 : random_below(20000));
    }
  }
  std::size_t used_slots(const std::string& backend) const {
    std::size_t sum = 0;
    for (const auto& daemon : daemons) {
      auto found = daemon.request_ends.find(backend);
      sum += found == daemon.request_ends.end() ? 0 : found->second.size();
    }
    return sum;
  }
};

}  // namespace

// Guards against slots that are granted twice or to nobody.
TEST_CASE("the grants of a view add up to the number of slots") {
  check_property("sum", 31, [] {
    std::set<member_key> members;
    auto count = 1 + random_below(12);
    for (std::uint32_t i = 0; i < count; ++i) {
      members.emplace("m" + std::to_string(random_below(100)), 1);
    }
    auto backend = "b" + std::to_string(random_below(1000));
    auto capacity = random_below(65);
    std::uint32_t sum = 0;
    for (const auto& [id, incarnation] : members) {
      sum += slots_granted(members, backend, capacity, id);
    }
    RC_ASSERT(sum == capacity);
    RC_ASSERT(slots_granted(members, backend, capacity, "other") == 0U);
  });
}

// Guards against overloaded backend servers: over all processes, including
// crashed, partitioned and removed ones, there are never more requests than
// slots.
TEST_CASE("requests never exceed the slots during membership changes") {
  std::uint64_t started = 0;
  check_property(
      "slots", 32,
      [&] {
        simulation world;
        for (int i = 0; i < 3; ++i) {
          world.join();
        }
        for (int i = 0; i < 600; ++i) {
          world.step();
          for (const auto& backend : backends) {
            RC_ASSERT(world.used_slots(backend) <= slots);
          }
        }
        started += world.started;
      },
      300);
  // The property is meaningless if no daemon ever obtains a grant.
  CHECK(started > 1000);
}

// Guards against grants that never become usable after a membership change.
TEST_CASE(
    "a new member gets its grant once all members have applied its view") {
  simulation world;
  world.append(member_joined{member("a")});
  world.append(member_joined{member("b")});
  for (const char* id : {"a", "b"}) {
    daemon added;
    added.self = {id, 1};
    added.view = view_freshness(added.self);
    added.tracker = grant_tracker(added.self);
    world.daemons.push_back(added);
  }
  auto& a = world.daemons[0];
  auto& b = world.daemons[1];
  world.read(a, 2);
  world.read(b, 2);
  CHECK(a.tracker.limit("b-1", slots) == 4);
  CHECK(b.tracker.limit("b-1", slots) == 0);
  world.report(a, b);
  CHECK_FALSE(b.tracker.transition_complete());
  world.report(b, a);
  CHECK(a.tracker.limit("b-1", slots) == 4);
  CHECK(b.tracker.limit("b-1", slots) == 4);
}

// Guards against slots of a crashed member that are granted to others while its
// requests may still run, or that are never granted again.
TEST_CASE("slots of an expelled member are granted after the handover delay") {
  control_state state;
  grant_tracker tracker({"a", 1});
  state.apply(0, {{"w", 1, 1}, member_joined{member("a")}});
  state.apply(1, {{"w", 1, 2}, member_joined{member("b")}});
  state.apply(2, {{"w", 1, 3}, member_joined{member("c")}});
  tracker.on_state(state, at_ms(0));
  for (const char* id : {"a", "b", "c"}) {
    tracker.on_report({{id, 1}, 2, true}, at_ms(0));
  }
  state.apply(3, {{"w", 1, 4}, member_left{"c", 1, leave_reason::expelled}});
  tracker.on_state(state, at_ms(1000));
  tracker.on_report({{"a", 1}, 3, true}, at_ms(1000));
  CHECK(tracker.limit("b-1", 9) == 3);
  tracker.on_report({{"b", 1}, 3, true}, at_ms(2000));
  tracker.on_tick(at_ms(2000 + 32319));
  CHECK(tracker.limit("b-1", 8) <= 3);
  tracker.on_tick(at_ms(2000 + 32320));
  CHECK(tracker.limit("b-1", 8) == 4);
}

}  // namespace vanillaladder::coordination
