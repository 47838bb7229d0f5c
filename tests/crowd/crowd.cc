#include "crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "harness/child.h"

namespace vanillaladder::crowd {
namespace {

int connect_to(std::uint16_t port) {
  int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(connection, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(connection);
    return -1;
  }
  return connection;
}

}  // namespace

caller_crowd::caller_crowd(std::uint16_t port, std::size_t callers) {
  members_.reserve(callers);
  for (std::size_t n = 0; n < callers; ++n) {
    members_.push_back({connect_to(port)});
    members_.back().done = members_.back().socket < 0;
  }
}

caller_crowd::~caller_crowd() {
  for (const auto& each : members_) {
    if (each.socket >= 0) {
      close(each.socket);
    }
  }
}

bool caller_crowd::send_all(const std::string& bytes, std::size_t piece) {
  auto until = std::chrono::steady_clock::now() + harness::generous_limit;
  std::array<char, 4096> answer{};
  while (std::chrono::steady_clock::now() < until) {
    std::vector<pollfd> waiting;
    std::vector<member*> owners;
    for (auto& each : members_) {
      if (!each.done) {
        waiting.push_back({each.socket, POLLIN | POLLOUT, 0});
        owners.push_back(&each);
      }
    }
    if (waiting.empty()) {
      return true;
    }
    poll(waiting.data(), waiting.size(), 100);
    for (std::size_t n = 0; n < waiting.size(); ++n) {
      auto& each = *owners[n];
      if ((waiting[n].revents & (POLLIN | POLLERR | POLLHUP)) != 0 &&
          recv(each.socket, answer.data(), answer.size(), MSG_DONTWAIT) <= 0) {
        each.done = true;
        continue;
      }
      if ((waiting[n].revents & POLLOUT) == 0) {
        continue;
      }
      auto count = send(each.socket, bytes.data() + each.sent,
                        std::min(piece, bytes.size() - each.sent),
                        MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0) {
        each.sent += static_cast<std::size_t>(count);
      }
      each.done = each.sent == bytes.size() || (count < 0 && errno != EAGAIN);
    }
  }
  return false;
}

usage usage_of(pid_t pid) {
  auto folder = std::filesystem::path("/proc") / std::to_string(pid);
  usage found;
  std::ifstream status(folder / "status");
  for (std::string line; std::getline(status, line);) {
    std::istringstream words(line);
    std::string name;
    std::size_t kib = 0;
    if (words >> name >> kib && name == "VmHWM:") {
      found.peak_mib = kib / 1024;
    }
  }
  for ([[maybe_unused]] const auto& each :
       std::filesystem::directory_iterator(folder / "fd")) {
    ++found.descriptors;
  }
  return found;
}

std::string post_head(const std::string& host, const std::string& target,
                      std::size_t length) {
  return "POST " + target + " HTTP/1.1\r\nhost: " + host +
         "\r\ncontent-type: application/json\r\ncontent-length: " +
         std::to_string(length) + "\r\n\r\n";
}

}  // namespace vanillaladder::crowd
