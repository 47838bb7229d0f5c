#pragma once

#include <array>
#include <map>

#include "model/types.h"

namespace vanillaladder::scheduling {

/// @return the larger value of each dimension.
model::resources larger_of(const model::resources& a,
                           const model::resources& b);

/// @return the smaller value of each dimension.
model::resources smaller_of(const model::resources& a,
                            const model::resources& b);

/// @return `percent` of each dimension, rounded down.
model::resources part_of(const model::resources& whole, std::int64_t percent);

/// Learns how much more than declared the tasks of a class use.
///
/// Keeps the largest ratio of observed to declared size per class and
/// dimension over the last one to two windows, so that one outlier is
/// forgotten after at most two windows.
class usage_model {
 public:
  /// @param window must be larger than the lag of the measurements; older
  ///   ones are ignored.
  explicit usage_model(model::milliseconds window = std::chrono::minutes(10));

  /// Takes one measurement of a task.
  /// @param age time since the measurement was made.
  void observe(const model::class_id& job_class,
               const model::resources& declared, const model::resources& used,
               model::milliseconds age, model::time_point now);

  /// @return the size to reserve for a new task: the declared size, or more
  ///   if the class has used more.
  [[nodiscard]] model::resources expected(const model::class_id& job_class,
                                          const model::resources& declared,
                                          model::time_point now) const;

 private:
  /// Observed over declared size in percent, never below 100.
  using ratios = std::array<std::int64_t, 3>;
  struct learned {
    std::int64_t window = 0;
    ratios current{100, 100, 100};
    ratios previous{100, 100, 100};
  };

  [[nodiscard]] std::int64_t window_of(model::time_point at) const;

  model::milliseconds window_;
  std::map<model::class_id, learned> classes_;
};

}  // namespace vanillaladder::scheduling
