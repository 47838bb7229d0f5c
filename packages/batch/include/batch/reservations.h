#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "batch/job.h"
#include "model/types.h"

namespace vanillaladder::batch {

/// Resources of a worker that are expected to become free.
struct expected_release {
  time_point at;
  model::resources amount;
};

/// Reserves room for waiting tasks by the expected ends of runs.
///
/// Answers a load in which small tasks take each gap that a run leaves, so that
/// larger ones wait until by chance enough runs of one worker end together.
/// Tasks of lower rank are backfilled: they may use reserved room if they are
/// expected to end before it is needed, or if it is not needed in full (EASY
/// backfilling, for one task per worker). Rebuilt in each placement round, so
/// nothing is stored. Does no I/O and reads no clock.
class reservations {
 public:
  /// Reservations in one round; bounds the work and the room that is held.
  static constexpr std::size_t max_reservations = 16;
  /// How far ahead room is reserved. Estimates are off by half and more, so
  /// that later ends are not known.
  static constexpr milliseconds horizon{2000};

  /// @return when a task will fit into a worker, or nothing if it will not
  ///   within the horizon.
  /// @param releases in any order.
  static std::optional<time_point> earliest_fit(
      const model::resources& free, std::span<const expected_release> releases,
      const model::resources& need, time_point now);

  void clear() { reserved_.clear(); }
  bool full() const { return reserved_.size() >= max_reservations; }
  bool empty() const { return reserved_.empty(); }
  bool holds(std::string_view worker) const {
    return reserved_.contains(worker);
  }
  /// Reserves room on a worker for one task, as of `from`.
  /// @param spare what is expected to be free then, without the task.
  void reserve(std::string_view worker, time_point from,
               const model::resources& spare);
  /// @return whether a task that ends at `ends_at` would delay the reservation
  ///   on the worker.
  bool delays(std::string_view worker, const model::resources& need,
              time_point ends_at) const;
  /// Counts a task that was started beside a reservation.
  void on_start(std::string_view worker, const model::resources& need,
                time_point ends_at);

 private:
  struct reservation {
    time_point from;
    model::resources spare;
  };

  std::map<std::string, reservation, std::less<>> reserved_;
};

}  // namespace vanillaladder::batch
