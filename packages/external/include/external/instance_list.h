#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "model/types.h"

namespace vanillaladder::external {

/// An entry instance of the system as the instance list describes it.
struct entry_info {
  model::instance_id id;
  std::string address;
  std::uint16_t port = 0;
  model::domain_id domain;
  model::instance_state state = model::instance_state::live;

  bool operator==(const entry_info&) const = default;
};

/// Contents of the instance list at one point in time.
struct instance_snapshot {
  /// Age of the data at the time of the answer, as reported by the list.
  std::chrono::milliseconds age{0};
  std::vector<model::worker_info> workers;
  std::vector<model::backend_info> backends;
  std::vector<entry_info> entries;
};

/// The platform's list of live and leaving instances. It is eventually
/// consistent and may be out of date.
class instance_list {
 public:
  using fetch_callback = std::function<void(absl::StatusOr<instance_snapshot>)>;

  virtual ~instance_list() = default;

  /// Reads the whole list.
  /// @param done called exactly once, on the event loop's thread and never
  ///   before `fetch` returns, unless the list is destroyed first.
  virtual void fetch(fetch_callback done) = 0;
};

}  // namespace vanillaladder::external
