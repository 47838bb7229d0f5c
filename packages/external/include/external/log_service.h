#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include "model/types.h"

namespace vanillaladder::external {

/// A record and its offset.
struct log_entry {
  model::offset offset = 0;
  std::string data;

  bool operator==(const log_entry&) const = default;
};

/// Answer to a read.
struct read_result {
  /// Lowest offset that the log retains.
  model::offset first = 0;
  /// End of the stream: the offset that the next record will get.
  model::offset next = 0;
  /// Consecutive records that start at the requested offset or at `first`,
  /// whichever is higher.
  std::vector<log_entry> entries;
};

/// An append-only log with streams of records at consecutive offsets.
///
/// Each callback runs exactly once, on the event loop's thread and never before
/// the call returns, unless the service is destroyed first. Errors: see
/// `possibly_sent`.
class log_service {
 public:
  using append_callback = std::function<void(absl::StatusOr<model::offset>)>;
  using read_callback = std::function<void(absl::StatusOr<read_result>)>;

  virtual ~log_service() = default;

  /// Appends records as one atomic batch.
  /// @param done gets the offset of the first record. An error that is
  ///   `possibly_sent` leaves open whether the records are in the log.
  virtual void append(const std::string& stream,
                      std::span<const std::string> records,
                      append_callback done) = 0;

  /// Reads records in order.
  /// @param limit maximum number of records.
  /// @param wait how long the log may wait for a record at `from` before it
  ///   returns none.
  virtual void read(const std::string& stream, model::offset from,
                    std::size_t limit, std::chrono::milliseconds wait,
                    read_callback done) = 0;
};

}  // namespace vanillaladder::external
