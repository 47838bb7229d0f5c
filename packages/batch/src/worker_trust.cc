#include "batch/worker_trust.h"

#include <algorithm>

namespace vanillaladder::batch {

void worker_trust::on_done() {
  *this = worker_trust();
  proven_ = true;
}

void worker_trust::on_failed(const model::job_id& job, time_point now) {
  bool other_job = failures_ == 0 || job != last_failed_job_;
  proven_ = false;
  last_failed_job_ = job;
  if (!other_job) {
    return;
  }
  ++failures_;
  if (failures_ >= failures_to_pause) {
    pause(now);
  }
}

void worker_trust::on_refused(time_point now) {
  proven_ = false;
  pause(now);
}

void worker_trust::pause(time_point now) {
  if (now < paused_until_) {
    return;
  }
  paused_until_ = now + pause_;
  pause_ = std::min(pause_ * 2, longest_pause);
  on_trial_ = true;
}

bool worker_trust::may_start(time_point now, int running) const {
  if (now < paused_until_) {
    return false;
  }
  return !on_trial_ || running == 0 || now >= paused_until_ + trial_time;
}

}  // namespace vanillaladder::batch
