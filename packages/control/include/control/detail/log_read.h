#pragma once

#include <utility>

#include "coordination/stream_reader.h"
#include "external/log_service.h"

namespace vanillaladder::control::detail {

/// Converts a response of the log to the input type of stream readers.
inline coordination::read_result to_read_result(external::read_result result) {
  coordination::read_result converted;
  converted.first = result.first;
  converted.next = result.next;
  converted.records.reserve(result.entries.size());
  for (auto& entry : result.entries) {
    converted.records.push_back({entry.offset, std::move(entry.data)});
  }
  return converted;
}

}  // namespace vanillaladder::control::detail
