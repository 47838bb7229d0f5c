#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "external/instance_list.h"
#include "http/client.h"

namespace vanillaladder::external {

struct http_instance_list_options {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  /// Timeout of one call.
  std::chrono::milliseconds timeout{5000};
  std::size_t max_answer_bytes = 16U << 20;
};

/// Client of the instance list over HTTP and JSON. Sends conditional requests
/// if the last answer had an entity tag.
class http_instance_list : public instance_list {
 public:
  /// @param loop must outlive this object.
  http_instance_list(http::event_loop& loop,
                     http_instance_list_options options);

  void fetch(fetch_callback done) override;

 private:
  absl::StatusOr<instance_snapshot> process_answer(
      const std::string& peer, const http::response& answer);

  http_instance_list_options options_;
  std::string etag_;
  instance_snapshot last_snapshot_;
  http::client client_;
};

}  // namespace vanillaladder::external
