#include "batch/worker_trust.h"

#include <algorithm>

namespace vanillaladder::batch {

void worker_trust::on_task_done() {
  *this = worker_trust();
  last_task_succeeded_ = true;
}

void worker_trust::on_task_failed(const model::job_id& job, time_point now) {
  bool is_different_job = consecutive_failures_ == 0 || job != last_failed_job_;
  last_task_succeeded_ = false;
  last_fault_at_ = now;
  last_failed_job_ = job;
  if (!is_different_job) {
    return;
  }
  ++consecutive_failures_;
  if (consecutive_failures_ >= failures_to_pause) {
    pause(now);
  }
}

void worker_trust::on_refused(time_point now) {
  last_task_succeeded_ = false;
  last_fault_at_ = now;
  pause(now);
}

void worker_trust::pause(time_point now) {
  if (now < paused_until_) {
    return;
  }
  paused_until_ = now + pause_;
  pause_ = std::min(pause_ * 2, max_pause);
  on_probation_ = true;
}

bool worker_trust::may_start(time_point now, int running) const {
  if (now < paused_until_) {
    return false;
  }
  return !on_probation_ || running == 0 ||
         now >= paused_until_ + probation_time;
}

bool worker_trust::may_start_as_only(time_point now,
                                     time_point last_start) const {
  return now >= std::max(last_fault_at_, last_start) + only_worker_pause;
}

}  // namespace vanillaladder::batch
