#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "batch/orders.h"
#include "external/keyed_store.h"
#include "http/event_loop.h"
#include "model/types.h"

namespace vanillaladder::dispatch {

/// Appends records of many callers to one topic.
///
/// Records that come while an append is under way share the next one: a topic
/// takes its appends one at a time, and while the store is slow an append for
/// each record would wait behind all others.
class append_batcher {
 public:
  using callback = std::function<void(absl::StatusOr<model::offset>)>;

  /// An append without an answer for so long holds up no further one: its
  /// answer may be lost, and callers wait for 1.4 s at the users' sites.
  static constexpr std::chrono::milliseconds max_append_wait{300};
  /// Bytes of an append of several records.
  static constexpr std::size_t max_batch_bytes = 1U << 17;

  /// @param loop must outlive this, as must `store`.
  append_batcher(http::event_loop& loop, external::keyed_store& store,
                 std::string topic);
  ~append_batcher();
  append_batcher(const append_batcher&) = delete;
  append_batcher& operator=(const append_batcher&) = delete;

  /// @param done gets the end of the topic after the append, or an error of
  ///   `external::keyed_store::append`, which holds for all that shared it.
  void add(batch::topic_record record, callback done);

  /// @return since when the longest append under way waits for its answer.
  std::optional<model::time_point> oldest_append_sent_at() const;
  /// @return when an append last succeeded.
  model::time_point last_success_at() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::dispatch
