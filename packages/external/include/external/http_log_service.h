#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "external/log_service.h"
#include "http/client.h"

namespace vanillaladder::external {

struct http_log_options {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  /// Timeout of one call; the `wait` of a read is added to it.
  std::chrono::milliseconds timeout{5000};
  std::size_t max_answer_bytes = 16U << 20;
};

/// Client of the log service over HTTP and JSON. Records are sent in base64.
class http_log_service : public log_service {
 public:
  /// @param loop must outlive this object.
  http_log_service(http::event_loop& loop, http_log_options options);

  void append(const std::string& stream, std::span<const std::string> records,
              append_callback done) override;
  void read(const std::string& stream, model::offset from, std::size_t limit,
            std::chrono::milliseconds wait, read_callback done) override;

 private:
  http_log_options options_;
  http::client client_;
};

}  // namespace vanillaladder::external
