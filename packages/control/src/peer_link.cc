#include "control/peer_link.h"

#include <sys/socket.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <array>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "control/detail/wire_limits.h"
#include "peer.h"
#include "runtime/error.h"

namespace vanillaladder::control {
namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSocket;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds connect_timeout{500};
constexpr std::size_t max_queued_calls = 256;
// At most one heartbeat is in flight at a time. A forwarded request occupies
// its thread until the response arrives.
constexpr std::array<std::size_t, 3> threads_per_call_kind = {1, 2, 4};

struct queued_call {
  clock::time_point deadline;
  peer_link::call run;
  peer_link::failure_callback on_failure;
};

/// Threads and connections that execute the calls of one kind.
class call_executor {
 public:
  call_executor(std::string address, std::uint16_t port, std::size_t threads)
      : address_(std::move(address)), port_(port), max_threads_(threads) {}

  ~call_executor() {
    {
      std::lock_guard lock(mutex_);
      stopped_ = true;
      for (const auto& socket : sockets_) {
        // Unblocks a thread that is waiting for a response.
        ::shutdown(socket->getSocketFD(), SHUT_RDWR);
      }
    }
    wake_condition_.notify_all();
    for (auto& thread : threads_) {
      thread.join();
    }
  }

  void enqueue(queued_call pending_call) {
    {
      std::lock_guard lock(mutex_);
      if (queue_.size() < max_queued_calls) {
        queue_.push_back(std::move(pending_call));
        if (idle_threads_ == 0 && threads_.size() < max_threads_) {
          threads_.emplace_back([this] { run(); });
        }
        wake_condition_.notify_one();
        return;
      }
    }
    pending_call.on_failure({error(absl::StatusCode::kResourceExhausted,
                                   "call queue of this peer is full"),
                             false});
  }

 private:
  struct connection {
    std::shared_ptr<TSocket> socket;
    std::shared_ptr<TFramedTransport> transport;
    std::unique_ptr<wire::peerClient> client;
  };

  absl::Status error(absl::StatusCode code, std::string_view message) const {
    return runtime::make_error(code, "call peer",
                               address_ + ":" + std::to_string(port_), message);
  }

  connection make_connection() {
    connection result;
    result.socket = std::make_shared<TSocket>(address_, port_,
                                              detail::wire_configuration());
    result.socket->setConnTimeout(static_cast<int>(connect_timeout.count()));
    result.transport = std::make_shared<TFramedTransport>(
        result.socket, detail::wire_configuration());
    result.client = std::make_unique<wire::peerClient>(
        std::make_shared<TCompactProtocol>(result.transport));
    std::lock_guard lock(mutex_);
    sockets_.push_back(result.socket);
    return result;
  }

  std::optional<queued_call> wait_for_call() {
    std::unique_lock lock(mutex_);
    ++idle_threads_;
    wake_condition_.wait(lock, [this] { return stopped_ || !queue_.empty(); });
    --idle_threads_;
    if (stopped_) {
      return std::nullopt;
    }
    auto pending_call = std::move(queue_.front());
    queue_.pop_front();
    return pending_call;
  }

  void run() {
    auto link = make_connection();
    while (auto pending_call = wait_for_call()) {
      execute_call(link, *pending_call);
    }
  }

  bool stopped() {
    std::lock_guard lock(mutex_);
    return stopped_;
  }

  void execute_call(connection& link, const queued_call& pending_call) {
    auto remaining = std::chrono::duration_cast<milliseconds>(
        pending_call.deadline - clock::now());
    if (remaining <= milliseconds::zero()) {
      pending_call.on_failure(
          {error(absl::StatusCode::kDeadlineExceeded,
                 "deadline exceeded before the call was sent"),
           false});
      return;
    }
    bool possibly_sent = false;
    try {
      if (!link.transport->isOpen()) {
        link.transport->open();
      }
      if (stopped()) {
        return;
      }
      auto timeout_ms = static_cast<int>(remaining.count());
      link.socket->setRecvTimeout(timeout_ms);
      link.socket->setSendTimeout(timeout_ms);
      possibly_sent = true;
      pending_call.run(*link.client);
    } catch (const std::exception& exception) {
      // A response that arrives late would be read by the next call on this
      // connection.
      close(link);
      pending_call.on_failure(
          {error(absl::StatusCode::kUnavailable, exception.what()),
           possibly_sent});
    }
  }

  static void close(connection& link) {
    try {
      link.transport->close();
    } catch (const std::exception&) {
      // The socket is closed even if flushing the transport fails.
    }
  }

  const std::string address_;
  const std::uint16_t port_;
  const std::size_t max_threads_;
  std::mutex mutex_;
  std::condition_variable wake_condition_;
  std::deque<queued_call> queue_;
  std::vector<std::shared_ptr<TSocket>> sockets_;
  std::vector<std::thread> threads_;
  std::size_t idle_threads_ = 0;
  bool stopped_ = false;
};

}  // namespace

struct peer_link::impl {
  impl(const std::string& address, std::uint16_t port)
      : executors{call_executor(address, port, threads_per_call_kind[0]),
                  call_executor(address, port, threads_per_call_kind[1]),
                  call_executor(address, port, threads_per_call_kind[2])} {}

  std::array<call_executor, 3> executors;
};

peer_link::peer_link(std::string address, std::uint16_t port)
    : impl_(std::make_unique<impl>(address, port)) {}

peer_link::~peer_link() = default;

void peer_link::enqueue(call_kind kind, milliseconds timeout, call run,
                        failure_callback on_failure) {
  impl_->executors.at(static_cast<std::size_t>(kind))
      .enqueue({clock::now() + timeout, std::move(run), std::move(on_failure)});
}

}  // namespace vanillaladder::control
