#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace vanillaladder::coordination::detail {

/// @return the concatenated parts. The installed Abseil was built without
/// support for `std::string_view`, so `absl::StrCat` does not accept it.
inline std::string concat(std::initializer_list<std::string_view> parts) {
  std::string out;
  for (auto part : parts) {
    out.append(part);
  }
  return out;
}

}  // namespace vanillaladder::coordination::detail
