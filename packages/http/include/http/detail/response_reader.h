#pragma once

#include <memory>
#include <string_view>

#include "http/message.h"

namespace vanillaladder::http::detail {

/// Parses the responses of one connection, one at a time.
class response_reader {
 public:
  response_reader();
  ~response_reader();
  response_reader(const response_reader&) = delete;
  response_reader& operator=(const response_reader&) = delete;

  /// Discards the parser state before the next response.
  void reset();
  /// @return false if the bytes are not a valid response or its body exceeds
  ///   `max_body_bytes`.
  bool feed(std::string_view bytes, std::size_t max_body_bytes);
  bool complete() const { return complete_; }
  /// @return whether the connection may carry another call.
  bool keep_alive() const;
  response take_response() { return std::move(answer_); }

 private:
  // Defined in the source file: http_parser.h conflicts with libwebsockets.h.
  struct parser;

  std::unique_ptr<parser> parser_;
  response answer_;
  bool reading_header_name_ = false;
  bool complete_ = false;
};

}  // namespace vanillaladder::http::detail
