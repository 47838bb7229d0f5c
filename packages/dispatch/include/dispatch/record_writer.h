#pragma once

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "batch/orders.h"
#include "dispatch/reporter.h"
#include "external/keyed_store.h"
#include "http/event_loop.h"
#include "model/types.h"

namespace vanillaladder::dispatch {

/// Appends the records of one leadership to one topic, in order.
///
/// An append without an answer is retried with the same sequence number, so
/// that the store applies it exactly once. Records that exceed what the store
/// takes in one call are appended in several calls. A record that the store
/// refuses by itself is left out: it must not keep the others from being
/// stored.
class record_writer {
 public:
  /// @param may_write returns whether calls may be sent now; they are delayed
  ///   while it returns false.
  record_writer(http::event_loop& loop, external::keyed_store& store,
                std::string topic, std::string writer, model::epoch epoch,
                std::function<bool()> may_write, reporter report,
                const external::store_limits& limits = {});
  ~record_writer();
  record_writer(const record_writer&) = delete;
  record_writer& operator=(const record_writer&) = delete;

  using callback = std::function<void(absl::StatusOr<model::offset>)>;

  /// Registers the epoch with the store, which fences earlier leaders.
  void open(callback done);
  /// Appends a batch; only one append may be pending.
  /// @param done receives the end of the topic once the last record is stored,
  ///   or `Aborted` or `OutOfRange` if a later leader exists.
  void append(std::span<const batch::topic_record> records, callback done);
  /// @return keys of the records of the last batch that the store refused.
  const std::vector<std::string>& refused_keys() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::dispatch
