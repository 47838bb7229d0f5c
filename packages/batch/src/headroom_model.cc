#include "batch/headroom_model.h"

#include <algorithm>
#include <chrono>

namespace vanillaladder::batch {
namespace {

// Noise of a reported headroom: response times are rounded to whole
// milliseconds and measured over half a second.
constexpr double min_noise_variance = 0.02;
constexpr double relative_noise = 0.1;

double seconds_between(time_point from, time_point to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

}  // namespace

image_number headroom_model::number_of(std::string_view image) {
  auto next = static_cast<image_number>(numbers_.size());
  return numbers_.try_emplace(std::string(image), next).first->second;
}

estimate headroom_model::weight_at(const pair_key& key, time_point now) const {
  auto found = weights_.find(key);
  if (found == weights_.end()) {
    return {initial_weight, initial_weight_variance, now};
  }
  auto known = found->second;
  known.variance =
      std::min(initial_weight_variance,
               known.variance + weight_variance_growth *
                                    seconds_between(known.updated_at, now));
  known.updated_at = now;
  return known;
}

double headroom_model::weight(image_number serving,
                              image_number best_effort) const {
  auto found = weights_.find(pair_key(serving, best_effort));
  return found == weights_.end() ? initial_weight : found->second.mean;
}

void headroom_model::learn(estimate& own_headroom, image_number serving,
                           std::span<const best_effort_load> neighbours,
                           double headroom, time_point now) {
  headroom = std::min(headroom, max_headroom);
  own_headroom.variance =
      std::min(initial_headroom_variance,
               own_headroom.variance +
                   headroom_variance_growth *
                       seconds_between(own_headroom.updated_at, now));
  own_headroom.updated_at = now;
  double noise = relative_noise * headroom;
  double spread = own_headroom.variance + min_noise_variance + noise * noise;
  double predicted = own_headroom.mean;
  for (const auto& each : neighbours) {
    auto known = weight_at({serving, each.image}, now);
    predicted -= each.share * known.mean;
    spread += each.share * each.share * known.variance;
  }
  double error = headroom - predicted;
  if (headroom < overload_headroom && error > 0) {
    return;
  }
  for (const auto& each : neighbours) {
    if (each.share <= 0) {
      continue;
    }
    pair_key key{serving, each.image};
    auto known = weight_at(key, now);
    double gain = each.share * known.variance / spread;
    known.mean = std::max(0.0, known.mean - gain * error);
    known.variance *= 1 - gain * each.share;
    weights_[key] = known;
  }
  double gain = own_headroom.variance / spread;
  own_headroom.mean =
      std::clamp(own_headroom.mean + gain * error, 0.0, max_headroom);
  own_headroom.variance *= 1 - gain;
}

}  // namespace vanillaladder::batch
