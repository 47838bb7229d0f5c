#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <thread>
#include <vector>

struct pollfd;

namespace vanillaladder::harness {

/// A TCP relay to a local port that can fail in the ways of a network.
class fault_proxy {
 public:
  explicit fault_proxy(std::uint16_t target_port);
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  /// @return the port that it relays from.
  std::uint16_t port() const;
  /// Closes all connections, and new ones as soon as they are made.
  void cut();
  /// Drops the bytes of the connections that are open now, both ways, and
  /// leaves them open; new ones work.
  void silence_open();
  /// Drops the bytes of all connections, new ones too.
  void silence_all();
  /// Relays new connections again; silenced ones stay silent.
  void restore();
  /// @return open connections.
  std::size_t connections();

 private:
  enum class mode { pass, cut, silent };
  struct link {
    int near_end = -1;
    int far_end = -1;
    bool silent = false;
    bool closed = false;
  };

  void run();
  void accept_one();
  static void relay(link& connection, int from, int to);
  void close_ended();
  void set_mode(mode next);

  std::uint16_t target_port_;
  std::uint16_t port_ = 0;
  int listener_ = -1;
  std::mutex mutex_;
  mode mode_ = mode::pass;
  std::list<link> links_;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

}  // namespace vanillaladder::harness
