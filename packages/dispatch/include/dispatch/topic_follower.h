#pragma once

#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "dispatch/reporter.h"
#include "external/keyed_store.h"
#include "http/event_loop.h"
#include "model/types.h"

namespace vanillaladder::dispatch {

struct follower_options {
  std::string topic;
  /// How long one read waits for a record.
  std::chrono::milliseconds read_wait{1000};
  /// Pause between reads that found records; bounds the calls.
  std::chrono::milliseconds read_pause{100};
};

/// Keeps a copy of a keyed topic up to date.
///
/// Starts with the newest records and then reads on. If records are gone
/// before they were read it starts again, so a record may come twice.
class topic_follower {
 public:
  struct listener {
    /// Called for each record, with an empty value for a removed key.
    std::function<void(std::string_view key, std::string_view value)> on_record;
    /// Called after a start with all keys that exist; others are gone.
    std::function<void(const std::set<std::string>& keys)> on_loaded;
    /// Called when reads begin to fail, and when one succeeds again.
    std::function<void(bool store_reachable)> on_reachability = {};
  };

  /// @param loop must outlive the follower, as must `store`.
  topic_follower(http::event_loop& loop, external::keyed_store& store,
                 follower_options options, listener handlers, reporter report);
  ~topic_follower();
  topic_follower(const topic_follower&) = delete;
  topic_follower& operator=(const topic_follower&) = delete;

  void start();
  void set_read_pause(std::chrono::milliseconds pause);
  /// Reads once, at once.
  /// @param done gets whether all records were applied that the topic had
  ///   when this was called.
  void refresh(std::function<void(bool)> done);
  /// Applies records that are known to have been appended.
  void apply(const external::record_batch& batch);
  /// Calls `done` once the copy has reached `offset`.
  void when_reached(model::offset offset, std::function<void()> done);

  bool loaded() const;
  /// @return whether the last read succeeded.
  bool store_reachable() const;
  /// @return offset of the next record to read.
  model::offset next() const;
  /// @return when the last read that succeeded was sent.
  model::time_point last_read_sent_at() const;
  /// @return when its answer came.
  model::time_point last_read_answered_at() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::dispatch
