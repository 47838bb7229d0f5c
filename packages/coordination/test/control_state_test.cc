#include "coordination/control_state.h"

#include <catch2/catch.hpp>

#include "support.h"

namespace vanillaladder::coordination {
namespace {

/// The control stream, written by one writer.
struct control_stream {
  control_state state;
  model::offset next = 0;
  std::uint64_t sequence = 0;

  control_result add(control_body body) {
    return state.apply(next++, {{"w", 1, ++sequence}, std::move(body)});
  }
  control_result patch(const std::string& id, std::uint64_t seen,
                       config_keys set) {
    return add(patch_published{
        id, "author-" + id, "", state.version(), seen, std::move(set), {}});
  }
};

/// Reference model: compares every patch with all accepted patches.
struct reference_model {
  struct accepted_patch {
    std::uint64_t version = 0;
    patch_published patch;
  };
  std::uint64_t version = 0;
  std::uint64_t revision = 0;
  std::vector<accepted_patch> patches;
  config_keys keys;

  bool apply(const patch_published& patch) {
    bool valid = patch.version == version && patch.seen_revision <= revision;
    std::uint64_t number = 0;
    for (const auto& earlier : patches) {
      if (earlier.version != version || ++number <= patch.seen_revision) {
        continue;
      }
      for (const auto& [key, value] : patch.set) {
        valid = valid && !earlier.patch.set.contains(key);
      }
    }
    if (valid) {
      patches.push_back({version, patch});
      ++revision;
      for (const auto& [key, value] : patch.set) {
        keys[key] = value;
      }
    }
    return valid;
  }
  bool apply(const version_created& created) {
    bool valid = created.version == version + 1 &&
                 created.base_version == version &&
                 created.base_revision == revision;
    if (valid) {
      version = created.version;
      revision = 0;
      for (const auto& [key, value] : created.set) {
        keys[key] = value;
      }
    }
    return valid;
  }
};

std::string random_key() {
  return "k" + std::to_string(random_below(4));
}

}  // namespace

// Guards against lost updates: of two operators who change the same key, only
// one may be told "accepted".
TEST_CASE("the first patch of a key wins, the second gets both values") {
  control_stream log;
  CHECK(log.patch("a", 0, {{"queue.alpha", "1"}}).valid());
  CHECK(log.patch("b", 0, {{"retry.max_attempts", "2"}}).valid());
  auto refused = log.patch("c", 1, {{"retry.max_attempts", "3"}});
  REQUIRE(refused.verdict == control_verdict::conflict);
  CHECK(refused.conflicts ==
        std::vector<key_conflict>{
            {"retry.max_attempts", "3", "2", "author-c", "author-b", "b"}});
  CHECK(log.patch("d", 2, {{"retry.max_attempts", "3"}}).valid());
  CHECK(log.state.value("retry.max_attempts") == "3");
}

// Guards against a repeated patch that takes effect twice, or that gets another
// verdict than its author was given.
TEST_CASE("a repeated patch id gets the first verdict") {
  control_stream log;
  auto first = log.patch("a", 0, {{"queue.alpha", "1"}});
  log.patch("b", 1, {{"queue.alpha", "2"}});
  auto repeat = log.patch("a", 0, {{"queue.alpha", "1"}});
  CHECK(repeat.valid());
  CHECK(repeat.decided_at == first.decided_at);
  CHECK(log.state.value("queue.alpha") == "2");
  CHECK(log.patch("c", 0, {{"queue.alpha", "3"}}).conflicts.size() == 1);
  CHECK(log.patch("c", 2, {{"queue.alpha", "3"}}).verdict ==
        control_verdict::conflict);
}

// Guards against a new version that drops a patch its author has not seen.
TEST_CASE("a version based on an older revision is rejected") {
  control_stream log;
  log.patch("a", 0, {{"queue.alpha", "1"}});
  CHECK(log.add(version_created{1, 0, 0, "x", {}, {}}).verdict ==
        control_verdict::stale_revision);
  version_created created{1, 0, 1, "x", {{"retry.max_attempts", "2"}}, {}};
  CHECK(log.add(created).valid());
  CHECK(log.add(created).decided_at == 2);
  CHECK(log.state.document() ==
        config_keys{{"queue.alpha", "1"}, {"retry.max_attempts", "2"}});
  CHECK(log.state.diff(0, 1).value() ==
        std::vector<key_change>{{"retry.max_attempts", std::nullopt, "2"}});
  CHECK_FALSE(log.state.diff(0, 9).ok());
  CHECK(log.patch("late", 0, {}).valid());
}

// Checks all merge rules against the reference model.
TEST_CASE("random patches and versions agree with the reference model") {
  check_property("merge", 21, [] {
    control_stream log;
    reference_model expected;
    for (int i = 0; i < 60; ++i) {
      auto version = expected.version - (random_below(8) == 0 ? 1 : 0);
      auto seen = expected.revision -
                  std::min<std::uint64_t>(expected.revision, random_below(3));
      if (random_below(10) == 0) {
        version_created created{version + 1,           version, seen, "a",
                                {{random_key(), "v"}}, {}};
        RC_ASSERT(log.add(created).valid() == expected.apply(created));
        continue;
      }
      patch_published patch{
          "p" + std::to_string(i), "a", "", version, seen, {}, {}};
      patch.set[random_key()] = std::to_string(i);
      patch.set[random_key()] = std::to_string(i);
      RC_ASSERT(log.add(patch).valid() == expected.apply(patch));
      RC_ASSERT(log.state.document() == expected.keys);
      RC_ASSERT(log.state.revision() == expected.revision);
    }
  });
}

// Guards against a patch for one branch that changes keys of another.
TEST_CASE("a branch overrides keys only for itself") {
  control_stream log;
  log.patch("a", 0, {{"queue.alpha", "1"}});
  log.add(patch_published{"b", "x", "north", 0, 1, {{"queue.alpha", "9"}}, {}});
  CHECK(log.state.value("queue.alpha", "north") == "9");
  CHECK(log.state.value("queue.alpha", "south") == "1");
  CHECK(log.state.effective("north") == config_keys{{"queue.alpha", "9"}});
  CHECK(log.state.effective("south") == config_keys{{"queue.alpha", "1"}});
  log.add(patch_published{"c", "x", "north", 0, 2, {}, {"queue.alpha"}});
  CHECK(log.state.value("queue.alpha", "north") == "1");
}

// Guards against a removed incarnation that rejoins through a delayed record.
TEST_CASE("an incarnation that left cannot join again") {
  control_stream log;
  CHECK(log.add(member_joined{member("a", 1)}).valid());
  CHECK(log.add(member_left{"a", 2, {}}).verdict ==
        control_verdict::stale_member);
  CHECK(log.add(member_left{"a", 1, leave_reason::expelled}).valid());
  CHECK_FALSE(log.add(member_joined{member("a", 1)}).valid());
  CHECK(log.add(member_joined{member("a", 2)}).valid());
  CHECK(log.add(member_joined{member("a", 3)}).valid());
  CHECK(log.state.view().offset == 5);
  REQUIRE(log.state.changes().size() == 4);
  CHECK(log.state.changes().back().left ==
        departure{{"a", 2}, leave_reason::replaced});
}

// Guards against a record that is applied twice after a repeated append, and
// one that is lost because its first copy was corrupt.
TEST_CASE("a record id is applied once, even if it fills a gap") {
  control_state state;
  auto patch = [](const std::string& id) {
    return patch_published{id, "x", "", 0, 0, {{"k" + id, "v"}}, {}};
  };
  CHECK(state.apply(0, {{"w", 1, 2}, patch("b")}).valid());
  CHECK(state.apply(1, {{"w", 1, 1}, patch("a")}).valid());
  CHECK(state.apply(2, {{"w", 1, 1}, patch("a")}).verdict ==
        control_verdict::duplicate_record);
  CHECK(state.apply(3, {{"w", 2, 1}, patch("c")}).valid());
  CHECK(state.apply(4, {{"w", 1, 3}, patch("d")}).verdict ==
        control_verdict::stale_incarnation);
}

}  // namespace vanillaladder::coordination
