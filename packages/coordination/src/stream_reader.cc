#include "coordination/stream_reader.h"

#include <absl/status/status.h>

#include <algorithm>
#include <utility>

namespace vanillaladder::coordination {
namespace {

/// Lower limit, so that snapshots do not make up most of a short stream.
constexpr model::offset min_records_between_snapshots = 64;

}  // namespace

bool snapshot_due(model::offset first, model::offset next,
                  model::offset covered) {
  if (covered + 1 < first) {
    return true;
  }
  model::offset uncovered = next - (covered + 1);
  return uncovered >= min_records_between_snapshots &&
         uncovered * 2 >= next - first;
}

template <class Traits>
std::vector<typename stream_reader<Traits>::applied_record>
stream_reader<Traits>::on_read(const read_result& read) {
  std::vector<applied_record> out;
  initialize(read);
  if (read.next < next_) {
    status_ = reader_status::log_moved_back;
    ++counters_.moved_back;
    return out;
  }
  first_kept_ = read.first;
  stream_end_ = read.next;
  if (has_state_ && read.first > next_) {
    ++counters_.gaps;
    has_state_ = false;
    min_covered_ = state_.applied();
  }
  next_ = std::max(next_, read.first);
  if (!has_state_) {
    recover(read);
    return out;
  }
  for (const auto& stored : read.records) {
    if (stored.offset >= next_ && stored.offset < read.next) {
      apply_record(stored, out);
    }
  }
  status_ =
      next_ >= stream_end_ ? reader_status::at_end : reader_status::reading;
  return out;
}

template <class Traits>
std::vector<typename stream_reader<Traits>::applied_record>
stream_reader<Traits>::on_relayed_records(
    const std::vector<stored_record>& records) {
  std::vector<applied_record> out;
  for (const auto& stored : records) {
    if (!has_state_ || stored.offset > next_) {
      break;
    }
    if (stored.offset == next_) {
      apply_record(stored, out);
    }
  }
  stream_end_ = std::max(stream_end_, next_);
  return out;
}

template <class Traits>
bool stream_reader<Traits>::should_snapshot() const {
  return has_state_ && status_ == reader_status::at_end &&
         snapshot_due(first_kept_, stream_end_, last_covered_);
}

template <class Traits>
void stream_reader<Traits>::initialize(const read_result& read) {
  if (initialized_) {
    return;
  }
  initialized_ = true;
  next_ = read.first;
  has_state_ = read.first == 0;
}

template <class Traits>
void stream_reader<Traits>::recover(const read_result& read) {
  status_ = reader_status::recovering;
  for (const auto& stored : read.records) {
    if (stored.offset < next_) {
      continue;
    }
    if (try_load_snapshot(stored, read.first)) {
      status_ = reader_status::reading;
      return;
    }
    next_ = stored.offset + 1;
  }
}

template <class Traits>
bool stream_reader<Traits>::try_load_snapshot(const stored_record& stored,
                                              model::offset first) {
  auto record = Traits::decode(stored.bytes);
  if (!record.ok()) {
    return false;
  }
  const auto* body = std::get_if<typename Traits::snapshot>(&record->body);
  // All records after the covered offset must still be kept.
  if (body == nullptr || body->covers + 1 < first ||
      body->covers >= stored.offset) {
    return false;
  }
  return load_snapshot(*body);
}

template <class Traits>
bool stream_reader<Traits>::load_snapshot(
    const typename Traits::snapshot& snapshot) {
  if (has_state_ || snapshot.covers < min_covered_) {
    return false;
  }
  auto loaded = state_type::from_snapshot(snapshot);
  if (!loaded.ok()) {
    return false;
  }
  state_ = std::move(*loaded);
  initialized_ = true;
  has_state_ = true;
  last_covered_ = snapshot.covers;
  next_ = snapshot.covers + 1;
  return true;
}

template <class Traits>
void stream_reader<Traits>::skip_to(model::offset offset) {
  if (offset > next_) {
    counters_.missing += static_cast<std::uint64_t>(offset - next_);
    state_.skip(offset - 1);
  }
  next_ = offset;
}

template <class Traits>
void stream_reader<Traits>::apply_record(const stored_record& stored,
                                         std::vector<applied_record>& out) {
  skip_to(stored.offset);
  next_ = stored.offset + 1;
  auto record = Traits::decode(stored.bytes);
  if (!record.ok()) {
    bool unknown = record.status().code() == absl::StatusCode::kUnimplemented;
    ++(unknown ? counters_.unknown : counters_.corrupt);
    state_.skip(stored.offset);
    return;
  }
  auto result = state_.apply(stored.offset, *record);
  ++counters_.applied;
  if (result.verdict == Traits::duplicate_verdict) {
    ++counters_.duplicate;
  }
  if (result.verdict == Traits::differs_verdict) {
    ++counters_.snapshots_differing;
  } else if (const auto* body =
                 std::get_if<typename Traits::snapshot>(&record->body)) {
    last_covered_ = std::max(last_covered_, body->covers);
  }
  out.push_back({stored.offset, std::move(*record), std::move(result)});
}

template class stream_reader<detail::control_traits>;
template class stream_reader<detail::shard_traits>;

}  // namespace vanillaladder::coordination
