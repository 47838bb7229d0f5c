#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/reporter.h"
#include "model/types.h"

namespace vanillaladder::dispatch {

/// A copy of a topic on which starts depend.
struct watched_copy {
  std::string topic;
  /// Age above which nothing starts.
  std::chrono::milliseconds max_age{0};
  /// @return the time as of which the copy is known to be complete.
  std::function<model::time_point()> current_as_of;
  /// Reads the topic once.
  std::function<void(std::function<void()> done)> refresh;
};

/// Decides whether the copies of the topics are recent enough to start tasks.
///
/// The leader's lease rests on appends alone, which may be answered while reads
/// are not. A leader with an old copy may not know of a cancelled job, a closed
/// failure domain or a leaving worker.
class start_gate {
 public:
  /// Minimum time between two requested reads of a copy. A store that rejects
  /// calls answers at once.
  static constexpr std::chrono::milliseconds refresh_pause{150};

  start_gate(std::vector<watched_copy> copies, reporter report);

  /// @return whether tasks may start at `now`. Logs each change, and requests a
  ///   read of a copy that has reached half of its maximum age.
  bool is_open(model::time_point now);
  /// @return the ages of all copies in milliseconds, for a log line.
  std::string ages(model::time_point now) const;

 private:
  void refresh(std::size_t index, model::time_point now);
  std::chrono::milliseconds age_of(const watched_copy& copy,
                                   model::time_point now) const;

  std::vector<watched_copy> copies_;
  /// Whether a requested read of each copy is in flight. Shared with the
  /// callbacks of these reads.
  std::shared_ptr<std::vector<bool>> refreshing_;
  std::vector<model::time_point> refreshed_at_;
  reporter report_;
  /// Since when starts are held; empty while they are not.
  std::optional<model::time_point> held_since_;
};

}  // namespace vanillaladder::dispatch
