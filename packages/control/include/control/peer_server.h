#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "model/types.h"
#include "peer_types.h"

namespace vanillaladder::control {

/// Handles calls from other members.
///
/// Functions are called on threads of the server and must call `done` once,
/// from any thread; the server waits for it until the deadline of the call.
class peer_handler {
 public:
  template <class Result>
  using reply = std::function<void(Result)>;

  virtual ~peer_handler() = default;

  virtual void on_heartbeat(const wire::heartbeat_message& message,
                            reply<wire::heartbeat_message> done) = 0;
  virtual void on_fetch_records(model::offset first, std::int32_t limit,
                                reply<std::vector<wire::log_record>> done) = 0;
  virtual void on_push_records(
      const std::vector<wire::log_record>& records) = 0;
  virtual void on_forward_request(const wire::call_context& context,
                                  const wire::http_request& request,
                                  reply<wire::http_result> done) = 0;
  virtual void on_claim_key(const wire::key_claim& claim,
                            reply<wire::key_result> done) = 0;
  virtual void on_finish_key(const wire::key_claim& claim,
                             const std::string& outcome) = 0;

  enum class job_call { submit, cancel, get, list };
  virtual void on_job_call(job_call call, model::shard_id shard,
                           const std::string& key, const std::string& body,
                           reply<wire::http_result> done) = 0;
};

/// Serves the Thrift service `peer` on a TCP port.
class peer_server {
 public:
  /// Binds the port and serves calls on threads of the server.
  /// @param address IP address to listen on.
  /// @param port 0 selects a free port.
  /// @param handler must outlive the server.
  /// @return `Unavailable` if the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<peer_server>> listen(
      const std::string& address, std::uint16_t port, peer_handler& handler);

  ~peer_server();
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;

  /// @return the port that the server listens on.
  std::uint16_t port() const;

 private:
  struct impl;
  explicit peer_server(std::unique_ptr<impl> state);
  std::unique_ptr<impl> impl_;
};

}  // namespace vanillaladder::control
