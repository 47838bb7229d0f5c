#include "harness/slow_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <stdexcept>

#include "harness/child.h"

namespace vanillaladder::harness {
namespace {

// Smaller ones make loopback connections wait for window probes.
constexpr int receive_buffer_bytes = 1 << 16;
constexpr std::string_view headers_end = "\r\n\r\n";
constexpr std::string_view length_header = "content-length:";

std::string to_text(const http::request& message) {
  auto text = message.method + " " + message.target +
              " HTTP/1.1\r\nhost: 127.0.0.1\r\ncontent-length: " +
              std::to_string(message.body.size()) + "\r\n";
  for (const auto& item : message.headers) {
    text += item.name + ": " + item.value + "\r\n";
  }
  return text + "\r\n" + message.body;
}

}  // namespace

slow_caller::slow_caller(std::uint16_t port, const http::request& message)
    : connection_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  // Only before the connection is made does this limit the window.
  setsockopt(connection_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
             sizeof(receive_buffer_bytes));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto text = to_text(message);
  if (connect(connection_, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0 ||
      send(connection_, text.data(), text.size(), MSG_NOSIGNAL) !=
          static_cast<ssize_t>(text.size())) {
    close(connection_);
    throw std::runtime_error("the slow caller cannot send its request");
  }
}

slow_caller::~slow_caller() {
  close(connection_);
}

bool slow_caller::read_some() {
  std::chrono::milliseconds limit = generous_limit;
  pollfd source{connection_, POLLIN, 0};
  if (poll(&source, 1, static_cast<int>(limit.count())) <= 0) {
    return false;
  }
  std::array<char, receive_buffer_bytes> buffer{};
  auto count = recv(connection_, buffer.data(), buffer.size(), 0);
  if (count <= 0) {
    return false;
  }
  received_.append(buffer.data(), static_cast<std::size_t>(count));
  return true;
}

bool slow_caller::read_headers() {
  while (body_at_ == 0) {
    auto end = received_.find(headers_end);
    if (end != std::string::npos) {
      body_at_ = end + headers_end.size();
    } else if (!read_some()) {
      return false;
    }
  }
  return true;
}

bool slow_caller::read_body(std::size_t bytes_left) {
  while (received_.size() - body_at_ + bytes_left < announced_bytes()) {
    if (!read_some()) {
      return false;
    }
  }
  return true;
}

int slow_caller::status() const {
  auto blank = received_.find(' ');
  return body_at_ == 0 || blank == std::string::npos
             ? 0
             : std::stoi(received_.substr(blank + 1, 3));
}

std::size_t slow_caller::announced_bytes() const {
  auto at = received_.find(length_header);
  return at == std::string::npos || at > body_at_
             ? 0
             : std::stoul(received_.substr(at + length_header.size()));
}

std::string slow_caller::body() const {
  return received_.substr(body_at_);
}

}  // namespace vanillaladder::harness
