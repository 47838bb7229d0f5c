#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "batch/orders.h"
#include "model/types.h"

namespace vanillaladder::external {

/// Identifies the writer of an append. The store refuses a writer whose epoch
/// is lower than the current one, and answers a repeated recent append as it
/// did the first time.
struct append_writer {
  std::string name;
  model::epoch epoch = 0;
  std::int64_t sequence = 0;
};

/// Optional conditions and timeout of an append.
struct append_options {
  std::optional<append_writer> writer = {};
  /// Offset at which the topic must end; otherwise the append is refused.
  std::optional<model::offset> expected_end = {};
  /// How long to wait for the answer; the store has a default.
  std::optional<std::chrono::milliseconds> answer_timeout = {};
};

/// What a store takes; it refuses larger records and calls.
struct store_limits {
  std::size_t max_record_bytes = 262'144;
  /// Total size of the records of one append.
  std::size_t max_call_bytes = 2'097'152;
};

/// @return the size of a record with its key, as the store counts it.
inline std::size_t record_bytes(const batch::topic_record& record) {
  // The length of the key, one byte, and that of the record.
  constexpr std::size_t overhead = 5;
  return overhead + record.key.size() + record.value.size();
}

/// Consecutive records of a topic.
struct record_batch {
  /// Offset of the first record.
  model::offset first_offset = 0;
  /// End of the topic when the records were read; 0 if unknown.
  model::offset end = 0;
  std::vector<batch::topic_record> records;
};

/// A page of the newest records of a topic, one for each key, ordered by key.
struct newest_page {
  std::vector<batch::topic_record> records;
  /// Whether further pages follow.
  bool more = false;
  /// End of the topic when the page was read.
  model::offset end = 0;
};

/// A compacted log of keyed records, which keeps the newest record of each key.
///
/// Each callback runs once, on the event loop's thread and never before the
/// call returns, unless the store is destroyed first. Errors: `Unavailable` if
/// nothing was done; `Unknown` if a change may have been made or may still be
/// made; `Aborted` for a writer that has been superseded; `FailedPrecondition`
/// for a topic that does not end as expected; `OutOfRange` for records that are
/// gone, or a sequence that does not follow.
class keyed_store {
 public:
  using append_callback = std::function<void(absl::StatusOr<model::offset>)>;
  using read_callback = std::function<void(absl::StatusOr<record_batch>)>;
  using newest_callback = std::function<void(absl::StatusOr<newest_page>)>;

  virtual ~keyed_store() = default;

  /// Appends records as one atomic batch. An empty batch only registers the
  /// writer.
  /// @param done gets the end of the topic after the append.
  virtual void append(const std::string& topic,
                      std::span<const batch::topic_record> records,
                      append_options options, append_callback done) = 0;

  /// Reads records from an offset.
  /// @param wait how long to wait for a record if there is none yet.
  /// @param timeout limit beyond the wait; the store has a default.
  virtual void read(const std::string& topic, model::offset from,
                    std::chrono::milliseconds wait,
                    std::optional<std::chrono::milliseconds> timeout,
                    read_callback done) = 0;

  /// Reads a page of the newest records of each key.
  /// @param after key after which the page starts; empty for the first page.
  /// @param timeout limit of the call; the store has a default.
  virtual void read_newest(const std::string& topic, const std::string& after,
                           std::optional<std::chrono::milliseconds> timeout,
                           newest_callback done) = 0;
};

}  // namespace vanillaladder::external
