#include "http/detail/connection_ledger.h"

#include <tuple>

namespace vanillaladder::http::detail {

connection_ledger::connection_id connection_ledger::add(time_point now) {
  entry added;
  added.last_progress = now;
  entries_.emplace(++last_id_, added);
  return last_id_;
}

void connection_ledger::remove(connection_id id) {
  update(id, activity::idle, 0);
  entries_.erase(id);
}

void connection_ledger::update(connection_id id, activity doing,
                               std::size_t bytes) {
  auto& each = entries_.at(id);
  buffered_bytes_ = buffered_bytes_ - each.buffered_bytes + bytes;
  if (each.doing == activity::answering) {
    answering_bytes_ -= each.buffered_bytes;
  }
  if (doing == activity::answering) {
    answering_bytes_ += bytes;
  }
  each.doing = doing;
  each.buffered_bytes = bytes;
}

std::optional<connection_ledger::connection_id>
connection_ledger::pick_for_memory(time_point now) const {
  const entry* slowest = nullptr;
  const entry* largest = nullptr;
  connection_id slowest_id = 0;
  connection_id largest_id = 0;
  for (const auto& [id, each] : entries_) {
    if (each.doing != activity::receiving || each.buffered_bytes == 0) {
      continue;
    }
    if (slowest == nullptr || each.last_progress < slowest->last_progress) {
      slowest = &each;
      slowest_id = id;
    }
    if (largest == nullptr || each.buffered_bytes > largest->buffered_bytes) {
      largest = &each;
      largest_id = id;
    }
  }
  if (slowest == nullptr) {
    return std::nullopt;
  }
  return now - slowest->last_progress > stall_time ? slowest_id : largest_id;
}

std::optional<connection_ledger::connection_id>
connection_ledger::pick_for_room(connection_id newest) const {
  std::optional<connection_id> best;
  auto rank = [](const entry& each) {
    bool receives = each.doing == activity::receiving;
    bool is_known = !receives && each.answered > 0;
    return std::tuple(receives, is_known, each.last_progress);
  };
  for (const auto& [id, each] : entries_) {
    if (id == newest || each.doing == activity::answering) {
      continue;
    }
    if (!best || rank(each) < rank(entries_.at(*best))) {
      best = id;
    }
  }
  return best;
}

bool connection_ledger::is_overdue(
    const entry& each, time_point now, std::chrono::milliseconds head_timeout,
    std::chrono::milliseconds idle_timeout) const {
  if (each.doing == activity::answering) {
    return false;
  }
  bool head_is_late = each.doing == activity::receiving && !each.has_head &&
                      now - each.began_at > head_timeout;
  return head_is_late || now - each.last_progress > idle_timeout;
}

}  // namespace vanillaladder::http::detail
