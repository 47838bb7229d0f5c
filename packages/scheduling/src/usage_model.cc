#include "scheduling/usage_model.h"

#include <algorithm>
#include <vector>

namespace vanillaladder::scheduling {
namespace {

/// With fewer jobs the largest ratio is used, since a percentile of so few
/// values is not meaningful.
constexpr std::size_t min_jobs_for_percentile = 5;
/// One in this many jobs, and at least one, is ignored as an outlier.
constexpr std::size_t jobs_per_outlier = 20;
/// The excess over 100% is increased by one part in this many, as a margin for
/// jobs above the percentile.
constexpr std::int64_t excess_margin_divisor = 4;

std::int64_t ratio(std::int64_t used, std::int64_t base) {
  if (base <= 0)
    return 100;  // The ratio to a size of zero is undefined.
  return std::max<std::int64_t>(100, (used * 100 + base - 1) / base);
}

/// @return a ratio that covers all but the outliers among the jobs.
std::int64_t high_percentile(std::vector<std::int64_t>& values) {
  const std::size_t outliers =
      values.size() < min_jobs_for_percentile
          ? 0
          : std::max<std::size_t>(1, values.size() / jobs_per_outlier);
  const auto chosen = values.end() - 1 - static_cast<std::ptrdiff_t>(outliers);
  std::nth_element(values.begin(), chosen, values.end());
  return *chosen +
         (*chosen - 100 + excess_margin_divisor - 1) / excess_margin_divisor;
}

model::resources scaled(const model::resources& size,
                        const std::array<std::int64_t, 3>& percent) {
  return {(size.cpu_millis * percent[0] + 99) / 100,
          (size.memory_mib * percent[1] + 99) / 100,
          (size.accelerators * percent[2] + 99) / 100};
}

}  // namespace

model::resources elementwise_max(const model::resources& a,
                                 const model::resources& b) {
  return {std::max(a.cpu_millis, b.cpu_millis),
          std::max(a.memory_mib, b.memory_mib),
          std::max(a.accelerators, b.accelerators)};
}

model::resources elementwise_min(const model::resources& a,
                                 const model::resources& b) {
  return {std::min(a.cpu_millis, b.cpu_millis),
          std::min(a.memory_mib, b.memory_mib),
          std::min(a.accelerators, b.accelerators)};
}

model::resources scale_percent(const model::resources& whole,
                               std::int64_t percent) {
  return {whole.cpu_millis * percent / 100, whole.memory_mib * percent / 100,
          whole.accelerators * percent / 100};
}

usage_model::usage_model(model::milliseconds retention)
    : retention_(retention) {}

bool usage_model::is_retained(const job_usage& entry,
                              model::time_point now) const {
  return now - entry.last_measured < retention_;
}

void usage_model::observe(const task_usage& task, model::time_point now) {
  // A size of zero means that the task has not been measured yet.
  if (task.age >= retention_ || task.used == model::resources{})
    return;
  class_jobs& jobs = classes_[task.job_class];
  const auto [found, added] = jobs.try_emplace(task.job);
  job_usage& entry = found->second;
  if (added || !is_retained(entry, now))
    entry = {task.declared, {}, {}, false, {}};
  entry.peak = elementwise_max(entry.peak, task.used);
  if (!entry.first_settled && task.running_time >= startup_time)
    entry.first_settled = entry.peak;
  entry.last_measured = std::max(entry.last_measured, now - task.age);
  if (added)
    std::erase_if(jobs, [this, now](const auto& job) {
      return !is_retained(job.second, now);
    });
}

void usage_model::record_completion(const model::job_id& job,
                                    const model::class_id& job_class) {
  const auto jobs = classes_.find(job_class);
  if (jobs == classes_.end())
    return;
  const auto found = jobs->second.find(job);
  if (found != jobs->second.end())
    found->second.finished = true;
}

const usage_model::job_usage* usage_model::find(
    const model::job_id& job, const model::class_id& job_class,
    model::time_point now) const {
  const auto jobs = classes_.find(job_class);
  if (jobs == classes_.end())
    return nullptr;
  const auto found = jobs->second.find(job);
  return found != jobs->second.end() && is_retained(found->second, now)
             ? &found->second
             : nullptr;
}

bool usage_model::has_measurement(const model::job_id& job,
                                  const model::class_id& job_class,
                                  model::time_point now) const {
  const job_usage* const entry = find(job, job_class, now);
  return entry != nullptr && entry->measured();
}

template <class Predicate, class Base>
std::optional<usage_model::ratios> usage_model::class_ratios(
    const model::class_id& job_class, model::time_point now, Predicate include,
    Base base) const {
  const auto jobs = classes_.find(job_class);
  if (jobs == classes_.end())
    return std::nullopt;
  std::array<std::vector<std::int64_t>, 3> values;
  for (const auto& [id, entry] : jobs->second) {
    if (!is_retained(entry, now) || !include(entry))
      continue;
    const model::resources& reference = base(entry);
    values[0].push_back(ratio(entry.peak.cpu_millis, reference.cpu_millis));
    values[1].push_back(ratio(entry.peak.memory_mib, reference.memory_mib));
    values[2].push_back(ratio(entry.peak.accelerators, reference.accelerators));
  }
  if (values[0].empty())
    return std::nullopt;
  return ratios{high_percentile(values[0]), high_percentile(values[1]),
                high_percentile(values[2])};
}

std::optional<usage_model::ratios> usage_model::prior(
    const model::class_id& job_class, model::time_point now) const {
  const auto declared = [](const job_usage& entry) -> const auto& {
    return entry.declared;
  };
  const auto measured_jobs = class_ratios(
      job_class, now, [](const job_usage& entry) { return entry.measured(); },
      declared);
  // Fall back to measurements made during startup.
  return measured_jobs ? measured_jobs
                       : class_ratios(
                             job_class, now,
                             [](const job_usage&) { return true; }, declared);
}

std::optional<usage_model::ratios> usage_model::growth(
    const model::class_id& job_class, model::time_point now) const {
  return class_ratios(
      job_class, now,
      [](const job_usage& entry) {
        return entry.first_settled && entry.finished;
      },
      [](const job_usage& entry) -> const auto& {
        return *entry.first_settled;
      });
}

model::resources usage_model::expected_size(const model::job_id& job,
                                            const model::class_id& job_class,
                                            const model::resources& declared,
                                            model::time_point now) const {
  const job_usage* const job_entry = find(job, job_class, now);
  const auto known = job_entry == nullptr
                         ? declared
                         : elementwise_max(declared, job_entry->peak);
  if (job_entry != nullptr && job_entry->finished)
    return known;
  if (job_entry != nullptr && job_entry->first_settled)
    if (const auto growth_ratios = growth(job_class, now))
      return elementwise_max(known,
                             scaled(*job_entry->first_settled, *growth_ratios));
  const auto class_prior = prior(job_class, now);
  return class_prior ? elementwise_max(known, scaled(declared, *class_prior))
                     : known;
}

}  // namespace vanillaladder::scheduling
