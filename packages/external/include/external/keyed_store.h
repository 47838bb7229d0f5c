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

/// Records of a topic in order.
struct record_batch {
  /// Offset of the first record.
  model::offset from = 0;
  std::vector<batch::topic_record> records;
};

/// Newest records of a topic, one for each key, in the order of keys.
struct newest_page {
  std::vector<batch::topic_record> records;
  bool more = false;
  /// End of the topic when the page was read.
  model::offset end = 0;
};

/// A member's place in a group.
struct group_place {
  /// Rises with each change of the group.
  model::epoch generation = 0;
  /// Whether the member holds the group's only partition.
  bool holds = false;
};

/// A log of keyed records of which the newest of each key is kept.
///
/// Callbacks run once, on the loop's thread and never inside the call, unless
/// the store is destroyed first. Errors: `Unavailable` if nothing was done;
/// `Unknown` if a change may have been made or may still be made; `Aborted`
/// for a writer or member that has been superseded; `OutOfRange` for records
/// that are gone, or a sequence that does not follow.
class keyed_store {
 public:
  using append_callback = std::function<void(absl::StatusOr<model::offset>)>;
  using read_callback = std::function<void(absl::StatusOr<record_batch>)>;
  using newest_callback = std::function<void(absl::StatusOr<newest_page>)>;
  using join_callback = std::function<void(absl::StatusOr<group_place>)>;

  virtual ~keyed_store() = default;

  /// Appends records as one atomic batch; none only registers the writer.
  /// @param done gets the end of the topic after the append.
  virtual void append(const std::string& topic,
                      std::span<const batch::topic_record> records,
                      std::optional<append_writer> writer,
                      append_callback done) = 0;

  /// Reads records from an offset.
  /// @param wait how long to wait for a record.
  virtual void read(const std::string& topic, model::offset from,
                    std::chrono::milliseconds wait, read_callback done) = 0;

  /// Reads the newest records after a key; empty is the start.
  virtual void newest(const std::string& topic, const std::string& after,
                      newest_callback done) = 0;

  /// Joins a group, or stays in it for `lifetime` from the call's arrival.
  virtual void join(const std::string& group, const std::string& member,
                    const std::string& topic,
                    std::chrono::milliseconds lifetime,
                    model::epoch generation, join_callback done) = 0;

  /// Leaves a group; without an answer the membership ends by itself.
  virtual void leave(const std::string& group, const std::string& member,
                     std::function<void()> done) = 0;
};

}  // namespace vanillaladder::external
