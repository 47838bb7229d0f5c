#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "http/client.h"
#include "platform/instance_list.h"

namespace vanillaladder::platform {

struct http_instance_list_options {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  /// Limit of one call.
  std::chrono::milliseconds timeout{5000};
  std::size_t max_answer_bytes = 16U << 20;
};

/// The instance list over HTTP and JSON.
class http_instance_list : public instance_list {
 public:
  /// @param loop must outlive the list.
  http_instance_list(http::event_loop& loop,
                     http_instance_list_options options);

  void fetch(fetch_callback done) override;

 private:
  http_instance_list_options options_;
  http::client client_;
};

}  // namespace vanillaladder::platform
