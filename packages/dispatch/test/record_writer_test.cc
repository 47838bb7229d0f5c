#include "dispatch/record_writer.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "daemon_fixture.h"

namespace vanillaladder::dispatch {
namespace {

/// Refuses what exceeds its limits, as the platform's store does, and a call
/// whose sequence number doesn't follow the last one.
struct limited_store : fake_store {
  using fake_store::fake_store;

  void append(const std::string& name,
              std::span<const batch::topic_record> records,
              external::append_options options, append_callback done) override {
    std::size_t bytes = 0;
    bool fits = true;
    for (const auto& record : records) {
      bytes += external::record_bytes(record);
      fits = fits && external::record_bytes(record) <= limits.max_record_bytes;
    }
    if (!fits || bytes > limits.max_call_bytes) {
      ++refused;
      loop->post([done] { done(absl::InternalError("status 400")); });
      return;
    }
    auto number = options.writer ? options.writer->sequence : 0;
    if (number != 0 && number != sequence + 1) {
      loop->post([done] { done(absl::OutOfRangeError("seq")); });
      return;
    }
    sequence = number;
    largest = std::max(largest, bytes);
    fake_store::append(name, records, std::move(options), std::move(done));
  }

  http::event_loop* loop = nullptr;
  external::store_limits limits{200, 1000};
  std::int64_t sequence = 0;
  std::size_t largest = 0;
  int refused = 0;
};

struct fixture : daemon_fixture {
  fixture() { limited.loop = &loop; }

  absl::StatusOr<model::offset> append(
      const std::vector<batch::topic_record>& records) {
    std::optional<absl::StatusOr<model::offset>> result;
    writer.append(records, [&](absl::StatusOr<model::offset> end) {
      result = std::move(end);
    });
    run_until([&] { return result.has_value(); });
    return *result;
  }

  limited_store limited{loop};
  record_writer writer{
      loop,   limited,       "t", "leader", 1, [] { return true; },
      report, limited.limits};
};

batch::topic_record record(int number, std::size_t bytes) {
  return {"k" + std::to_string(number), std::string(bytes, 'x')};
}

}  // namespace

// Guards against a commit that exceeds what the store takes: the refusal ended
// the leadership, and that of each successor.
TEST_CASE(
    "records beyond the size of a call are appended in several, in order") {
  fixture f;
  std::vector<batch::topic_record> records;
  records.reserve(40);
  for (int n = 0; n < 40; ++n) {
    records.push_back(record(n, 100));
  }
  REQUIRE(f.append(records).ok());
  REQUIRE(f.limited.refused == 0);
  REQUIRE(f.limited.largest <= f.limited.limits.max_call_bytes);
  REQUIRE(f.limited.topic.size() == 40);
  for (std::size_t n = 0; n < 40; ++n) {
    REQUIRE(f.limited.topic[n].key == records[n].key);
  }
  REQUIRE(f.append(records).ok());
}

// Guards against one record that keeps all others from being stored.
TEST_CASE("a record that the store refuses is left out") {
  fixture f;
  std::vector<batch::topic_record> records;
  records.reserve(20);
  for (int n = 0; n < 20; ++n) {
    records.push_back(record(n, n == 7 || n == 19 ? 500 : 50));
  }
  REQUIRE(f.append(records).ok());
  REQUIRE(f.writer.refused_keys() == std::vector<std::string>{"k7", "k19"});
  REQUIRE(f.limited.topic.size() == 18);
  REQUIRE(f.append({record(30, 50)}).ok());
  REQUIRE(f.writer.refused_keys().empty());
}

TEST_CASE("a later leader ends the writer") {
  fixture f;
  f.limited.sequence = 5;
  REQUIRE(absl::IsOutOfRange(f.append({record(1, 10)}).status()));
}

}  // namespace vanillaladder::dispatch
