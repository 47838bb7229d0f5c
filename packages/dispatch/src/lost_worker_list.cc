#include "dispatch/lost_worker_list.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <chrono>

namespace vanillaladder::dispatch {

namespace {

/// @return the time left in whole milliseconds, rounded up; 0 if it is over.
model::milliseconds remaining_at(model::time_point now,
                                 model::time_point ends_at) {
  return std::max(std::chrono::ceil<model::milliseconds>(ends_at - now),
                  model::milliseconds(0));
}

std::optional<model::milliseconds> parse_remaining(absl::string_view text) {
  std::int64_t remaining = 0;
  if (!absl::SimpleAtoi(text, &remaining) || remaining < 0) {
    return std::nullopt;
  }
  return model::milliseconds(remaining);
}

/// Parses "REMAINING" or "REMAINING/REMAINING_AFTER_RESTART".
std::optional<lost_worker_record::entry> parse_entry(std::string id,
                                                     absl::string_view times) {
  std::vector<absl::string_view> parts = absl::StrSplit(times, '/');
  auto remaining = parse_remaining(parts[0]);
  if (!remaining || parts.size() > 2) {
    return std::nullopt;
  }
  lost_worker_record::entry entry{std::move(id), *remaining, std::nullopt};
  if (parts.size() == 2) {
    entry.remaining_after_restart = parse_remaining(parts[1]);
    if (!entry.remaining_after_restart) {
      return std::nullopt;
    }
  }
  return entry;
}

}  // namespace

std::string encode(const lost_worker_record& record) {
  auto text = absl::StrCat(record.holder, " ", record.sequence);
  for (const auto& worker : record.workers) {
    absl::StrAppend(&text, " ", worker.id, " ", worker.remaining.count());
    if (worker.remaining_after_restart) {
      absl::StrAppend(&text, "/", worker.remaining_after_restart->count());
    }
  }
  return text;
}

std::optional<lost_worker_record> decode_lost_workers(std::string_view value) {
  std::vector<std::string> parts =
      absl::StrSplit(absl::string_view(value.data(), value.size()), ' ');
  lost_worker_record record;
  if (parts.size() < 2 || parts.size() % 2 != 0 ||
      !absl::SimpleAtoi(parts[1], &record.sequence)) {
    return std::nullopt;
  }
  record.holder = parts[0];
  for (std::size_t n = 2; n < parts.size(); n += 2) {
    auto entry = parse_entry(std::move(parts[n]), parts[n + 1]);
    if (!entry) {
      return std::nullopt;
    }
    record.workers.push_back(std::move(*entry));
  }
  return record;
}

void lost_worker_list::on_record(const lost_worker_record& record,
                                 model::time_point now) {
  if (record.holder == holder_id_) {
    auto own = std::ranges::find(sent_, record.sequence, &sent_list::sequence);
    if (own == sent_.end()) {
      return;
    }
    // The bounds as of the sending are tighter than those by the arrival.
    stored_ = std::move(own->workers);
    sent_.erase(sent_.begin(), std::next(own));
    return;
  }
  stored_.clear();
  sent_.clear();
  for (const auto& each : record.workers) {
    batch::lost_worker worker{each.id, now + each.remaining, std::nullopt};
    if (each.remaining_after_restart) {
      worker.later_lease_ends_at = now + *each.remaining_after_restart;
    }
    stored_.emplace(each.id, std::move(worker));
  }
}

std::optional<lost_worker_record> lost_worker_list::prepare_record(
    std::optional<std::vector<batch::lost_worker>> lost,
    model::time_point now) {
  auto current = lost ? std::move(*lost) : workers();
  bool was_empty =
      stored_.empty() && std::ranges::all_of(sent_, [](const auto& list) {
        return list.workers.empty();
      });
  if (current.empty() && was_empty) {
    return std::nullopt;
  }
  std::ranges::sort(current, {}, &batch::lost_worker::lease_ends_at);
  current.resize(std::min(current.size(), max_workers));
  lost_worker_record record{holder_id_, ++sequence_, {}};
  sent_list sent{sequence_, {}};
  for (const auto& worker : current) {
    lost_worker_record::entry entry{
        worker.id, remaining_at(now, worker.lease_ends_at), std::nullopt};
    if (worker.later_lease_ends_at) {
      entry.remaining_after_restart =
          remaining_at(now, *worker.later_lease_ends_at);
    }
    record.workers.push_back(std::move(entry));
    sent.workers.emplace(worker.id, worker);
  }
  sent_.push_back(std::move(sent));
  if (sent_.size() > max_sent_lists) {
    auto oldest = std::move(sent_.front());
    sent_.pop_front();
    sent_.front().workers.merge(oldest.workers);
  }
  return record;
}

bool lost_worker_list::may_extend_lease(std::string_view id) const {
  return !stored_.contains(id) &&
         std::ranges::none_of(sent_, [id](const auto& list) {
           return list.workers.contains(id);
         });
}

std::vector<batch::lost_worker> lost_worker_list::workers() const {
  std::vector<batch::lost_worker> workers;
  workers.reserve(stored_.size());
  for (const auto& [id, worker] : stored_) {
    workers.push_back(worker);
  }
  return workers;
}

}  // namespace vanillaladder::dispatch
