#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

/// Stand-ins for the outside systems, for tests and local runs only.
namespace vanillaladder::standins {

using nlohmann::json;
using clock = std::chrono::steady_clock;

/// What a stand-in saw and did, in order.
class event_record {
 public:
  /// Adds an event.
  /// @param fields an object; gets `seq`, `event` and `at_us`, the time on
  ///   the machine's monotonic clock, comparable between processes.
  void add(std::string_view name, json fields);

  /// @return the events from sequence number `from` on, and the next number.
  json since(std::size_t from) const;

 private:
  std::vector<json> events_;
};

}  // namespace vanillaladder::standins
