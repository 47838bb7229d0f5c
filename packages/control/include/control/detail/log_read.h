#pragma once

#include <utility>

#include "coordination/stream_reader.h"
#include "external/log_service.h"

namespace vanillaladder::control::detail {

/// @return the log's answer in the form that stream readers take.
inline coordination::read_result to_read_result(external::read_result result) {
  coordination::read_result made;
  made.first = result.first;
  made.next = result.next;
  made.records.reserve(result.entries.size());
  for (auto& entry : result.entries) {
    made.records.push_back({entry.offset, std::move(entry.data)});
  }
  return made;
}

}  // namespace vanillaladder::control::detail
