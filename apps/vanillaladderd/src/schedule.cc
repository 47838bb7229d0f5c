#include "schedule.h"

#include <absl/strings/str_cat.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <thread>

#include "dispatch/clock.h"
#include "dispatch/scheduling_daemon.h"
#include "http/channel.h"
#include "http/event_loop.h"
#include "http/server.h"
#include "platform/caller_api.h"
#include "platform/decoder.h"
#include "platform/store.h"
#include "platform/workers.h"
#include "runtime/error.h"
#include "runtime/event_log.h"
#include "runtime/metrics.h"

namespace vanillaladder::daemon {
namespace {

using std::chrono::milliseconds;

constexpr int exit_failure = 70;
/// Interval at which buffered log lines are written.
constexpr milliseconds log_flush_interval{200};
/// Time for the load balancer to stop sending new connections, which takes two
/// checks at one check per second.
constexpr milliseconds balancer_update_time{2500};
/// Time before the stop limit at which open calls are abandoned.
constexpr milliseconds stop_margin{500};
constexpr milliseconds stop_poll_interval{50};

sigset_t handled_signals() {
  sigset_t set;
  sigemptyset(&set);
  for (int each : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) {
    sigaddset(&set, each);
  }
  return set;
}

/// Waits for signals on a dedicated thread and posts them to the event loop.
class signal_thread {
 public:
  signal_thread(http::event_loop& loop, std::function<void(int)> handle) {
    auto set = handled_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    thread_ = std::thread([&loop, handle = std::move(handle)] {
      auto handled = handled_signals();
      int signal = 0;
      while (sigwait(&handled, &signal) == 0 && signal != SIGUSR1) {
        loop.post([handle, signal] { handle(signal); });
      }
    });
  }
  ~signal_thread() {
    // Ends the wait in `sigwait`; SIGUSR1 is blocked on all other threads.
    pthread_kill(thread_.native_handle(), SIGUSR1);
    thread_.join();
  }
  signal_thread(const signal_thread&) = delete;
  signal_thread& operator=(const signal_thread&) = delete;

 private:
  std::thread thread_;
};

/// The scheduling daemon with its HTTP servers, logs and signal handling.
class schedule_process {
 public:
  explicit schedule_process(const dispatch::daemon_settings& settings)
      : settings_(settings),
        log_(STDOUT_FILENO, settings.instance),
        reporter_(log_, metrics_),
        loop_(settings.max_descriptors),
        transport_(loop_),
        store_(transport_, settings.store.address, settings.store.port),
        daemon_(
            loop_, settings, store_, decoder_,
            [this] { return std::make_unique<platform::workers>(transport_); },
            reporter_),
        caller_api_(daemon_.service()) {}

  int run() {
    for (const auto& status :
         {listen(settings_.callers, caller_server_,
                 [this](const auto&call, const auto&answer) {
                   caller_api_.handle(call, answer);
                 }),
          listen(settings_.ready, ready_server_,
                 [this](const auto&, const auto&answer) {
                   answer->respond({daemon_.ready() ? 200 : 503});
                 }),
          listen(settings_.metrics, metrics_server_,
                 [this](const auto&, const auto&answer) {
                   answer->respond({200,
                                    {{"content-type", "text/plain"}},
                                    metrics_.prometheus_text()});
                 })}) {
      if (!status.ok()) {
        reporter_.event("main", absl::StrCat("start_failed error=",
                                             runtime::error_message(status)));
        log_.flush();
        return exit_failure;
      }
    }
    reporter_.event("main", absl::StrCat("start pid=", getpid(),
                                         " domain=", settings_.domain,
                                         " store=", settings_.store.address,
                                         ":", settings_.store.port));
    signal_thread signals(loop_, [this](int signal) { on_signal(signal); });
    schedule_log_flush();
    daemon_.start();
    loop_.run();
    reporter_.event("main", "stop");
    log_.flush();
    return 0;
  }

 private:
  using handler = std::function<void(const http::request&,
                                     const std::shared_ptr<http::responder>&)>;

  absl::Status listen(const dispatch::endpoint& listen_endpoint,
                      std::unique_ptr<http::server>& server, handler handle) {
    http::server_options options;
    options.address = listen_endpoint.address;
    options.port = listen_endpoint.port;
    auto created = http::server::listen(
        loop_, options,
        [handle = std::move(handle)](http::request call, const auto& answer) {
          handle(call, answer);
        });
    if (!created.ok()) {
      return created.status();
    }
    server = *std::move(created);
    return absl::OkStatus();
  }

  void schedule_log_flush() {
    loop_.call_after(log_flush_interval, [this] {
      log_.flush();
      schedule_log_flush();
    });
  }

  void on_signal(int signal) {
    reporter_.event("main", absl::StrCat("signal number=", signal));
    if (signal == SIGHUP) {
      // Addresses and limits are fixed for the lifetime of the process.
      reporter_.event("main", "reload unchanged=1");
      return;
    }
    if (stopping_) {
      return;
    }
    stopping_ = true;
    stop_requested_at_ = dispatch::boot_now();
    daemon_.leave([this] { wait_for_callers(); });
  }

  void wait_for_callers() {
    auto elapsed = dispatch::boot_now() - stop_requested_at_;
    bool balancer_updated =
        elapsed >= std::min(balancer_update_time, settings_.stop_limit / 2);
    bool out_of_time = elapsed >= settings_.stop_limit - stop_margin;
    if (balancer_updated) {
      caller_server_->disable_keep_alive();
    }
    if (out_of_time ||
        (balancer_updated && caller_server_->open_requests() == 0)) {
      reporter_.event("main", absl::StrCat("calls_open n=",
                                           caller_server_->open_requests()));
      loop_.stop();
      return;
    }
    loop_.call_after(stop_poll_interval, [this] { wait_for_callers(); });
  }

  dispatch::daemon_settings settings_;
  runtime::metrics metrics_;
  runtime::event_log log_;
  dispatch::reporter reporter_;
  http::event_loop loop_;
  http::transport transport_;
  platform::store store_;
  platform::decoder decoder_;
  dispatch::scheduling_daemon daemon_;
  platform::caller_api caller_api_;
  std::unique_ptr<http::server> caller_server_;
  std::unique_ptr<http::server> ready_server_;
  std::unique_ptr<http::server> metrics_server_;
  bool stopping_ = false;
  model::time_point stop_requested_at_;
};

}  // namespace

int run_schedule(const dispatch::daemon_settings& settings) {
  // Threads inherit the mask, so only the signal thread receives these signals.
  auto set = handled_signals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  return schedule_process(settings).run();
}

}  // namespace vanillaladder::daemon
