#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <cstdint>
#include <thread>

namespace vanillaladder::serving {

/// Binds a port, and either refuses connections or accepts them and closes each
/// after the first bytes of its request.
class closing_server {
 public:
  explicit closing_server(bool accept_connections) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(bind(socket_, generic, length) == 0);
    REQUIRE(getsockname(socket_, generic, &length) == 0);
    port = ntohs(address.sin_port);
    if (accept_connections) {
      REQUIRE(listen(socket_, 16) == 0);
      thread_ = std::thread([this] { serve(); });
    }
  }
  ~closing_server() {
    shutdown(socket_, SHUT_RDWR);
    if (thread_.joinable()) {
      thread_.join();
    }
    ::close(socket_);
  }
  closing_server(const closing_server&) = delete;
  closing_server& operator=(const closing_server&) = delete;

  std::uint16_t port = 0;
  std::atomic<int> received = 0;

 private:
  void serve() {
    std::array<char, 4096> buffer{};
    for (;;) {
      int connection = accept(socket_, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      received += read(connection, buffer.data(), buffer.size()) > 0 ? 1 : 0;
      ::close(connection);
    }
  }

  int socket_ = socket(AF_INET, SOCK_STREAM, 0);
  std::thread thread_;
};

}  // namespace vanillaladder::serving
