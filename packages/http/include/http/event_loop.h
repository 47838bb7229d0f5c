#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

struct lws_context;

namespace vanillaladder::http {

/// Runs one libwebsockets context; its servers, clients and timers run
/// on the thread that calls `run`.
class event_loop {
 public:
  using function = std::function<void()>;
  using timer_id = std::uint64_t;

  /// @param max_descriptors maximum number of open sockets; libwebsockets
  ///   sizes its tables by it.
  explicit event_loop(unsigned max_descriptors = 1024);
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Runs until `stop`; may be called again afterwards.
  void run();
  /// Makes `run` return; may be called from any thread.
  void stop();
  /// Runs `task` on the loop's thread; may be called from any thread.
  void post(function task);
  /// Runs `task` once after `delay`; only on the loop's thread, or before
  /// `run`.
  timer_id call_after(std::chrono::milliseconds delay, function task);
  /// Cancels a timer; unknown ids are ignored.
  void cancel(timer_id id);

  /// Keeps `state` alive until the context is destroyed: only then does
  /// libwebsockets close the last connections of a destroyed server or client.
  void retain(std::shared_ptr<void> state);

  /// @return the libwebsockets context, for servers and clients.
  lws_context* native();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace vanillaladder::http
