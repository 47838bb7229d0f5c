#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

/// Small blocking HTTP/1.1 server and client for the stand-ins.
namespace review {

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

struct http_request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string path() const { return target.substr(0, target.find('?')); }

  /// @return the value of a query parameter, or an empty string.
  std::string query(const std::string& name) const {
    auto at = target.find('?');
    while (at != std::string::npos) {
      auto end = target.find('&', at + 1);
      auto pair = target.substr(at + 1, end - at - 1);
      if (pair.rfind(name + "=", 0) == 0) {
        return pair.substr(name.size() + 1);
      }
      at = end;
    }
    return {};
  }
  std::int64_t number(const std::string& name, std::int64_t otherwise) const {
    auto text = query(name);
    return text.empty() ? otherwise : std::stoll(text);
  }
};

struct http_reply {
  int status = 200;
  std::string body;
};

inline sockaddr_in address_of(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Reads a message with a Content-Length.
/// @return the start line, or nothing if the peer closed or time ran out.
inline std::optional<std::string> read_message(
    int fd, std::string& buffer, std::map<std::string, std::string>& headers,
    std::string& body, std::optional<steady::time_point> until) {
  auto more = [&] {
    int wait = -1;
    if (until) {
      wait = static_cast<int>(
          std::chrono::duration_cast<ms>(*until - steady::now()).count());
      if (wait <= 0) {
        return false;
      }
    }
    pollfd event{fd, POLLIN, 0};
    if (poll(&event, 1, wait) <= 0) {
      return false;
    }
    char chunk[65536];
    auto n = recv(fd, chunk, sizeof chunk, 0);
    if (n <= 0) {
      return false;
    }
    buffer.append(chunk, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return std::nullopt;
    }
  }
  auto head = buffer.substr(0, end + 2);
  auto line_end = head.find("\r\n");
  auto start = head.substr(0, line_end);
  headers.clear();
  std::size_t at = line_end + 2;
  while (at < head.size()) {
    auto stop = head.find("\r\n", at);
    auto line = head.substr(at, stop - at);
    auto colon = line.find(':');
    if (colon != std::string::npos) {
      auto name = line.substr(0, colon);
      for (auto& each : name) {
        each = static_cast<char>(std::tolower(each));
      }
      auto first = line.find_first_not_of(' ', colon + 1);
      headers[name] = first == std::string::npos ? "" : line.substr(first);
    }
    at = stop + 2;
  }
  std::size_t length = 0;
  if (headers.contains("content-length")) {
    length = std::stoull(headers["content-length"]);
  }
  while (buffer.size() < end + 4 + length) {
    if (!more()) {
      return std::nullopt;
    }
  }
  body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return start;
}

/// A server with a thread for each connection.
///
/// While it is silent it neither executes nor answers anything, and the
/// connections in use then stay silent for good, like those to a machine that
/// has no power or is cut off.
class http_server {
 public:
  /// A handler returns nothing if the call shall get no answer.
  using handler = std::function<std::optional<http_reply>(const http_request&)>;

  http_server(std::string ip, handler handle)
      : ip_(std::move(ip)), handle_(std::move(handle)) {
    open(0);
  }
  ~http_server() { close_all(); }
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  std::uint16_t port() const { return port_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }

  void set_silent(bool silent) {
    std::lock_guard lock(mutex_);
    silent_ = silent;
    if (silent) {
      ++silence_;
    }
  }
  /// Resets the connections that got a request during the last silence: their
  /// peers send again until they get an answer.
  void reset_those_of_last_silence() {
    std::lock_guard lock(mutex_);
    for (int fd : sent_in_silence_) {
      reset(fd);
    }
    sent_in_silence_.clear();
  }
  /// Resets all connections.
  void reset_all() {
    std::lock_guard lock(mutex_);
    for (int fd : open_) {
      reset(fd);
    }
  }
  /// Stops listening, and listens at another port from now on.
  void move() {
    int old = listener_;
    listener_ = -1;
    shutdown(old, SHUT_RDWR);
    acceptor_.join();
    ::close(old);
    open(0);
  }

 private:
  void open(std::uint16_t port) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = address_of(ip_, port);
    socklen_t size = sizeof address;
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(listener_, 512) != 0) {
      throw std::runtime_error("cannot listen");
    }
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this, fd = listener_.load()] { accept_all(fd); });
  }

  void accept_all(int listener) {
    while (true) {
      int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::lock_guard lock(mutex_);
      open_.insert(fd);
      ++running_;
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }

  static void reset(int fd) {
    linger hard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    shutdown(fd, SHUT_RDWR);
  }

  void serve(int fd) {
    std::string buffer;
    http_request call;
    while (auto start = read_message(fd, buffer, call.headers, call.body,
                                     std::nullopt)) {
      auto first = start->find(' ');
      auto second = start->find(' ', first + 1);
      call.method = start->substr(0, first);
      call.target = start->substr(first + 1, second - first - 1);
      int silence = 0;
      {
        std::lock_guard lock(mutex_);
        silence = silence_;
        if (silent_) {
          sent_in_silence_.insert(fd);
        }
      }
      std::optional<http_reply> reply;
      if (!is_silent()) {
        reply = handle_(call);
      }
      {
        std::lock_guard lock(mutex_);
        if (silent_ || silence_ != silence) {
          reply.reset();
        }
      }
      if (!reply) {
        wait_for_close(fd);
        break;
      }
      auto text = "HTTP/1.1 " + std::to_string(reply->status) +
                  " Status\r\nContent-Type: application/json\r\n"
                  "Content-Length: " +
                  std::to_string(reply->body.size()) + "\r\n\r\n" + reply->body;
      if (!send_all(fd, text)) {
        break;
      }
    }
    std::lock_guard lock(mutex_);
    open_.erase(fd);
    sent_in_silence_.erase(fd);
    ::close(fd);
    --running_;
  }

  bool is_silent() {
    std::lock_guard lock(mutex_);
    return silent_;
  }

  static void wait_for_close(int fd) {
    char chunk[4096];
    while (recv(fd, chunk, sizeof chunk, 0) > 0) {
    }
  }

  void close_all() {
    int old = listener_;
    shutdown(old, SHUT_RDWR);
    acceptor_.join();
    ::close(old);
    reset_all();
    for (int n = 0; n < 400 && running_ > 0; ++n) {
      std::this_thread::sleep_for(ms(10));
    }
  }

  std::string ip_;
  handler handle_;
  std::uint16_t port_ = 0;
  std::atomic<int> listener_ = -1;
  std::thread acceptor_;
  std::mutex mutex_;
  bool silent_ = false;
  int silence_ = 0;
  std::set<int> open_;
  std::set<int> sent_in_silence_;
  std::atomic<int> running_ = 0;
};

/// Sends one request on a connection of its own.
/// @return the status, or 0 if there was no complete answer in time.
inline int http_call(const std::string& ip, std::uint16_t port,
                     const std::string& method, const std::string& target,
                     const std::string& host, const std::string& body,
                     ms time_limit, std::string* answer = nullptr) {
  auto until = steady::now() + time_limit;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = address_of(ip, port);
  int status = 0;
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
    auto text = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                "\r\nContent-Type: application/json\r\nX-Deadline-Ms: " +
                std::to_string(time_limit.count()) +
                "\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body;
    std::string buffer;
    std::map<std::string, std::string> headers;
    std::string content;
    if (send_all(fd, text)) {
      if (auto start = read_message(fd, buffer, headers, content, until)) {
        status = std::stoi(start->substr(start->find(' ') + 1, 3));
        if (answer != nullptr) {
          *answer = content;
        }
      }
    }
  }
  ::close(fd);
  return status;
}

}  // namespace review
