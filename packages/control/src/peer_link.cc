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
// One heartbeat is in flight at a time; forwards wait for whole requests.
constexpr std::array<std::size_t, 3> threads_per_lane = {1, 2, 4};

struct queued_call {
  clock::time_point expires;
  peer_link::call run;
  peer_link::on_failure failed;
};

/// Threads and connections that carry the calls of one lane.
class lane_runner {
 public:
  lane_runner(std::string address, std::uint16_t port, std::size_t threads)
      : address_(std::move(address)), port_(port), max_threads_(threads) {}

  ~lane_runner() {
    {
      std::lock_guard lock(mutex_);
      stopped_ = true;
      for (const auto& socket : sockets_) {
        // Unblocks a thread that waits for a silent peer.
        ::shutdown(socket->getSocketFD(), SHUT_RDWR);
      }
    }
    changed_.notify_all();
    for (auto& thread : threads_) {
      thread.join();
    }
  }

  void enqueue(queued_call entry) {
    {
      std::lock_guard lock(mutex_);
      if (queue_.size() < max_queued_calls) {
        queue_.push_back(std::move(entry));
        if (idle_threads_ == 0 && threads_.size() < max_threads_) {
          threads_.emplace_back([this] { run(); });
        }
        changed_.notify_one();
        return;
      }
    }
    entry.failed({error(absl::StatusCode::kResourceExhausted,
                        "too many calls wait for this peer"),
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
    connection made;
    made.socket = std::make_shared<TSocket>(address_, port_,
                                            detail::wire_configuration());
    made.socket->setConnTimeout(static_cast<int>(connect_timeout.count()));
    made.transport = std::make_shared<TFramedTransport>(
        made.socket, detail::wire_configuration());
    made.client = std::make_unique<wire::peerClient>(
        std::make_shared<TCompactProtocol>(made.transport));
    std::lock_guard lock(mutex_);
    sockets_.push_back(made.socket);
    return made;
  }

  std::optional<queued_call> next() {
    std::unique_lock lock(mutex_);
    ++idle_threads_;
    changed_.wait(lock, [this] { return stopped_ || !queue_.empty(); });
    --idle_threads_;
    if (stopped_) {
      return std::nullopt;
    }
    auto entry = std::move(queue_.front());
    queue_.pop_front();
    return entry;
  }

  void run() {
    auto link = make_connection();
    while (auto entry = next()) {
      execute(link, *entry);
    }
  }

  bool stopped() {
    std::lock_guard lock(mutex_);
    return stopped_;
  }

  void execute(connection& link, const queued_call& entry) {
    auto remaining =
        std::chrono::duration_cast<milliseconds>(entry.expires - clock::now());
    if (remaining <= milliseconds::zero()) {
      entry.failed({error(absl::StatusCode::kDeadlineExceeded,
                          "deadline passed before the call was sent"),
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
      entry.run(*link.client);
    } catch (const std::exception& problem) {
      // A connection with an unread answer cannot be used for the next call.
      close(link);
      entry.failed({error(absl::StatusCode::kUnavailable, problem.what()),
                    possibly_sent});
    }
  }

  static void close(connection& link) {
    try {
      link.transport->close();
    } catch (const std::exception&) {
      // The socket is closed all the same.
    }
  }

  const std::string address_;
  const std::uint16_t port_;
  const std::size_t max_threads_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<queued_call> queue_;
  std::vector<std::shared_ptr<TSocket>> sockets_;
  std::vector<std::thread> threads_;
  std::size_t idle_threads_ = 0;
  bool stopped_ = false;
};

}  // namespace

struct peer_link::impl {
  impl(const std::string& address, std::uint16_t port)
      : lanes{lane_runner(address, port, threads_per_lane[0]),
              lane_runner(address, port, threads_per_lane[1]),
              lane_runner(address, port, threads_per_lane[2])} {}

  std::array<lane_runner, 3> lanes;
};

peer_link::peer_link(std::string address, std::uint16_t port)
    : impl_(std::make_unique<impl>(address, port)) {}

peer_link::~peer_link() = default;

void peer_link::enqueue(lane kind, milliseconds timeout, call run,
                        on_failure failed) {
  impl_->lanes.at(static_cast<std::size_t>(kind))
      .enqueue({clock::now() + timeout, std::move(run), std::move(failed)});
}

}  // namespace vanillaladder::control
