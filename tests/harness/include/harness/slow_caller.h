#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "http/message.h"

namespace vanillaladder::harness {

/// A caller that reads the response to its request only when it is told to.
/// Its receive buffer is small, so that the server cannot write a long
/// response in advance.
class slow_caller {
 public:
  /// Sends a request to a local port.
  /// @throws std::runtime_error if it cannot be sent.
  slow_caller(std::uint16_t port, const http::request& message);
  ~slow_caller();
  slow_caller(const slow_caller&) = delete;
  slow_caller& operator=(const slow_caller&) = delete;

  /// Reads until the end of the response's headers.
  /// @return whether they came within the generous limit.
  bool read_headers();
  /// Reads the body, small piece by small piece.
  /// @param bytes_left stops when this much of the body has not been read.
  /// @return whether it came within the generous limit.
  bool read_body(std::size_t bytes_left = 0);
  /// @return the status code; 0 before the headers have been read.
  int status() const;
  /// @return length of the body that the headers announce, in bytes.
  std::size_t announced_bytes() const;
  /// @return the body as far as it has been read.
  std::string body() const;

 private:
  bool read_some();

  int connection_;
  std::string received_;
  std::size_t body_at_ = 0;
};

}  // namespace vanillaladder::harness
