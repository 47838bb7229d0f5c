#include "dispatch/start_gate.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace vanillaladder::dispatch {

start_gate::start_gate(std::vector<watched_copy> copies, reporter report)
    : copies_(std::move(copies)),
      refreshing_(std::make_shared<std::vector<bool>>(copies_.size(), false)),
      refreshed_at_(copies_.size()),
      report_(report) {}

std::chrono::milliseconds start_gate::age_of(const watched_copy& copy,
                                             model::time_point now) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      now - copy.current_as_of());
}

void start_gate::refresh(std::size_t index, model::time_point now) {
  if ((*refreshing_)[index] || now - refreshed_at_[index] < refresh_pause) {
    return;
  }
  refreshed_at_[index] = now;
  (*refreshing_)[index] = true;
  copies_[index].refresh(
      [refreshing = refreshing_, index] { (*refreshing)[index] = false; });
}

bool start_gate::is_open(model::time_point now) {
  const watched_copy* oldest = nullptr;
  for (std::size_t n = 0; n < copies_.size(); ++n) {
    const auto& copy = copies_[n];
    auto age = age_of(copy, now);
    if (age > copy.max_age / 2) {
      refresh(n, now);
    }
    if (age > copy.max_age && oldest == nullptr) {
      oldest = &copy;
    }
  }
  bool is_open = oldest == nullptr;
  if (!is_open && !held_since_) {
    held_since_ = now;
    report_.count("vanillaladder_starts_held_total", "topic", oldest->topic);
    report_.event("leader", absl::StrCat("starts_held topic=", oldest->topic,
                                         " limit_ms=", oldest->max_age.count(),
                                         ages(now)));
  } else if (is_open && held_since_) {
    auto held = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - *std::exchange(held_since_, std::nullopt));
    report_.event(
        "leader",
        absl::StrCat("starts_resumed held_ms=", held.count(), ages(now)));
  }
  return is_open;
}

std::string start_gate::ages(model::time_point now) const {
  std::string text;
  for (const auto& copy : copies_) {
    absl::StrAppend(&text, " age_ms[", copy.topic,
                    "]=", age_of(copy, now).count());
  }
  return text;
}

}  // namespace vanillaladder::dispatch
