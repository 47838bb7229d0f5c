#pragma once

#include <thrift/TConfiguration.h>

#include <memory>

namespace vanillaladder::control::detail {

/// Largest Thrift frame that a peer may send; a larger one closes the link.
inline constexpr int max_frame_bytes = 16 << 20;

/// @return the limits for every Thrift transport.
inline std::shared_ptr<apache::thrift::TConfiguration> wire_configuration() {
  return std::make_shared<apache::thrift::TConfiguration>(max_frame_bytes,
                                                          max_frame_bytes);
}

}  // namespace vanillaladder::control::detail
