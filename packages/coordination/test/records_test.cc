#include "coordination/records.h"

#include <xxhash.h>

#include <catch2/catch.hpp>

#include "support.h"

namespace vanillaladder::coordination {
namespace {

const record_id id{"entry-1", 7, 42};

std::vector<control_record> control_samples() {
  control_snapshot snapshot;
  snapshot.covers = 99;
  snapshot.version = 2;
  snapshot.revision = 1;
  snapshot.entries = {{"queue.alpha", {"5", 1, "ann", "p-1"}},
                      {"retry.max_attempts", {std::nullopt, 1, "ann", "p-1"}}};
  snapshot.versions = {{2, {{2, 1, 0, "bo", {{"a", "b"}}, {"c"}}, 5, {}, 0}}};
  snapshot.patches = {{"p-1", {control_verdict::conflict, 7, 2, 1}}};
  snapshot.members = {{"entry-1", member("entry-1", 7)}};
  snapshot.view = 4;
  snapshot.changes = {{4,
                       {{"entry-1", 7}, {"entry-2", 1}},
                       departure{{"entry-1", 6}, leave_reason::replaced}}};
  snapshot.writers = {{"entry-1", {7, 42, {3, 5}, 98}}};
  return {{id, version_created{2, 1, 7, "ann", {{"queue.alpha", "5"}}, {"x"}}},
          {id, patch_published{"p", "bo", "north", 2, 3, {{"a", "b"}}, {"c"}}},
          {id, member_joined{member("entry-1", 7)}},
          {id, member_left{"entry-1", 7, leave_reason::expelled}},
          {id, snapshot}};
}

std::vector<shard_record> shard_samples() {
  shard_snapshot snapshot;
  snapshot.covers = 12;
  snapshot.epoch = 3;
  snapshot.owner = owner_claimed{"entry-1", 7};
  snapshot.owned_since = 10;
  snapshot.next_job = 2;
  job_submitted job{
      "s01-a",
      "team",
      "report",
      2,
      {1000, 512, 1},
      "command",
      model::milliseconds(5),
      3,
      2,
      {{0, task_state::finished, 3, "cp"}, {1, task_state::pending, 1, ""}}};
  snapshot.jobs[1] = {
      job, 11, true, std::nullopt, {{task_state::started, 2, 0, "cp"}, {}},
      0,   0,  false};
  snapshot.workers = {"w-1"};
  snapshot.keys[~0ULL] = {
      {~0ULL, "entry-1", 7, 9}, 11, key_finished{~0ULL, 9, {}, 200}};
  snapshot.writers = {{"entry-1", {7, 42, {}, 12}}};
  return {{id, 3, owner_claimed{"entry-1", 7}},
          {id, 3, owner_released{}},
          {id, 3, job},
          {id, 3, job_delegated{1, 15}},
          {id, 3, job_delegated{1, 15, true}},
          {id, 3, job_cancelled{1}},
          {id, 3, tasks_started{{{1, 0, 0, 3}, {1, 1, 0, 1}}}},
          {id, 3, tasks_ended{{{1, 0, 3, task_outcome::evicted, "cp"}}}},
          {id, 3, key_claimed{~0ULL, "entry-1", 7, ~0ULL}},
          {id, 3, key_finished{1, 2, key_outcome::answered, 200}},
          {id, 3, keys_expired{77}},
          {id, 3, worker_registered{"w-1"}},
          {id, 3, snapshot}};
}

/// Gives altered bytes a valid checksum, so that they reach the struct decoder.
std::string fix_checksum(std::string bytes) {
  std::uint64_t hash = XXH64(bytes.data() + 9, bytes.size() - 9, 0);
  for (std::size_t i = 1; i < 9; ++i, hash >>= 8U) {
    bytes[i] = static_cast<char>(hash & 0xff);
  }
  return bytes;
}

std::string mutate(std::string bytes) {
  std::uint32_t changes = 1 + random_below(4);
  for (std::uint32_t i = 0; i < changes; ++i) {
    auto index = random_below(static_cast<std::uint32_t>(bytes.size()));
    bytes[index] = static_cast<char>(random_below(256));
  }
  auto truncated_size =
      random_below(static_cast<std::uint32_t>(bytes.size() * 2));
  if (truncated_size > 9 && truncated_size < bytes.size()) {
    bytes.resize(truncated_size);
  }
  return bytes;
}

}  // namespace

// Guards against fields that encoding loses or mixes up.
TEST_CASE("every kind of record is decoded as it was encoded") {
  for (const auto& record : control_samples()) {
    CHECK(decode_control(encode(record)).value() == record);
  }
  for (const auto& record : shard_samples()) {
    CHECK(decode_shard(encode(record)).value() == record);
  }
}

// Guards against altered bytes that decode as a record.
TEST_CASE("an altered byte is data loss, a later format is unimplemented") {
  std::string bytes = encode(control_samples()[1]);
  for (std::size_t i = 1; i < bytes.size(); ++i) {
    std::string altered = bytes;
    altered[i] = static_cast<char>(altered[i] ^ 1);
    CHECK(decode_control(altered).status().code() ==
          absl::StatusCode::kDataLoss);
  }
  bytes[0] = 2;
  CHECK(decode_control(bytes).status().code() ==
        absl::StatusCode::kUnimplemented);
  CHECK_FALSE(decode_control("").ok());
  CHECK_FALSE(decode_shard(std::string(9, '\0')).ok());
}

// Guards against crashes, endless loops and huge allocations on malformed
// bytes, which the sanitizers report.
TEST_CASE("malformed bytes never crash the decoders") {
  check_property(
      "mutations", 11,
      [] {
        auto control = control_samples();
        auto shard = shard_samples();
        auto a = mutate(encode(control[random_below(control.size())]));
        auto b = mutate(encode(shard[random_below(shard.size())]));
        for (const auto& bytes : {a, b, fix_checksum(a), fix_checksum(b)}) {
          auto as_control = decode_control(bytes);
          auto as_shard = decode_shard(bytes);
          if (as_control.ok()) {
            RC_ASSERT(decode_control(encode(*as_control)).value() ==
                      *as_control);
          }
          if (as_shard.ok()) {
            RC_ASSERT(decode_shard(encode(*as_shard)).value() == *as_shard);
          }
        }
      },
      3000);
}

// Guards the log bandwidth of task starts: 660 starts a second must stay far
// below 4 KB/s for each of eight daemons.
TEST_CASE("a start in a batch costs at most eight bytes") {
  tasks_started small;
  tasks_started large;
  for (std::uint32_t i = 0; i < 101; ++i) {
    task_start start{2000 + i, i, 200, 1};
    large.starts.push_back(start);
    if (i == 0) {
      small.starts.push_back(start);
    }
  }
  auto difference = encode(shard_record{id, 3, large}).size() -
                    encode(shard_record{id, 3, small}).size();
  CHECK(difference <= 800);
}

}  // namespace vanillaladder::coordination
