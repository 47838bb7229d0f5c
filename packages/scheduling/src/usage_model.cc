#include "scheduling/usage_model.h"

#include <algorithm>
#include <vector>

namespace vanillaladder::scheduling {
namespace {

/// With fewer jobs the largest ratio counts, since a percentile of them says
/// little.
constexpr std::size_t min_jobs_for_percentile = 5;
/// One in this many jobs is left out at the top, and at least one.
constexpr std::size_t jobs_per_outlier = 20;
/// The excess of a ratio is enlarged by one part in this many, for jobs that
/// are further off than the percentile.
constexpr std::int64_t excess_margin = 4;

std::int64_t ratio(std::int64_t used, std::int64_t base) {
  if (base <= 0)
    return 100;  // No ratio to a size of zero exists.
  return std::max<std::int64_t>(100, (used * 100 + base - 1) / base);
}

/// @return a ratio that holds for all but the few jobs that are furthest off.
std::int64_t high_percentile(std::vector<std::int64_t>& all) {
  const std::size_t left_out =
      all.size() < min_jobs_for_percentile
          ? 0
          : std::max<std::size_t>(1, all.size() / jobs_per_outlier);
  const auto chosen = all.end() - 1 - static_cast<std::ptrdiff_t>(left_out);
  std::nth_element(all.begin(), chosen, all.end());
  return *chosen + (*chosen - 100 + excess_margin - 1) / excess_margin;
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

usage_model::usage_model(model::milliseconds kept) : kept_(kept) {}

bool usage_model::remembered(const learned& entry,
                             model::time_point now) const {
  return now - entry.last < kept_;
}

void usage_model::observe(const task_usage& task, model::time_point now) {
  // A task without a measurement yet is reported with a size of zero.
  if (task.age >= kept_ || task.used == model::resources{})
    return;
  class_jobs& jobs = classes_[task.job_class];
  const auto [found, added] = jobs.try_emplace(task.job);
  learned& entry = found->second;
  if (added || !remembered(entry, now))
    entry = {task.declared, {}, {}, false, {}};
  entry.peak = elementwise_max(entry.peak, task.used);
  if (!entry.first && task.running_time >= startup_time)
    entry.first = entry.peak;
  entry.last = std::max(entry.last, now - task.age);
  if (added)
    std::erase_if(jobs, [this, now](const auto& job) {
      return !remembered(job.second, now);
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

const usage_model::learned* usage_model::find(const model::job_id& job,
                                              const model::class_id& job_class,
                                              model::time_point now) const {
  const auto jobs = classes_.find(job_class);
  if (jobs == classes_.end())
    return nullptr;
  const auto found = jobs->second.find(job);
  return found != jobs->second.end() && remembered(found->second, now)
             ? &found->second
             : nullptr;
}

bool usage_model::has_measurement(const model::job_id& job,
                                  const model::class_id& job_class,
                                  model::time_point now) const {
  const learned* const entry = find(job, job_class, now);
  return entry != nullptr && entry->measured();
}

template <class Counted, class Base>
std::optional<usage_model::ratios> usage_model::class_ratios(
    const model::class_id& job_class, model::time_point now, Counted counted,
    Base base) const {
  const auto jobs = classes_.find(job_class);
  if (jobs == classes_.end())
    return std::nullopt;
  std::array<std::vector<std::int64_t>, 3> all;
  for (const auto& [id, entry] : jobs->second) {
    if (!remembered(entry, now) || !counted(entry))
      continue;
    const model::resources& from = base(entry);
    all[0].push_back(ratio(entry.peak.cpu_millis, from.cpu_millis));
    all[1].push_back(ratio(entry.peak.memory_mib, from.memory_mib));
    all[2].push_back(ratio(entry.peak.accelerators, from.accelerators));
  }
  if (all[0].empty())
    return std::nullopt;
  return ratios{high_percentile(all[0]), high_percentile(all[1]),
                high_percentile(all[2])};
}

std::optional<usage_model::ratios> usage_model::prior(
    const model::class_id& job_class, model::time_point now) const {
  const auto declared = [](const learned& entry) -> const auto& {
    return entry.declared;
  };
  const auto measured_jobs = class_ratios(
      job_class, now, [](const learned& entry) { return entry.measured(); },
      declared);
  // A measurement of a start-up is better than none.
  return measured_jobs ? measured_jobs
                       : class_ratios(
                             job_class, now,
                             [](const learned&) { return true; }, declared);
}

std::optional<usage_model::ratios> usage_model::growth(
    const model::class_id& job_class, model::time_point now) const {
  return class_ratios(
      job_class, now,
      [](const learned& entry) { return entry.first && entry.finished; },
      [](const learned& entry) -> const auto& { return *entry.first; });
}

model::resources usage_model::expected_size(const model::job_id& job,
                                            const model::class_id& job_class,
                                            const model::resources& declared,
                                            model::time_point now) const {
  const learned* const own = find(job, job_class, now);
  const auto known =
      own == nullptr ? declared : elementwise_max(declared, own->peak);
  if (own != nullptr && own->finished)
    return known;
  if (own != nullptr && own->first)
    if (const auto grown = growth(job_class, now))
      return elementwise_max(known, scaled(*own->first, *grown));
  const auto off = prior(job_class, now);
  return off ? elementwise_max(known, scaled(declared, *off)) : known;
}

}  // namespace vanillaladder::scheduling
