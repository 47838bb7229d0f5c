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
  /// Limit of one call.
  std::chrono::milliseconds timeout{5000};
  std::size_t max_answer_bytes = 16U << 20;
};

/// The instance list over HTTP and JSON; asks with the entity tag of the last
/// answer, if the list gave one.
class http_instance_list : public instance_list {
 public:
  /// @param loop must outlive the list.
  http_instance_list(http::event_loop& loop,
                     http_instance_list_options options);

  void fetch(fetch_callback done) override;

 private:
  absl::StatusOr<instance_snapshot> take_answer(const std::string& peer,
                                                const http::response& answer);

  http_instance_list_options options_;
  std::string tag_;
  instance_snapshot last_;
  http::client client_;
};

}  // namespace vanillaladder::external
