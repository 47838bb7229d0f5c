#pragma once

#include <functional>
#include <optional>
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
  /// How long a read waits for a new record.
  std::chrono::milliseconds read_wait{1000};
  /// Pause after a read that returned records; limits the rate of calls.
  std::chrono::milliseconds read_pause{100};
};

/// Keeps a local copy of a keyed topic up to date.
///
/// Loads the newest record of each key and then reads all later records. If
/// records were deleted before they were read, it loads again, so a record may
/// be delivered twice.
class topic_follower {
 public:
  struct listener {
    /// Called for each record; the value is empty for a deleted key.
    std::function<void(std::string_view key, std::string_view value)> on_record;
    /// Called after each load with all existing keys and those noted by
    /// `note_stored` meanwhile; other keys were deleted.
    std::function<void(const std::set<std::string>& keys)> on_loaded;
    /// Called when reads begin to fail, and when a read succeeds again.
    std::function<void(bool store_reachable)> on_reachability = {};
  };

  /// @param loop must outlive the follower, as must `store`.
  topic_follower(http::event_loop& loop, external::keyed_store& store,
                 follower_options options, listener handlers, reporter report);
  ~topic_follower();
  topic_follower(const topic_follower&) = delete;
  topic_follower& operator=(const topic_follower&) = delete;

  void start();
  /// Changes the pause between reads. A shorter one ends the current pause.
  void set_read_pause(std::chrono::milliseconds pause);
  /// Changes how long later reads wait for a new record.
  void set_read_wait(std::chrono::milliseconds wait);
  /// Reads once without waiting for new records. Reads nothing during a load.
  /// @param done receives whether the copy contains all records that the topic
  ///   had when this was called.
  /// @param timeout limit of the read; the store has a default.
  void refresh(std::function<void(bool)> done,
               std::optional<std::chrono::milliseconds> timeout = {});
  /// Applies records that this daemon has appended.
  void apply(const external::record_batch& batch);
  /// Notes that this daemon has appended a record and applies it to the copy
  /// itself. The pages of a load may have been read before the append.
  void note_stored(std::string_view key);
  /// Calls `done` once the copy contains all records before `offset`.
  void when_reached(model::offset offset, std::function<void()> done);

  bool loaded() const;
  /// @return whether the last read succeeded.
  bool store_reachable() const;
  /// @return offset of the next record to read.
  model::offset next() const;
  /// @return when the last successful read was sent. The copy may be older:
  ///   a page of a load counts too.
  model::time_point last_read_sent_at() const;
  /// @return the time as of which the copy is known to contain all records of
  ///   the topic; the clock's epoch before the first load.
  model::time_point current_as_of() const;
  /// @return when the last successful read was answered.
  model::time_point last_read_answered_at() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::dispatch
