#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillaladder::crowd {

/// Callers that all send the same bytes at once, each on a connection of its
/// own, and leave it open.
class caller_crowd {
 public:
  caller_crowd(std::uint16_t port, std::size_t callers);
  ~caller_crowd();
  caller_crowd(const caller_crowd&) = delete;
  caller_crowd& operator=(const caller_crowd&) = delete;

  /// Sends until each caller has sent everything or finds its connection
  /// closed. Answers are read and dropped.
  /// @param piece bytes that a caller sends before it is another one's turn.
  /// @return false if the server stopped taking bytes and left connections open
  ///   for a generous time.
  bool send_all(const std::string& bytes, std::size_t piece);

 private:
  struct member {
    int socket = -1;
    std::size_t sent = 0;
    bool done = false;
  };

  std::vector<member> members_;
};

/// Memory and descriptors of a process.
struct usage {
  /// Peak of the resident memory in MiB.
  std::size_t peak_mib = 0;
  std::size_t descriptors = 0;
};

usage usage_of(pid_t pid);

/// @return the head of a request with a body of `length` bytes.
std::string post_head(const std::string& host, const std::string& target,
                      std::size_t length);

}  // namespace vanillaladder::crowd
