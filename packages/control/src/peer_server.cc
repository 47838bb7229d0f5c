#include "control/peer_server.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <optional>
#include <thread>

#include "control/detail/wire_limits.h"
#include "peer.h"
#include "runtime/error.h"

namespace vanillaladder::control {
namespace {

using apache::thrift::protocol::TCompactProtocolFactory;
using apache::thrift::server::TThreadedServer;
using apache::thrift::transport::TFramedTransportFactory;
using apache::thrift::transport::TServerSocket;
using std::chrono::milliseconds;

// Idle connections are closed after this time; links reconnect on demand.
constexpr milliseconds idle_timeout{120000};
constexpr milliseconds send_timeout{10000};
constexpr milliseconds heartbeat_timeout{5000};
constexpr milliseconds max_call_timeout{120000};

/// Blocks a server thread until another thread provides the result of a call.
template <class Result>
class pending_reply {
 public:
  peer_handler::reply<Result> callback() {
    return [state = state_](Result result) {
      if (!state->resolved.exchange(true)) {
        state->promise.set_value(std::move(result));
      }
    };
  }

  std::optional<Result> wait(milliseconds timeout) {
    auto future = state_->promise.get_future();
    if (future.wait_for(timeout) != std::future_status::ready) {
      return std::nullopt;
    }
    return future.get();
  }

 private:
  struct shared_state {
    std::promise<Result> promise;
    std::atomic<bool> resolved = false;
  };
  std::shared_ptr<shared_state> state_ = std::make_shared<shared_state>();
};

/// Server socket that binds only once. `serve` calls `listen` again, which
/// would bind a second time and select another free port.
class bound_socket : public TServerSocket {
 public:
  using TServerSocket::TServerSocket;

  void listen() override {
    if (!bound_) {
      TServerSocket::listen();
      bound_ = true;
    }
  }

 private:
  bool bound_ = false;
};

milliseconds timeout_of(const wire::call_context& context) {
  return std::clamp(milliseconds(context.deadline_ms), milliseconds(1),
                    max_call_timeout);
}

/// Adapts blocking Thrift calls to the asynchronous `peer_handler`.
class thrift_service : public wire::peerIf {
 public:
  explicit thrift_service(peer_handler& handler) : handler_(handler) {}

  void heartbeat(wire::heartbeat_message& result,
                 const wire::heartbeat_message& message) override {
    pending_reply<wire::heartbeat_message> pending;
    handler_.on_heartbeat(message, pending.callback());
    result = value_or_throw(pending.wait(heartbeat_timeout));
  }

  void fetch_records(std::vector<wire::log_record>& result,
                     const wire::call_context& context, std::int64_t first,
                     std::int32_t limit) override {
    pending_reply<std::vector<wire::log_record>> pending;
    handler_.on_fetch_records(first, limit, pending.callback());
    result = value_or_throw(pending.wait(timeout_of(context)));
  }

  void push_records(const wire::call_context&,
                    const std::vector<wire::log_record>& records) override {
    handler_.on_push_records(records);
  }

  void forward_request(wire::http_result& result,
                       const wire::call_context& context,
                       const wire::http_request& request) override {
    pending_reply<wire::http_result> pending;
    handler_.on_forward_request(context, request, pending.callback());
    // The request may still be running, so a timeout is not reported as not
    // run.
    result =
        pending.wait(timeout_of(context)).value_or(unknown_result("timeout"));
  }

  void claim_key(wire::key_result& result, const wire::call_context& context,
                 const wire::key_claim& claim) override {
    pending_reply<wire::key_result> pending;
    handler_.on_claim_key(claim, pending.callback());
    wire::key_result timed_out;
    timed_out.outcome = wire::call_outcome::UNKNOWN;
    timed_out.reason = "timeout";
    result = pending.wait(timeout_of(context)).value_or(timed_out);
  }

  void finish_key(const wire::call_context&, const wire::key_claim& claim,
                  const std::string& outcome) override {
    handler_.on_finish_key(claim, outcome);
  }

  void submit_job(wire::http_result& result, const wire::call_context& context,
                  std::int16_t shard, const std::string& key,
                  const std::string& body) override {
    handle_job_call(result, context, peer_handler::job_call::submit, shard, key,
                    body);
  }

  void cancel_job(wire::http_result& result, const wire::call_context& context,
                  std::int16_t shard, const std::string& key) override {
    handle_job_call(result, context, peer_handler::job_call::cancel, shard, key,
                    "");
  }

  void get_job(wire::http_result& result, const wire::call_context& context,
               std::int16_t shard, const std::string& key) override {
    handle_job_call(result, context, peer_handler::job_call::get, shard, key,
                    "");
  }

  void list_jobs(wire::http_result& result, const wire::call_context& context,
                 std::int16_t shard) override {
    handle_job_call(result, context, peer_handler::job_call::list, shard, "",
                    "");
  }

 private:
  static wire::http_result unknown_result(const std::string& reason) {
    wire::http_result result;
    result.outcome = wire::call_outcome::UNKNOWN;
    result.reason = reason;
    return result;
  }

  template <class Result>
  static Result value_or_throw(std::optional<Result> result) {
    if (!result) {
      throw apache::thrift::TException(
          "the peer did not respond before the deadline");
    }
    return *std::move(result);
  }

  void handle_job_call(wire::http_result& result,
                       const wire::call_context& context,
                       peer_handler::job_call call, std::int16_t shard,
                       const std::string& key, const std::string& body) {
    pending_reply<wire::http_result> pending;
    handler_.on_job_call(call, static_cast<model::shard_id>(shard), key, body,
                         pending.callback());
    result =
        pending.wait(timeout_of(context)).value_or(unknown_result("timeout"));
  }

  peer_handler& handler_;
};

}  // namespace

struct peer_server::impl {
  std::shared_ptr<TServerSocket> socket;
  std::unique_ptr<TThreadedServer> server;
  std::thread thread;
};

absl::StatusOr<std::unique_ptr<peer_server>> peer_server::listen(
    const std::string& address, std::uint16_t port, peer_handler& handler) {
  auto state = std::make_unique<impl>();
  state->socket = std::make_shared<bound_socket>(address, port);
  state->socket->setRecvTimeout(static_cast<int>(idle_timeout.count()));
  state->socket->setSendTimeout(static_cast<int>(send_timeout.count()));
  try {
    state->socket->listen();
  } catch (const std::exception& exception) {
    return runtime::make_error(absl::StatusCode::kUnavailable, "listen",
                               address + ":" + std::to_string(port),
                               exception.what());
  }
  state->server = std::make_unique<TThreadedServer>(
      std::make_shared<wire::peerProcessor>(
          std::make_shared<thrift_service>(handler)),
      state->socket, std::make_shared<TFramedTransportFactory>(),
      std::make_shared<TCompactProtocolFactory>());
  auto* server = state->server.get();
  state->thread = std::thread([server] { server->serve(); });
  return std::unique_ptr<peer_server>(new peer_server(std::move(state)));
}

peer_server::peer_server(std::unique_ptr<impl> state)
    : impl_(std::move(state)) {}

peer_server::~peer_server() {
  impl_->server->stop();
  impl_->thread.join();
}

std::uint16_t peer_server::port() const {
  return static_cast<std::uint16_t>(impl_->socket->getPort());
}

}  // namespace vanillaladder::control
