#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace vanillaladder::standins {

/// Counts how many runs of each task are in progress over all workers of a
/// process.
class run_counter {
 public:
  /// @return runs of the task in progress, including the new one.
  int begin(const std::string& task) {
    int runs = ++running_[task];
    if (runs > most_) {
      most_ = runs;
      most_task_ = task;
    }
    return runs;
  }

  /// @return runs of the task that are still in progress.
  int end(const std::string& task) {
    int runs = --running_[task];
    if (runs == 0) {
      running_.erase(task);
    }
    return runs;
  }

  /// @return the highest number of simultaneous runs of one task so far.
  int most() const { return most_; }
  /// @return the task that had them.
  const std::string& most_task() const { return most_task_; }

 private:
  std::map<std::string, int> running_;
  int most_ = 0;
  std::string most_task_;
};

}  // namespace vanillaladder::standins
