#include "coordination/stream_reader.h"

#include <absl/status/status.h>

#include <algorithm>
#include <utility>

namespace vanillaladder::coordination {
namespace {

/// Fewest records between two snapshots, so that a short stream is not filled
/// with them.
constexpr model::offset min_records_between_snapshots = 64;

}  // namespace

bool snapshot_due(model::offset first, model::offset next,
                  model::offset covered) {
  if (covered + 1 < first) {
    return true;
  }
  model::offset since = next - (covered + 1);
  return since >= min_records_between_snapshots && since * 2 >= next - first;
}

template <class Traits>
std::vector<typename stream_reader<Traits>::applied_record>
stream_reader<Traits>::on_read(const read_result& read) {
  std::vector<applied_record> out;
  begin(read);
  if (read.next < next_) {
    status_ = reader_status::log_moved_back;
    ++counters_.moved_back;
    return out;
  }
  first_ = read.first;
  end_ = read.next;
  if (has_state_ && read.first > next_) {
    ++counters_.gaps;
    has_state_ = false;
    floor_ = state_.applied();
  }
  next_ = std::max(next_, read.first);
  if (!has_state_) {
    recover(read);
    return out;
  }
  for (const auto& stored : read.records) {
    if (stored.offset >= next_ && stored.offset < read.next) {
      apply_one(stored, out);
    }
  }
  status_ = next_ >= end_ ? reader_status::at_end : reader_status::reading;
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
      apply_one(stored, out);
    }
  }
  end_ = std::max(end_, next_);
  return out;
}

template <class Traits>
bool stream_reader<Traits>::should_snapshot() const {
  return has_state_ && status_ == reader_status::at_end &&
         snapshot_due(first_, end_, covered_);
}

template <class Traits>
void stream_reader<Traits>::begin(const read_result& read) {
  if (started_) {
    return;
  }
  started_ = true;
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
    if (try_snapshot(stored, read.first)) {
      status_ = reader_status::reading;
      return;
    }
    next_ = stored.offset + 1;
  }
}

template <class Traits>
bool stream_reader<Traits>::try_snapshot(const stored_record& stored,
                                         model::offset first) {
  auto record = Traits::decode(stored.bytes);
  if (!record.ok()) {
    return false;
  }
  const auto* body = std::get_if<typename Traits::snapshot>(&record->body);
  // The tail after the covered offset must still be kept.
  if (body == nullptr || body->covers + 1 < first ||
      body->covers >= stored.offset) {
    return false;
  }
  return load_snapshot(*body);
}

template <class Traits>
bool stream_reader<Traits>::load_snapshot(
    const typename Traits::snapshot& snapshot) {
  if (has_state_ || snapshot.covers < floor_) {
    return false;
  }
  auto loaded = state_type::from_snapshot(snapshot);
  if (!loaded.ok()) {
    return false;
  }
  state_ = std::move(*loaded);
  started_ = true;
  has_state_ = true;
  covered_ = snapshot.covers;
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
void stream_reader<Traits>::apply_one(const stored_record& stored,
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
  if (result.verdict == Traits::duplicate) {
    ++counters_.duplicate;
  }
  if (result.verdict == Traits::differs) {
    ++counters_.snapshots_differing;
  } else if (const auto* body =
                 std::get_if<typename Traits::snapshot>(&record->body)) {
    covered_ = std::max(covered_, body->covers);
  }
  out.push_back({stored.offset, std::move(*record), std::move(result)});
}

template class stream_reader<detail::control_traits>;
template class stream_reader<detail::shard_traits>;

}  // namespace vanillaladder::coordination
