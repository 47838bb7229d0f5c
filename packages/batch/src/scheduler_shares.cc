#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>

#include "batch/detail/ranked_step.h"

namespace vanillaladder::batch {

void scheduler::set_organisations(
    const std::map<std::string, organisation_policy>& policies) {
  bool was_enabled = shares_.enabled();
  shares_.set_policies(policies);
  if (!was_enabled && shares_.enabled()) {
    // The first configuration with organisations: runs may exist already.
    for (const auto& [id, worker] : workers_) {
      for (const auto& ref : worker->runs) {
        shares_.add_run(ref.step->job->spec->organisation,
                        ref.step->spec->required_resources);
      }
    }
  }
  has_changes_ = true;
}

std::vector<organisation_shares::report> scheduler::organisation_reports()
    const {
  return shares_.reports();
}

/// Computes the fair shares of the organisations with waiting tasks.
void scheduler::begin_share_round(std::span<const ranked_step> ranked) {
  model::resources capacity;
  for (const auto& [id, worker] : workers_) {
    if (worker->listed && worker->reachable) {
      capacity += worker->entry.info.capacity;
    }
  }
  std::vector<std::string_view> waiting;
  for (const auto& each : ranked) {
    const auto& name = each.step->job->spec->organisation;
    if (!name.empty() && !each.step->job->surplus) {
      waiting.push_back(name);
    }
  }
  std::ranges::sort(waiting);
  waiting.erase(std::unique(waiting.begin(), waiting.end()), waiting.end());
  shares_.begin_round(capacity, waiting);
}

/// @return whether the step's organisation may have `count` more tasks running
///   in this pass of a placement round.
bool scheduler::has_share(step_state& step, placement_pass pass, int count,
                          time_point now) {
  const auto& name = step.job->spec->organisation;
  if (!shares_.enabled() || name.empty()) {
    return true;
  }
  const auto& need = step.spec->required_resources;
  if (!shares_.is_within_limit(name, need, count)) {
    if (begin_wait_line(step, now)) {
      log_event(absl::StrCat("waits step=", to_string(step.key), " tasks=",
                             step.waiting_tasks, " organisation_limit=", name));
    }
    return false;
  }
  return pass == placement_pass::lent ||
         (!step.job->surplus && shares_.is_entitled(name, need));
}

}  // namespace vanillaladder::batch
