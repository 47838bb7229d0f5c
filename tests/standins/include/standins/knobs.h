#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

namespace vanillaladder::standins {

/// Named values that the control port reads and changes.
class knobs {
 public:
  using target = std::variant<bool*, std::int64_t*, std::string*>;

  /// @param value must outlive the knobs.
  void add(const std::string& name, target value);

  /// Sets all values named in an object, or none if one is unknown or has
  /// another type.
  absl::Status apply(const nlohmann::json& values);

  /// @return all values.
  nlohmann::json values() const;

 private:
  std::map<std::string, target> targets_;
};

}  // namespace vanillaladder::standins
