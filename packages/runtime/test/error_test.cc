#include "runtime/error.h"

#include <catch2/catch.hpp>

namespace vanillaladder::runtime {

// Guards against errors that lose the step or the peer when propagated.
TEST_CASE("an error names its step and its peer") {
  auto status = make_error(absl::StatusCode::kUnavailable, "read control",
                           "log 127.0.0.1:1", "connection refused");
  CHECK(error_step(status) == "read control");
  CHECK(error_peer(status) == "log 127.0.0.1:1");
  CHECK(status.message() ==
        "read control (log 127.0.0.1:1): connection refused");
}

}  // namespace vanillaladder::runtime
