#include "coordination/record_history.h"

#include <algorithm>

namespace vanillaladder::coordination {
namespace {

void add_missing(writer_history& history, std::uint64_t sequence) {
  std::uint64_t first = history.highest + 1;
  if (sequence - first > max_missing_sequences) {
    first = sequence - max_missing_sequences;
  }
  for (; first < sequence; ++first) {
    history.missing.insert(first);
  }
  while (history.missing.size() > max_missing_sequences) {
    history.missing.erase(history.missing.begin());
  }
}

void drop_oldest_writer(writer_histories& writers) {
  auto oldest = std::min_element(
      writers.begin(), writers.end(), [](const auto& a, const auto& b) {
        return a.second.last_offset < b.second.last_offset;
      });
  writers.erase(oldest);
}

}  // namespace

record_id_status register_record(writer_histories& writers, const record_id& id,
                                 model::offset offset) {
  writer_history& history = writers[id.instance];
  if (id.incarnation < history.incarnation) {
    return record_id_status::stale_incarnation;
  }
  if (id.incarnation > history.incarnation) {
    history = writer_history{id.incarnation, 0, {}, offset};
  }
  if (id.sequence <= history.highest) {
    return history.missing.erase(id.sequence) == 1
               ? record_id_status::first_seen
               : record_id_status::duplicate;
  }
  add_missing(history, id.sequence);
  history.highest = id.sequence;
  history.last_offset = offset;
  if (writers.size() > max_writers) {
    drop_oldest_writer(writers);
  }
  return record_id_status::first_seen;
}

}  // namespace vanillaladder::coordination
