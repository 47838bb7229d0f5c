#include "dispatch/lost_worker_list.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <chrono>

namespace vanillaladder::dispatch {

std::string encode(const lost_worker_record& record) {
  auto text = absl::StrCat(record.holder, " ", record.sequence);
  for (const auto& worker : record.workers) {
    absl::StrAppend(&text, " ", worker.id, " ", worker.remaining.count());
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
    std::int64_t remaining = 0;
    if (!absl::SimpleAtoi(parts[n + 1], &remaining) || remaining < 0) {
      return std::nullopt;
    }
    record.workers.push_back({parts[n], model::milliseconds(remaining)});
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
    stored_ = std::move(own->ends);
    sent_.erase(sent_.begin(), std::next(own));
    return;
  }
  stored_.clear();
  sent_.clear();
  for (const auto& worker : record.workers) {
    stored_.emplace(worker.id, now + worker.remaining);
  }
}

std::optional<lost_worker_record> lost_worker_list::prepare_record(
    std::optional<std::vector<batch::lost_worker>> lost,
    model::time_point now) {
  auto current = lost ? std::move(*lost) : workers();
  bool was_empty =
      stored_.empty() && std::ranges::all_of(sent_, [](const auto& list) {
        return list.ends.empty();
      });
  if (current.empty() && was_empty) {
    return std::nullopt;
  }
  std::ranges::sort(current, {}, &batch::lost_worker::lease_ends_at);
  current.resize(std::min(current.size(), max_workers));
  lost_worker_record record{holder_id_, ++sequence_, {}};
  sent_list sent{sequence_, {}};
  for (const auto& worker : current) {
    auto remaining = std::max(
        std::chrono::ceil<model::milliseconds>(worker.lease_ends_at - now),
        model::milliseconds(0));
    record.workers.push_back({worker.id, remaining});
    sent.ends.emplace(worker.id, worker.lease_ends_at);
  }
  sent_.push_back(std::move(sent));
  if (sent_.size() > max_sent_lists) {
    auto oldest = std::move(sent_.front());
    sent_.pop_front();
    sent_.front().ends.merge(oldest.ends);
  }
  return record;
}

bool lost_worker_list::may_extend_lease(std::string_view id) const {
  return !stored_.contains(id) &&
         std::ranges::none_of(
             sent_, [id](const auto& list) { return list.ends.contains(id); });
}

std::vector<batch::lost_worker> lost_worker_list::workers() const {
  std::vector<batch::lost_worker> workers;
  workers.reserve(stored_.size());
  for (const auto& [id, ends_at] : stored_) {
    workers.push_back({id, ends_at});
  }
  return workers;
}

}  // namespace vanillaladder::dispatch
