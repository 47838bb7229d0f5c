#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace vanillaladder::coordination::detail {

/// @return the parts joined. The installed absl was built without support for
/// `std::string_view`, so `absl::StrCat` doesn't accept it.
inline std::string concat(std::initializer_list<std::string_view> parts) {
  std::string out;
  for (auto part : parts) {
    out.append(part);
  }
  return out;
}

}  // namespace vanillaladder::coordination::detail
