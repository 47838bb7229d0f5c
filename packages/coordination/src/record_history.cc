#include "coordination/record_history.h"

#include <algorithm>

namespace vanillaladder::coordination {
namespace {

void note_gap(writer_history& history, std::uint64_t sequence) {
  std::uint64_t from = history.highest + 1;
  if (sequence - from > max_missing) {
    from = sequence - max_missing;
  }
  for (; from < sequence; ++from) {
    history.missing.insert(from);
  }
  while (history.missing.size() > max_missing) {
    history.missing.erase(history.missing.begin());
  }
}

void forget_oldest(writer_histories& writers) {
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
  note_gap(history, id.sequence);
  history.highest = id.sequence;
  history.last_offset = offset;
  if (writers.size() > max_writers) {
    forget_oldest(writers);
  }
  return record_id_status::first_seen;
}

}  // namespace vanillaladder::coordination
