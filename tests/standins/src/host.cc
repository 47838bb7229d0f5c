#include "standins/host.h"

#include <poll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <iostream>

namespace vanillaladder::standins {
namespace {

// Enough for 65 workers or backend servers with 64 connections each.
constexpr unsigned max_descriptors = 4500;

}  // namespace

host::host() : loop_(max_descriptors) {
  sigset_t signals{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal_descriptor_ = signalfd(-1, &signals, SFD_CLOEXEC);
}

host::~host() {
  close(signal_descriptor_);
}

absl::Status host::listen(const std::string& label, std::uint16_t port,
                          http::server::handler handler) {
  http::server_options options;
  options.port = port;
  options.max_request_bytes = 16U << 20;
  auto server = http::server::listen(loop_, options, std::move(handler));
  if (!server.ok()) {
    std::cerr << server.status().ToString() << std::endl;
    return server.status();
  }
  std::cout << label << ' ' << (*server)->port() << std::endl;
  servers_.push_back(std::move(*server));
  return absl::OkStatus();
}

void host::run() {
  std::thread watcher([this] { wait_for_stop(); });
  loop_.run();
  watcher.join();
}

void host::wait_for_stop() {
  std::array<pollfd, 2> sources{pollfd{signal_descriptor_, POLLIN, 0},
                                pollfd{STDIN_FILENO, POLLIN, 0}};
  std::array<char, 256> ignored{};
  bool stop = false;
  while (!stop) {
    if (poll(sources.data(), sources.size(), -1) < 0) {
      continue;
    }
    bool input_ended = sources[1].revents != 0 &&
                       read(STDIN_FILENO, ignored.data(), ignored.size()) <= 0;
    stop = sources[0].revents != 0 || input_ended;
  }
  loop_.stop();
}

http::event_loop& host::loop() {
  return loop_;
}

}  // namespace vanillaladder::standins
