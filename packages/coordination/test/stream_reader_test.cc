#include "coordination/stream_reader.h"

#include <catch2/catch.hpp>

#include "support.h"

namespace vanillaladder::coordination {
namespace {

/// Fake of one stream of the log, with retention.
struct fake_log_stream {
  std::vector<std::string> records;
  model::offset first = 0;

  model::offset next() const {
    return static_cast<model::offset>(records.size());
  }
  read_result read(model::offset from, std::uint32_t limit) const {
    read_result out{first, next(), {}};
    for (auto offset = std::max(from, first);
         offset < next() && out.records.size() < limit; ++offset) {
      out.records.push_back(
          {offset, records[static_cast<std::size_t>(offset)]});
    }
    return out;
  }
};

shard_record random_record(std::uint64_t sequence, model::epoch epoch) {
  std::string writer(1, static_cast<char>('a' + random_below(3)));
  auto small = random_below(4);
  shard_body body;
  switch (random_below(9)) {
    case 0:
      return {{writer, 1, sequence}, epoch + 1, owner_claimed{writer, 1}};
    case 1:
      body = worker_registered{"w" + std::to_string(small)};
      break;
    case 2:
    case 3: {
      job_submitted job;
      job.id = "j" + std::to_string(random_below(30));
      job.tasks = 1 + small;
      body = job;
      break;
    }
    case 4:
      body = job_cancelled{small};
      break;
    case 5:
      body = tasks_ended{{{small, 0, 1, task_outcome::evicted, "cp"}}};
      break;
    case 6:
      body = key_claimed{small, writer, 1, sequence};
      break;
    default:
      body = tasks_started{{{small, 0, 0, 1}, {small, 1, 0, 1}}};
  }
  return {{writer, 1, sequence}, epoch, body};
}

/// Writes random records, repeats, corrupt bytes and snapshots to a log, which
/// readers follow at different speeds.
struct simulation {
  fake_log_stream log;
  shard_reader writer;
  std::vector<shard_reader> readers;
  std::uint64_t sequence = 0;

  void append() {
    auto kind = random_below(20);
    const auto& state = writer.state();
    if (kind == 0) {
      log.records.emplace_back("not a record");
    } else if (kind == 1 && !log.records.empty()) {
      log.records.push_back(log.records[random_below(log.records.size())]);
    } else if (kind == 2) {
      log.records.push_back(encode(shard_record{
          {"s", 1, ++sequence}, state.epoch(), state.to_snapshot()}));
    } else {
      log.records.push_back(encode(random_record(++sequence, state.epoch())));
    }
    if (random_below(3) != 0) {
      follow(writer, 100);
    }
  }
  void follow(shard_reader& reader, std::uint32_t limit) {
    auto before = reader.has_state() ? reader.state().applied() : -1;
    reader.on_read(log.read(reader.next_offset(), limit));
    auto after = reader.has_state() ? reader.state().applied() : before;
    RC_ASSERT(after >= before);
  }
  void retain(model::offset kept) {
    // Retention removes only records that the writer has read and covered by a
    // snapshot.
    follow(writer, 1000);
    if (writer.should_snapshot()) {
      log.records.push_back(encode(shard_record{{"s", 1, ++sequence},
                                                writer.state().epoch(),
                                                writer.state().to_snapshot()}));
    }
    log.first = std::max(log.first, log.next() - kept);
  }
};

}  // namespace

// Guards against diverging readers: despite duplicates, corruption, retention
// and late starts, all readers that have a state have the same one.
TEST_CASE("readers of a random stream end with equal states") {
  std::uint64_t recovered = 0;
  std::uint64_t duplicates = 0;
  check_property(
      "replicas", 41,
      [&] {
        simulation sim;
        for (int i = 0; i < 400; ++i) {
          sim.append();
          if (random_below(20) == 0) {
            sim.readers.emplace_back();
          }
          for (auto& reader : sim.readers) {
            if (random_below(6) == 0) {
              sim.follow(reader, 1 + random_below(40));
            }
          }
          if (i % 64 == 63) {
            sim.retain(150);
          }
        }
        sim.follow(sim.writer, 1000);
        for (auto& reader : sim.readers) {
          for (int i = 0; i < 5; ++i) {
            sim.follow(reader, 1000);
          }
          RC_ASSERT(reader.counters().snapshots_differing == 0U);
          if (reader.has_state()) {
            RC_ASSERT(reader.status() == reader_status::at_end);
            RC_ASSERT(reader.state() == sim.writer.state());
            recovered += reader.counters().gaps;
            duplicates += reader.counters().duplicate;
          }
        }
      },
      25);
  // The property is meaningless if these cases never arise.
  CHECK(recovered > 5);
  CHECK(duplicates > 100);
}

// Guards against a malformed record that stops all daemons.
TEST_CASE("corrupt and unknown records are skipped and counted") {
  control_record join{{"a", 1, 1}, member_joined{member("a")}};
  std::string unknown = encode(join);
  unknown[0] = 9;
  control_reader reader;
  auto applied = reader.on_read(
      {0, 5, {{0, "x"}, {1, unknown}, {3, encode(join)}, {4, encode(join)}}});
  CHECK(applied.size() == 2);
  CHECK(reader.counters() == reader_counters{2, 1, 1, 1, 1, 0, 0, 0});
  CHECK(reader.state().is_member("a", 1));
  CHECK(reader.status() == reader_status::at_end);
}

// Guards against a log that has lost data and returns other records at the
// offsets already read.
TEST_CASE("a log that ends before the offsets read is not followed") {
  control_record join{{"a", 1, 1}, member_joined{member("a")}};
  control_reader reader;
  reader.on_read({0, 2, {{0, encode(join)}, {1, "x"}}});
  CHECK(reader.on_read({0, 1, {{0, encode(join)}}}).empty());
  CHECK(reader.status() == reader_status::log_moved_back);
  CHECK(reader.next_offset() == 2);
  reader.on_read({0, 3, {{2, "x"}}});
  CHECK(reader.status() == reader_status::at_end);
}

// Guards against a reader that starts from a snapshot although records after it
// were removed.
TEST_CASE("a reader starts from the first snapshot with all later records") {
  auto snapshot = [](model::offset covers, std::uint64_t sequence) {
    control_snapshot body;
    body.covers = covers;
    return encode(control_record{{"s", 1, sequence}, body});
  };
  control_reader reader;
  read_result read{
      10, 14, {{10, "x"}, {11, snapshot(8, 1)}, {12, snapshot(9, 2)}}};
  CHECK(reader.on_read(read).empty());
  CHECK(reader.next_offset() == 10);
  CHECK(reader.has_state());
  read.records.push_back({13, "x"});
  CHECK(reader.on_read(read).size() == 2);
  CHECK(reader.status() == reader_status::at_end);
  reader.on_read({20, 20, {}});
  CHECK_FALSE(reader.has_state());
  CHECK(reader.counters().gaps == 1);
  CHECK_FALSE(reader.load_snapshot({}));
}

// Guards against relayed records that are applied out of order.
TEST_CASE("relayed records are applied up to the first gap") {
  control_reader reader;
  reader.on_read({0, 1, {{0, "x"}}});
  auto join = [](const std::string& id) {
    return encode(control_record{{id, 1, 1}, member_joined{member(id)}});
  };
  auto applied = reader.on_relayed_records(
      {{0, join("a")}, {1, join("b")}, {3, join("c")}, {2, join("d")}});
  CHECK(applied.size() == 1);
  CHECK(reader.next_offset() == 2);
}

// Guards against retention that removes the last snapshot of a stream.
TEST_CASE("a snapshot is due when half of the kept range has passed") {
  CHECK_FALSE(snapshot_due(0, 63, -1));
  CHECK(snapshot_due(0, 64, -1));
  CHECK_FALSE(snapshot_due(1000, 3000, 2000));
  CHECK(snapshot_due(1000, 3000, 1999));
  CHECK(snapshot_due(3000, 3000, 1999));
  CHECK_FALSE(snapshot_due(0, 0, -1));
}

}  // namespace vanillaladder::coordination
