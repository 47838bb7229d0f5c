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

/// Names the writer of an append. The store refuses a writer with an earlier
/// epoch, and repeats its answer to one of the last appends.
struct append_writer {
  std::string name;
  model::epoch epoch = 0;
  std::int64_t sequence = 0;
};

/// What an append depends on.
struct append_options {
  std::optional<append_writer> writer = {};
  /// The append is refused unless the topic ends at this offset.
  std::optional<model::offset> expected_end = {};
  /// How long the answer is awaited; the store's own limit if there is none.
  std::optional<std::chrono::milliseconds> answer_timeout = {};
};

/// Records of a topic in order.
struct record_batch {
  /// Offset of the first record.
  model::offset first_offset = 0;
  std::vector<batch::topic_record> records;
};

/// Newest records of a topic, one for each key, in the order of keys.
struct newest_page {
  std::vector<batch::topic_record> records;
  bool more = false;
  /// End of the topic when the page was read.
  model::offset end = 0;
};

/// A log of keyed records of which the newest of each key is kept.
///
/// Callbacks run once, on the loop's thread and never inside the call, unless
/// the store is destroyed first. Errors: `Unavailable` if nothing was done;
/// `Unknown` if a change may have been made or may still be made; `Aborted`
/// for a writer that has been superseded; `FailedPrecondition` for a topic that
/// does not end as expected; `OutOfRange` for records that are gone, or a
/// sequence that does not follow.
class keyed_store {
 public:
  using append_callback = std::function<void(absl::StatusOr<model::offset>)>;
  using read_callback = std::function<void(absl::StatusOr<record_batch>)>;
  using newest_callback = std::function<void(absl::StatusOr<newest_page>)>;

  virtual ~keyed_store() = default;

  /// Appends records as one atomic batch; none only registers the writer.
  /// @param done gets the end of the topic after the append.
  virtual void append(const std::string& topic,
                      std::span<const batch::topic_record> records,
                      append_options options, append_callback done) = 0;

  /// Reads records from an offset.
  /// @param wait how long to wait for a record.
  virtual void read(const std::string& topic, model::offset from,
                    std::chrono::milliseconds wait, read_callback done) = 0;

  /// Reads the newest records after a key; empty is the start.
  virtual void read_newest(const std::string& topic, const std::string& after,
                           newest_callback done) = 0;
};

}  // namespace vanillaladder::external
