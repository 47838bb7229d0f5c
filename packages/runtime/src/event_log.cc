#include "runtime/event_log.h"

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

#include "runtime/log_text.h"

namespace vanillaladder::runtime {
namespace {

/// Writes up to this size are atomic on a pipe; log collectors cut longer
/// ones.
constexpr std::size_t max_write_size = PIPE_BUF;

}  // namespace

event_log::event_log(int descriptor, std::string instance,
                     const event_log_options& options)
    : descriptor_(descriptor),
      instance_(std::move(instance)),
      options_(options),
      line_tokens_(options.burst) {
  int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

bool event_log::try_acquire_line(time_point now, importance level) {
  std::chrono::duration<double> elapsed = now - last_refill_;
  last_refill_ = now;
  line_tokens_ =
      std::min(options_.burst,
               line_tokens_ + elapsed.count() * options_.lines_per_second);
  double reserved_fraction =
      level == importance::important ? 0 : options_.reserved_share;
  double byte_limit = (1 - reserved_fraction) *
                      static_cast<double>(options_.max_buffered_bytes);
  if (line_tokens_ < 1 + reserved_fraction * options_.burst ||
      static_cast<double>(buffer_.size()) >= byte_limit) {
    return false;
  }
  line_tokens_ -= 1;
  return true;
}

void event_log::write(std::string_view part, std::string_view event,
                      time_point now, std::int64_t wall_ms, importance level) {
  if (!try_acquire_line(now, level)) {
    ++unreported_drops_;
    ++dropped_total_;
    return;
  }
  if (unreported_drops_ > 0) {
    absl::StrAppend(&buffer_, wall_ms, " ", instance_,
                    " log lines_dropped n=", unreported_drops_, "\n");
    unreported_drops_ = 0;
  }
  absl::StrAppend(&buffer_, wall_ms, " ", instance_, " ",
                  absl::string_view(part.data(), part.size()), " ");
  append_log_text(buffer_, event);
  buffer_ += '\n';
}

void event_log::flush() {
  std::size_t written = 0;
  while (written < buffer_.size()) {
    auto size = std::min(buffer_.size() - written, max_write_size);
    if (written + size < buffer_.size()) {
      // End the write at a line break unless the line exceeds the write size.
      auto end = buffer_.rfind('\n', written + size - 1);
      if (end != std::string::npos && end >= written) {
        size = end + 1 - written;
      }
    }
    auto count = ::write(descriptor_, buffer_.data() + written, size);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  buffer_.erase(0, written);
}

}  // namespace vanillaladder::runtime
