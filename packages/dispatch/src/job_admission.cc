#include "dispatch/job_admission.h"

#include <algorithm>

#include "batch/job_memory.h"

namespace vanillaladder::dispatch {
namespace {

/// Part of an instance's memory that jobs may take, in percent. The rest is for
/// the process itself, requests, calls on their way, and fragmentation.
constexpr std::size_t jobs_percent = 40;
constexpr std::size_t recurring_parts = 2;
/// Part of the free memory that a daemon gives out on an old copy. Several
/// daemons may do so at the same time.
constexpr std::size_t old_copy_parts = 16;
/// Part of the budget beyond it that cancellations of unknown jobs may take.
constexpr std::size_t cancellation_parts = 8;

std::size_t free_bytes(std::size_t budget, std::size_t used) {
  return budget - std::min(budget, used);
}

}  // namespace

std::size_t job_admission::budget_of(std::size_t instance_bytes) {
  return std::min(max_budget, instance_bytes / 100 * jobs_percent);
}

std::size_t job_admission::largest_job(std::size_t budget, std::size_t used) {
  auto free = static_cast<double>(free_bytes(budget, used));
  return static_cast<std::size_t>(free * free /
                                  (2 * static_cast<double>(budget)));
}

job_admission::decision job_admission::decide(const batch::job_spec& job,
                                              const jobs_memory& used) const {
  auto bytes = memory_of(job) + batch::directory_entry_bytes;
  auto largest = [&job](std::size_t budget, const jobs_memory& at) {
    auto limit = largest_job(budget, at.all);
    return job.repeat_count == 0
               ? limit
               : std::min(limit,
                          largest_job(budget / recurring_parts, at.recurring));
  };
  if (bytes <= largest(budget_, used)) {
    return decision::admitted;
  }
  // The same at each daemon, as any may lead.
  return bytes > largest(max_budget, {}) ? decision::too_large
                                         : decision::no_memory;
}

bool job_admission::has_room_for_cancellation(const jobs_memory& used) const {
  return used.all < budget_ + budget_ / cancellation_parts;
}

bool job_admission::may_use_old_copy(std::size_t bytes,
                                     const jobs_memory& used) const {
  return bytes <= free_bytes(budget_, used.all) / old_copy_parts;
}

}  // namespace vanillaladder::dispatch
