#include "runtime/log_text.h"

#include <absl/strings/str_cat.h>

namespace vanillaladder::runtime {

void append_log_text(std::string& out, std::string_view text,
                     std::size_t max_bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  for (char each : text.substr(0, max_bytes)) {
    auto byte = static_cast<unsigned char>(each);
    if (byte >= 0x20 && byte != 0x7f) {
      out += each;
    } else {
      out += "\\x";
      out += digits[byte >> 4U];
      out += digits[byte & 0xFU];
    }
  }
  if (text.size() > max_bytes) {
    absl::StrAppend(&out, "...(", text.size() - max_bytes, " bytes left out)");
  }
}

}  // namespace vanillaladder::runtime
