#pragma once

#include <thrift/TConfiguration.h>

#include <memory>

namespace vanillaladder::control::detail {

/// Maximum size of a Thrift frame; a larger frame closes the connection.
inline constexpr int max_frame_bytes = 16 << 20;

/// @return the size limits for Thrift transports.
inline std::shared_ptr<apache::thrift::TConfiguration> wire_configuration() {
  return std::make_shared<apache::thrift::TConfiguration>(max_frame_bytes,
                                                          max_frame_bytes);
}

}  // namespace vanillaladder::control::detail
