#include <algorithm>
#include <utility>

#include "scene.h"

namespace vanillaladder::process {
namespace {

/// @return starts on workers of the domain, from an event number on.
std::vector<json> starts_in(scene& s, const std::string& domain,
                            std::int64_t from) {
  std::set<std::string> members;
  for (std::size_t n = 0; n < 6; ++n) {
    if (s.cluster.domain_of(n) == domain) {
      members.insert(harness::cluster::worker_id(n));
    }
  }
  std::vector<json> found;
  for (const auto& event : s.cluster.workers().events("start")) {
    if (event.at("seq") >= from && members.contains(event.at("worker"))) {
      found.push_back(event);
    }
  }
  return found;
}

/// @return every stop of a task with its next start.
std::vector<std::pair<json, json>> resumed_starts(scene& s) {
  std::vector<std::pair<json, json>> pairs;
  auto events = s.cluster.workers().events();
  for (auto stop = events.begin(); stop != events.end(); ++stop) {
    if (stop->value("state", "") != "stopped") {
      continue;
    }
    auto start = std::find_if(stop, events.end(), [&](const json& event) {
      return event.at("event") == "start" &&
             event.at("task") == stop->at("task");
    });
    pairs.emplace_back(*stop, start == events.end() ? json::object() : *start);
  }
  return pairs;
}

std::int64_t next_event(scene& s) {
  auto events = s.cluster.workers().events();
  return events.empty() ? 0 : events.back().at("seq").get<std::int64_t>() + 1;
}

}  // namespace

// Guards against starts in a domain that is out, and against tasks that are
// lost, repeated or started from the beginning when they are moved out of it.
TEST_CASE("a domain is emptied, stays empty and is used again") {
  scene s;
  auto moved = s.submit_many("moved-", 24, 15000);
  REQUIRE(eventually([&] { return s.running_tasks() == 24; }));
  auto before = starts_in(s, "domain-1", 0);
  CHECK_FALSE(before.empty());
  s.apply(1, "out", {{"domain.domain-1.state", "out"}});
  auto out_since = next_event(s);
  CHECK(s.all_finish(0, s.submit_many("while-out-", 12, 500)));
  CHECK(s.all_finish(1, moved));
  CHECK(starts_in(s, "domain-1", out_since).empty());
  auto resumed = resumed_starts(s);
  CHECK(resumed.size() == before.size());
  for (const auto& [stop, start] : resumed) {
    INFO(stop.dump());
    CHECK(start.value("from_checkpoint", "none") == stop.at("checkpoint"));
  }
  s.check_finished_once(36);
  s.apply(2, "in", {{"domain.domain-1.state", "in"}});
  auto in_since = next_event(s);
  // Starts are spread out on return, so more jobs may be needed.
  int round = 0;
  CHECK(eventually([&] {
    auto prefix = "back-" + std::to_string(++round) + "-";
    return s.all_finish(0, s.submit_many(prefix, 12, 100)) &&
           !starts_in(s, "domain-1", in_since).empty();
  }));
  s.check_finished_once(36 + static_cast<std::size_t>(round) * 12);
  s.check_promises();
}

// Guards against a worker that is drained by an operator and gets new tasks.
TEST_CASE("a draining worker gets no starts") {
  scene s;
  s.apply(0, "drain", {{"instance.worker-1.state", "draining"}});
  CHECK(s.all_finish(1, s.submit_many("elsewhere-", 24, 200)));
  for (const auto& event : s.cluster.workers().events("start")) {
    CHECK(event.at("worker") != "worker-1");
  }
  s.check_promises();
}

}  // namespace vanillaladder::process
