#include "external/error.h"

#include <absl/strings/cord.h>

#include "runtime/error.h"

namespace vanillaladder::external {
namespace {

constexpr std::string_view not_sent_payload_url = "vanillaladder/not-sent";

}  // namespace

absl::Status make_call_error(absl::StatusCode code, http::failure_phase phase,
                             std::string_view step, std::string_view peer,
                             std::string_view message) {
  auto status = runtime::make_error(code, step, peer, message);
  if (phase == http::failure_phase::not_sent) {
    status.SetPayload(
        {not_sent_payload_url.data(), not_sent_payload_url.size()},
        absl::Cord("1"));
  }
  return status;
}

bool possibly_sent(const absl::Status& status) {
  return !status.ok() && !status.GetPayload({not_sent_payload_url.data(),
                                             not_sent_payload_url.size()});
}

}  // namespace vanillaladder::external
