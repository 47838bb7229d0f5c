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

/// Appends records of many callers to one topic in shared batches.
///
/// Records that arrive while an append is in flight share the next one: a topic
/// executes its appends one at a time, and while the store is slow an append
/// per record would queue behind all others.
class append_batcher {
 public:
  using callback = std::function<void(absl::StatusOr<model::offset>)>;

  /// After this time without an answer, the next append is sent regardless: the
  /// answer may be lost, and callers time out after 1.4 s.
  static constexpr std::chrono::milliseconds max_append_wait{300};
  /// Maximum size in bytes of an append of several records.
  static constexpr std::size_t max_batch_bytes = 1U << 17;

  /// @param loop must outlive this, as must `store`.
  append_batcher(http::event_loop& loop, external::keyed_store& store,
                 std::string topic, const external::store_limits& limits = {});
  ~append_batcher();
  append_batcher(const append_batcher&) = delete;
  append_batcher& operator=(const append_batcher&) = delete;

  /// @param done receives the end of the topic after the append, or an error of
  ///   `external::keyed_store::append`, which applies to the whole batch.
  void add(batch::topic_record record, callback done);

  /// @return when the oldest append in flight was sent.
  std::optional<model::time_point> oldest_append_sent_at() const;
  /// @return when the last successful append was answered.
  model::time_point last_success_at() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::dispatch
