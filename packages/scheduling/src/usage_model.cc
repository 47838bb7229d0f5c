#include "scheduling/usage_model.h"

#include <algorithm>

namespace vanillaladder::scheduling {
namespace {

std::int64_t ratio(std::int64_t used, std::int64_t declared) {
  if (declared <= 0)
    return 100;  // No ratio to a declared size of zero exists.
  return std::max<std::int64_t>(100, (used * 100 + declared - 1) / declared);
}

std::int64_t scaled(std::int64_t declared, std::int64_t current,
                    std::int64_t previous) {
  return (declared * std::max(current, previous) + 99) / 100;
}

}  // namespace

model::resources larger_of(const model::resources& a,
                           const model::resources& b) {
  return {std::max(a.cpu_millis, b.cpu_millis),
          std::max(a.memory_mib, b.memory_mib),
          std::max(a.accelerators, b.accelerators)};
}

model::resources smaller_of(const model::resources& a,
                            const model::resources& b) {
  return {std::min(a.cpu_millis, b.cpu_millis),
          std::min(a.memory_mib, b.memory_mib),
          std::min(a.accelerators, b.accelerators)};
}

model::resources part_of(const model::resources& whole, std::int64_t percent) {
  return {whole.cpu_millis * percent / 100, whole.memory_mib * percent / 100,
          whole.accelerators * percent / 100};
}

usage_model::usage_model(model::milliseconds window) : window_(window) {}

std::int64_t usage_model::window_of(model::time_point at) const {
  return at.time_since_epoch() / window_;
}

void usage_model::observe(const model::class_id& job_class,
                          const model::resources& declared,
                          const model::resources& used, model::milliseconds age,
                          model::time_point now) {
  const std::int64_t window = window_of(now - age);
  if (window + 1 < window_of(now))
    return;
  learned& entry = classes_[job_class];
  if (window > entry.window) {
    entry.previous =
        window == entry.window + 1 ? entry.current : ratios{100, 100, 100};
    entry.current = {100, 100, 100};
    entry.window = window;
  }
  if (window + 1 < entry.window)
    return;
  ratios& target = window == entry.window ? entry.current : entry.previous;
  target[0] = std::max(target[0], ratio(used.cpu_millis, declared.cpu_millis));
  target[1] = std::max(target[1], ratio(used.memory_mib, declared.memory_mib));
  target[2] =
      std::max(target[2], ratio(used.accelerators, declared.accelerators));
}

model::resources usage_model::expected(const model::class_id& job_class,
                                       const model::resources& declared,
                                       model::time_point now) const {
  const auto found = classes_.find(job_class);
  if (found == classes_.end() || found->second.window + 1 < window_of(now))
    return declared;
  const learned& entry = found->second;
  const ratios none{100, 100, 100};
  const ratios& previous =
      entry.window == window_of(now) ? entry.previous : none;
  return {scaled(declared.cpu_millis, entry.current[0], previous[0]),
          scaled(declared.memory_mib, entry.current[1], previous[1]),
          scaled(declared.accelerators, entry.current[2], previous[2])};
}

}  // namespace vanillaladder::scheduling
