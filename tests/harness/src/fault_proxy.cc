#include "harness/fault_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace vanillaladder::harness {
namespace {

// The longest time until a change of mode is seen.
constexpr int poll_ms = 10;

sockaddr_in local_address(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int connect_to(std::uint16_t port) {
  int end = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = local_address(port);
  if (connect(end, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(end);
    return -1;
  }
  return end;
}

}  // namespace

fault_proxy::fault_proxy(std::uint16_t target_port)
    : target_port_(target_port) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = local_address(0);
  socklen_t size = sizeof(address);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener_, 128) != 0 ||
      getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) !=
          0) {
    throw std::runtime_error("the proxy cannot listen");
  }
  port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { run(); });
}

fault_proxy::~fault_proxy() {
  stopped_ = true;
  thread_.join();
  close(listener_);
  for (auto& connection : links_) {
    connection.closed = true;
  }
  close_ended();
}

std::uint16_t fault_proxy::port() const {
  return port_;
}

void fault_proxy::set_mode(mode next) {
  std::lock_guard lock(mutex_);
  mode_ = next;
  for (auto& connection : links_) {
    connection.closed = connection.closed || next == mode::cut;
    connection.silent = connection.silent || next == mode::silent;
  }
}

void fault_proxy::cut() {
  set_mode(mode::cut);
}

void fault_proxy::silence_all() {
  set_mode(mode::silent);
}

void fault_proxy::silence_open() {
  set_mode(mode::silent);
  set_mode(mode::pass);
}

void fault_proxy::restore() {
  set_mode(mode::pass);
}

std::size_t fault_proxy::connections() {
  std::lock_guard lock(mutex_);
  return links_.size();
}

void fault_proxy::run() {
  while (!stopped_) {
    std::vector<pollfd> sources = {{listener_, POLLIN, 0}};
    std::vector<link*> owners;
    {
      std::lock_guard lock(mutex_);
      close_ended();
      for (auto& connection : links_) {
        sources.push_back({connection.near_end, POLLIN, 0});
        sources.push_back({connection.far_end, POLLIN, 0});
        owners.push_back(&connection);
      }
    }
    if (poll(sources.data(), sources.size(), poll_ms) <= 0) {
      continue;
    }
    std::lock_guard lock(mutex_);
    for (std::size_t n = 1; n < sources.size(); ++n) {
      if (sources[n].revents != 0) {
        auto& connection = *owners[(n - 1) / 2];
        bool near = n % 2 == 1;
        relay(connection, near ? connection.near_end : connection.far_end,
              near ? connection.far_end : connection.near_end);
      }
    }
    if (sources[0].revents != 0) {
      accept_one();
    }
  }
}

void fault_proxy::accept_one() {
  int near_end = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
  if (near_end < 0) {
    return;
  }
  int far_end = mode_ == mode::cut ? -1 : connect_to(target_port_);
  if (far_end < 0) {
    close(near_end);
    return;
  }
  links_.push_back({near_end, far_end, mode_ == mode::silent, false});
}

void fault_proxy::relay(link& connection, int from, int to) {
  if (connection.closed) {
    return;
  }
  std::array<char, 65536> buffer{};
  auto size = recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (size <= 0) {
    connection.closed = true;
    return;
  }
  for (ssize_t sent = 0; sent < size && !connection.silent;) {
    auto part = send(to, buffer.data() + sent,
                     static_cast<std::size_t>(size - sent), MSG_NOSIGNAL);
    if (part <= 0) {
      connection.closed = true;
      return;
    }
    sent += part;
  }
}

void fault_proxy::close_ended() {
  std::erase_if(links_, [](const link& connection) {
    if (connection.closed) {
      close(connection.near_end);
      close(connection.far_end);
    }
    return connection.closed;
  });
}

}  // namespace vanillaladder::harness
