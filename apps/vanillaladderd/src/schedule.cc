#include "schedule.h"

#include <absl/strings/str_cat.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
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
/// Limit of a body, whatever the configuration allows.
constexpr std::size_t max_caller_request_bytes = 1U << 20;
/// Pause between two log lines on a limit that callers have reached.
constexpr std::chrono::seconds limit_log_interval{5};
/// Limits of the servers for readiness checks and metrics, which a few callers
/// use.
constexpr std::size_t max_internal_connections = 64;
constexpr std::size_t max_internal_request_bytes = 1U << 16;
/// Status of a caller's request that is refused while memory is short. 503
/// would mean that the submission never runs, but an earlier attempt may be
/// stored.
constexpr int caller_refusal_status = 504;
constexpr int internal_refusal_status = 503;

http::connection_limits internal_limits() {
  http::connection_limits limits;
  limits.max_connections = max_internal_connections;
  limits.max_buffered_bytes = 16 * max_internal_request_bytes;
  return limits;
}

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
         {listen(settings_.callers, dispatch::caller_limits(settings_),
                 max_caller_request_bytes, caller_refusal_status,
                 caller_server_,
                 [this](const auto&call, const auto&answer) {
                   caller_api_.handle(call, answer);
                 }),
          listen(settings_.ready, internal_limits(), max_internal_request_bytes,
                 internal_refusal_status, ready_server_,
                 [this](const auto&, const auto&answer) {
                   answer->respond({daemon_.ready() ? 200 : 503});
                 }),
          listen(settings_.metrics, internal_limits(),
                 max_internal_request_bytes, internal_refusal_status,
                 metrics_server_, [this](const auto&, const auto&answer) {
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
                      const http::connection_limits& limits,
                      std::size_t max_request_bytes, int refusal_status,
                      std::unique_ptr<http::server>& server, handler handle) {
    http::server_options options;
    options.address = listen_endpoint.address;
    options.port = listen_endpoint.port;
    options.limits = limits;
    options.max_request_bytes = max_request_bytes;
    options.refusal_status = refusal_status;
    options.on_limit = [this](std::string_view cause) {
      on_callers_limited(cause);
    };
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

  /// Counts each connection that is closed or refused for a limit; logs a line
  /// for each cause and interval.
  void on_callers_limited(std::string_view cause) {
    reporter_.count("vanillaladder_callers_limited_total", "cause", cause);
    auto& known = limited_[std::string(cause)];
    ++known.count;
    auto now = dispatch::boot_now();
    if (now - known.logged_at >= limit_log_interval) {
      known.logged_at = now;
      reporter_.event("main",
                      absl::StrCat("callers_limited cause=", std::string(cause),
                                   " count=", known.count));
    }
  }

  void schedule_log_flush() {
    loop_.call_after(log_flush_interval, [this] {
      log_.flush();
      // The limit of bodies may have changed with the configuration.
      if (daemon_.service().configured()) {
        caller_server_->set_max_request_bytes(std::min(
            max_caller_request_bytes, daemon_.service().max_body_bytes()));
      }
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
  struct limit_count {
    std::uint64_t count = 0;
    model::time_point logged_at;
  };
  std::map<std::string, limit_count> limited_;
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
