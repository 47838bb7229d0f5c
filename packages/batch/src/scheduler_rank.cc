#include <algorithm>
#include <functional>

#include "batch/detail/ranked_step.h"

namespace vanillaladder::batch {
namespace {

/// How long waiting long-running tasks let tasks that end by themselves start
/// first. Well below 6 s, after which a task that does not run counts as lost.
constexpr milliseconds long_running_patience{3500};

}  // namespace

std::vector<scheduler::ranked_step> scheduler::rank_steps(time_point now) {
  std::vector<ranked_step> ranked;
  for (auto& [id, job] : jobs_) {
    for (auto& occurrence : job->occurrences) {
      double remaining_work = occurrence.remaining_work();
      for (auto& step : occurrence.steps) {
        if (step.waiting_tasks == 0 || !is_ready(step)) {
          step.waiting_since.reset();
          step.restored_record_at = time_point();
          continue;
        }
        note_waiting(step, now);
        bool yields = step.spec->long_running &&
                      now - *step.waiting_since < long_running_patience;
        ranked_step each{&step,        job->policy.priority,
                         job->surplus, yields ? 1 : 0,
                         yields,       job->deadlines.due_at};
        if (!step.spec->long_running) {
          each.position = job_order_.position(
              job->spec->queue, job->deadlines.due_at, remaining_work);
          if (now > job->deadlines.expired_at) {
            each.lateness = 2;
          } else if (now + step.remaining_chain > job->deadlines.due_at) {
            each.lateness = 1;
          }
        }
        ranked.push_back(each);
      }
    }
  }
  std::ranges::sort(ranked, std::less<>());
  return ranked;
}

}  // namespace vanillaladder::batch
