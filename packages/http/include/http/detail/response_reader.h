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

  /// Prepares for the next response.
  void reset();
  /// @return false if the bytes are no response or its body exceeds `limit`.
  bool feed(std::string_view bytes, std::size_t limit);
  bool complete() const { return complete_; }
  /// @return whether the connection may carry another call.
  bool keep_alive() const;
  response take() { return std::move(answer_); }

 private:
  // Defined apart: the parser's header clashes with that of libwebsockets.
  struct parser;

  std::unique_ptr<parser> parser_;
  response answer_;
  bool in_name_ = false;
  bool complete_ = false;
};

}  // namespace vanillaladder::http::detail
