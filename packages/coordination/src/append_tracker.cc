#include "coordination/append_tracker.h"

#include <algorithm>
#include <utility>

namespace vanillaladder::coordination {

record_id append_tracker::next_id() {
  return {instance_, incarnation_, ++last_sequence_};
}

void append_tracker::add(const record_id& id, std::string bytes,
                         model::time_point now) {
  tracked_record added;
  added.bytes = std::move(bytes);
  added.due = now;
  records_.emplace(id.sequence, std::move(added));
}

std::optional<append_batch> append_tracker::poll(model::time_point now) {
  auto due = next_poll();
  if (!due || *due > now) {
    return std::nullopt;
  }
  append_batch out;
  batch_sequences_.clear();
  for (auto& [sequence, item] : records_) {
    if (item.state != delivery_state::queued || item.due > now) {
      continue;
    }
    retried_ += item.sent ? 1 : 0;
    item.state = delivery_state::in_flight;
    item.sent = true;
    out.records.push_back(item.bytes);
    batch_sequences_.push_back(sequence);
  }
  out.number = ++last_batch_;
  in_flight_ = out.number;
  last_sent_ = now;
  return out;
}

std::optional<model::time_point> append_tracker::next_poll() const {
  std::optional<model::time_point> due;
  if (in_flight_) {
    return due;
  }
  for (const auto& [sequence, item] : records_) {
    if (item.state == delivery_state::queued) {
      due = due ? std::min(*due, item.due) : item.due;
    }
  }
  if (due && last_sent_) {
    due = std::max(*due, *last_sent_ + group_commit_interval_ms);
  }
  return due;
}

void append_tracker::on_acknowledged(std::uint64_t number,
                                     model::offset offset) {
  if (in_flight_ != number) {
    return;
  }
  in_flight_.reset();
  for (std::size_t i = 0; i < batch_sequences_.size(); ++i) {
    auto found = records_.find(batch_sequences_[i]);
    if (found != records_.end()) {
      found->second.state = delivery_state::acknowledged;
      found->second.expected_offset = offset + static_cast<model::offset>(i);
    }
  }
}

void append_tracker::on_failed(std::uint64_t number, model::time_point now) {
  if (in_flight_ != number) {
    return;
  }
  in_flight_.reset();
  for (std::uint64_t sequence : batch_sequences_) {
    auto found = records_.find(sequence);
    if (found != records_.end()) {
      found->second.state = delivery_state::queued;
      found->second.due = now + append_retry_delay_ms;
    }
  }
}

std::optional<append_resolution> append_tracker::on_read(model::offset offset,
                                                         const record_id& id,
                                                         bool valid,
                                                         bool duplicate) {
  if (id.instance != instance_ || id.incarnation != incarnation_ ||
      records_.erase(id.sequence) == 0) {
    return std::nullopt;
  }
  // If a record without an outcome is read as a duplicate, its first copy is
  // covered by the snapshot that the reader started from, and the verdict on
  // that copy is not known.
  if (duplicate) {
    return append_resolution{id, append_outcome::unknown, -1};
  }
  return append_resolution{
      id, valid ? append_outcome::valid : append_outcome::invalid, offset};
}

void append_tracker::on_read_position(model::offset next,
                                      model::time_point now) {
  for (auto& [sequence, item] : records_) {
    if (item.state == delivery_state::acknowledged &&
        item.expected_offset < next) {
      item.state = delivery_state::queued;
      item.due = now;
    }
  }
}

std::optional<append_resolution> append_tracker::abandon(const record_id& id) {
  auto found = id.instance == instance_ && id.incarnation == incarnation_
                   ? records_.find(id.sequence)
                   : records_.end();
  if (found == records_.end()) {
    return std::nullopt;
  }
  auto outcome =
      found->second.sent ? append_outcome::unknown : append_outcome::invalid;
  records_.erase(found);
  return append_resolution{id, outcome, -1};
}

}  // namespace vanillaladder::coordination
