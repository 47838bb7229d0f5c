#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace vanillaladder::runtime {

/// Longest text of one log line, in bytes.
inline constexpr std::size_t max_log_text = 2000;

/// Appends text to a log line. Control characters are written as "\\xHH", so
/// that text from outside cannot begin a line of its own, and text beyond
/// `max_bytes` is left out and its size noted.
void append_log_text(std::string& out, std::string_view text,
                     std::size_t max_bytes = max_log_text);

}  // namespace vanillaladder::runtime
