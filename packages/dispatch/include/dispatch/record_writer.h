#pragma once

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <span>
#include <string>

#include "batch/orders.h"
#include "dispatch/reporter.h"
#include "external/keyed_store.h"
#include "http/event_loop.h"
#include "model/types.h"

namespace vanillaladder::dispatch {

/// Appends the records of one leadership to one topic, in order.
///
/// An append without an answer is repeated under the same sequence number,
/// which the store carries out once.
class record_writer {
 public:
  /// Calls are made only while `may_write` says so.
  record_writer(http::event_loop& loop, external::keyed_store& store,
                std::string topic, std::string writer, model::epoch epoch,
                std::function<bool()> may_write, reporter report);
  ~record_writer();
  record_writer(const record_writer&) = delete;
  record_writer& operator=(const record_writer&) = delete;

  using callback = std::function<void(absl::StatusOr<model::offset>)>;

  /// Registers the epoch, which shuts out earlier leaders.
  void open(callback done);
  /// Appends a batch; one at a time.
  /// @param done gets the end of the topic, or `Aborted` if a later leader
  ///   exists.
  void append(std::span<const batch::topic_record> records, callback done);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::dispatch
