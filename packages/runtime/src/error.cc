#include "runtime/error.h"

#include <absl/strings/cord.h>
#include <absl/strings/str_cat.h>

namespace vanillaladder::runtime {
namespace {

constexpr std::string_view step_type_url = "vanillaladder/step";
constexpr std::string_view peer_type_url = "vanillaladder/peer";

std::string get_payload(const absl::Status& status, std::string_view type_url) {
  auto value = status.GetPayload({type_url.data(), type_url.size()});
  return value ? std::string(*value) : std::string();
}

}  // namespace

absl::Status make_error(absl::StatusCode code, std::string_view step,
                        std::string_view peer, std::string_view message) {
  std::string text;
  text.append(step);
  if (!peer.empty()) {
    text.append(" (").append(peer).append(")");
  }
  text.append(": ").append(message);
  absl::Status status(code, text);
  status.SetPayload({step_type_url.data(), step_type_url.size()},
                    absl::Cord(std::string(step)));
  if (!peer.empty()) {
    status.SetPayload({peer_type_url.data(), peer_type_url.size()},
                      absl::Cord(std::string(peer)));
  }
  return status;
}

std::string error_step(const absl::Status& status) {
  return get_payload(status, step_type_url);
}

std::string error_peer(const absl::Status& status) {
  return get_payload(status, peer_type_url);
}

std::string error_message(const absl::Status& status) {
  return std::string(status.message());
}

}  // namespace vanillaladder::runtime
