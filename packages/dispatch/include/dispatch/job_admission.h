#pragma once

#include <cstddef>

#include "batch/job.h"

namespace vanillaladder::dispatch {

/// Memory that jobs take, in bytes.
struct jobs_memory {
  std::size_t all = 0;
  /// The part of it for recurring jobs.
  std::size_t recurring = 0;
};

/// Decides by memory which jobs are accepted.
///
/// Answers callers that submit without an end: each daemon keeps a copy of the
/// jobs, each new leader reads them from the store, and one that lacks the
/// memory ends, as do those after it. The less memory is free, the smaller a
/// job must be, so that large jobs and long backlogs leave room for ordinary
/// ones. Recurring jobs, which stay for long, leave half of the memory to
/// others. Does no I/O and reads no clock.
class job_admission {
 public:
  enum class decision {
    admitted,
    /// No daemon will ever have the memory for it.
    too_large,
    /// Others have to end first.
    no_memory,
  };

  /// Most memory that jobs take: the smallest instance has 160 MiB, and any
  /// instance may lead. 119,700 tasks take 57 MB.
  static constexpr std::size_t max_budget = 64U << 20;

  /// @return the memory for jobs of an instance.
  static std::size_t budget_of(std::size_t instance_bytes);
  /// @return the most memory that a job may take.
  static std::size_t largest_job(std::size_t budget, std::size_t used);

  explicit job_admission(std::size_t budget = max_budget) : budget_(budget) {}

  /// @param used memory of the jobs that are stored or about to be.
  decision decide(const batch::job_spec& job, const jobs_memory& used) const;
  /// @return whether a cancellation of an unknown job may be stored. It takes
  ///   little, and is refused only if they are many.
  bool has_room_for_cancellation(const jobs_memory& used) const;
  /// @return whether jobs of `bytes` may be accepted on a copy of the topic
  ///   that lacks what other daemons have accepted since.
  bool may_use_old_copy(std::size_t bytes, const jobs_memory& used) const;
  std::size_t budget() const { return budget_; }

 private:
  std::size_t budget_;
};

}  // namespace vanillaladder::dispatch
