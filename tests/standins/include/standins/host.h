#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "http/event_loop.h"
#include "http/server.h"

namespace vanillaladder::standins {

/// The event loop and the ports of a stand-in program.
class host {
 public:
  /// Blocks the stop signals in this thread and in those it starts later.
  host();
  ~host();
  host(const host&) = delete;
  host& operator=(const host&) = delete;

  /// Listens and prints `<label> <port>` on standard output.
  /// @param port 0 picks a free one.
  absl::Status listen(const std::string& label, std::uint16_t port,
                      http::server::handler handler);

  /// @return the port of the last `listen`.
  std::uint16_t last_port() const { return servers_.back()->port(); }

  /// Runs until SIGTERM, SIGINT or the end of standard input.
  void run();

  http::event_loop& loop();

 private:
  void wait_for_stop();

  http::event_loop loop_;
  std::vector<std::unique_ptr<http::server>> servers_;
  int signal_descriptor_ = -1;
};

}  // namespace vanillaladder::standins
