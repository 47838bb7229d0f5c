#include "dispatch/submission_outcomes.h"

namespace vanillaladder::dispatch {

void submission_outcomes::begin(const model::job_id& id) {
  ++entries_[id].in_flight;
}

void submission_outcomes::end(const model::job_id& id, submit_result outcome) {
  auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  auto& job = found->second;
  --job.in_flight;
  if (outcome == submit_result::unknown && !job.unknown) {
    job.unknown = true;
    unknown_.push_back(id);
    forget_oldest();
  } else if (job.in_flight == 0 && !job.unknown) {
    entries_.erase(found);
  }
}

bool submission_outcomes::may_be_stored(const model::job_id& id) const {
  return entries_.contains(id);
}

void submission_outcomes::forget_oldest() {
  if (unknown_.size() <= max_unknown) {
    return;
  }
  if (auto oldest = entries_.find(unknown_.front()); oldest != entries_.end()) {
    oldest->second.unknown = false;
    if (oldest->second.in_flight == 0) {
      entries_.erase(oldest);
    }
  }
  unknown_.pop_front();
}

}  // namespace vanillaladder::dispatch
