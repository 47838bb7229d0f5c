#include "standins/knobs.h"

namespace vanillaladder::standins {
namespace {

bool has_type(const knobs::target& target, const nlohmann::json& value) {
  struct visitor {
    const nlohmann::json& value;
    bool operator()(const bool* /*unused*/) const { return value.is_boolean(); }
    bool operator()(const std::int64_t* /*unused*/) const {
      return value.is_number_integer();
    }
    bool operator()(const std::string* /*unused*/) const {
      return value.is_string();
    }
  };
  return std::visit(visitor{value}, target);
}

}  // namespace

void knobs::add(const std::string& name, target value) {
  targets_[name] = value;
}

absl::Status knobs::apply(const nlohmann::json& values) {
  for (const auto& [name, value] : values.items()) {
    auto found = targets_.find(name);
    if (found == targets_.end() || !has_type(found->second, value)) {
      return absl::InvalidArgumentError("unknown setting or wrong type: " +
                                        name);
    }
  }
  for (const auto& [name, value] : values.items()) {
    std::visit([&item = value](auto* at) { item.get_to(*at); },
               targets_.at(name));
  }
  return absl::OkStatus();
}

nlohmann::json knobs::values() const {
  auto all = nlohmann::json::object();
  for (const auto& [name, at] : targets_) {
    std::visit([&, key = name](const auto* value) { all[key] = *value; }, at);
  }
  return all;
}

}  // namespace vanillaladder::standins
