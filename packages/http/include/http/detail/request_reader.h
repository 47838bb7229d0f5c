#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "http/message.h"

namespace vanillaladder::http::detail {

/// Parses the requests of one connection, one at a time, within limits.
class request_reader {
 public:
  enum class state {
    /// Nothing of the request has arrived.
    idle,
    reading_head,
    reading_body,
    complete,
    /// The request must be refused with `failure_status`.
    failed,
  };

  request_reader(std::size_t max_head_bytes, std::size_t max_body_bytes);
  ~request_reader();
  request_reader(const request_reader&) = delete;
  request_reader& operator=(const request_reader&) = delete;

  /// Parses up to the end of the request.
  /// @return the number of bytes that belong to it.
  std::size_t feed(std::string_view bytes);
  void set_max_body_bytes(std::size_t bytes) { max_body_bytes_ = bytes; }
  state current_state() const { return state_; }
  /// @return 400, 411, 413 or 431.
  int failure_status() const { return failure_status_; }
  /// @return memory that the request takes.
  std::size_t buffered_bytes() const;
  /// @return whether the caller waits for "100 Continue" before it sends the
  ///   body. True once for each request.
  bool take_expectation();
  /// @return whether the connection may carry another request.
  bool keep_alive() const { return keep_alive_; }
  /// Removes the request; the next one may be fed.
  request take_request();
  /// Drops what has been read.
  void reset();

 private:
  // Defined in the source file: http_parser.h conflicts with libwebsockets.h.
  struct parser;

  void release_message();
  int fail(int status);
  int on_head_complete();
  void append_body(std::string_view bytes);

  std::size_t max_head_bytes_;
  std::size_t max_body_bytes_;
  std::unique_ptr<parser> parser_;
  state state_ = state::idle;
  int failure_status_ = 0;
  request message_;
  std::string header_name_;
  std::string header_value_;
  bool reading_header_name_ = false;
  std::size_t head_bytes_ = 0;
  std::size_t announced_bytes_ = 0;
  bool expects_continue_ = false;
  bool keep_alive_ = true;
};

}  // namespace vanillaladder::http::detail
