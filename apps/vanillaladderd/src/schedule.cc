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
/// How often collected log lines are written.
constexpr milliseconds log_flush_interval{200};
/// The load balancer stops new connections after two checks, one a second.
constexpr milliseconds balancer_notice{2500};
/// Left of the stop's limit when open calls are given up.
constexpr milliseconds stop_margin{500};
constexpr milliseconds stop_poll{50};

sigset_t handled_signals() {
  sigset_t set;
  sigemptyset(&set);
  for (int each : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) {
    sigaddset(&set, each);
  }
  return set;
}

/// Waits for signals on a thread of its own and passes them to the loop.
class signal_watch {
 public:
  signal_watch(http::event_loop& loop, std::function<void(int)> handle) {
    auto set = handled_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    thread_ = std::thread([&loop, handle = std::move(handle)] {
      auto wanted = handled_signals();
      int signal = 0;
      while (sigwait(&wanted, &signal) == 0 && signal != SIGUSR1) {
        loop.post([handle, signal] { handle(signal); });
      }
    });
  }
  ~signal_watch() {
    // Ends the wait; the signal is blocked on all other threads.
    pthread_kill(thread_.native_handle(), SIGUSR1);
    thread_.join();
  }
  signal_watch(const signal_watch&) = delete;
  signal_watch& operator=(const signal_watch&) = delete;

 private:
  std::thread thread_;
};

class schedule_process {
 public:
  explicit schedule_process(const dispatch::daemon_settings& settings)
      : settings_(settings),
        log_(STDOUT_FILENO, settings.instance),
        report_(log_, metrics_),
        loop_(settings.max_descriptors),
        shared_(loop_),
        store_(shared_, settings.store.address, settings.store.port),
        daemon_(
            loop_, settings, store_, decoder_,
            [this] { return std::make_unique<platform::workers>(shared_); },
            report_),
        callers_(daemon_.service()) {}

  int run() {
    for (const auto& status :
         {listen(settings_.callers, callers_server_,
                 [this](const auto&call, const auto&answer) {
                   callers_.handle(call, answer);
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
        report_.event("main", absl::StrCat("start_failed error=",
                                           runtime::error_message(status)));
        log_.flush();
        return exit_failure;
      }
    }
    report_.event("main", absl::StrCat("start pid=", getpid(),
                                       " domain=", settings_.domain,
                                       " store=", settings_.store.address, ":",
                                       settings_.store.port));
    signal_watch signals(loop_, [this](int signal) { on_signal(signal); });
    flush_later();
    daemon_.start();
    loop_.run();
    report_.event("main", "stop");
    log_.flush();
    return 0;
  }

 private:
  using handler = std::function<void(const http::request&,
                                     const std::shared_ptr<http::responder>&)>;

  absl::Status listen(const dispatch::endpoint& at,
                      std::unique_ptr<http::server>& server, handler handle) {
    http::server_options options;
    options.address = at.address;
    options.port = at.port;
    auto made = http::server::listen(
        loop_, options,
        [handle = std::move(handle)](http::request call, const auto& answer) {
          handle(call, answer);
        });
    if (!made.ok()) {
      return made.status();
    }
    server = *std::move(made);
    return absl::OkStatus();
  }

  void flush_later() {
    loop_.call_after(log_flush_interval, [this] {
      log_.flush();
      flush_later();
    });
  }

  void on_signal(int signal) {
    report_.event("main", absl::StrCat("signal number=", signal));
    if (signal == SIGHUP) {
      // Addresses and limits hold for the life of a process.
      report_.event("main", "reload unchanged=1");
      return;
    }
    if (stopping_) {
      return;
    }
    stopping_ = true;
    stop_asked_ = dispatch::boot_now();
    daemon_.leave([this] { wait_for_callers(); });
  }

  void wait_for_callers() {
    auto passed = dispatch::boot_now() - stop_asked_;
    bool noticed =
        passed >= std::min(balancer_notice, settings_.stop_limit / 2);
    bool out_of_time = passed >= settings_.stop_limit - stop_margin;
    if (noticed) {
      callers_server_->disable_keep_alive();
    }
    if (out_of_time || (noticed && callers_server_->open_requests() == 0)) {
      report_.event("main", absl::StrCat("calls_open n=",
                                         callers_server_->open_requests()));
      loop_.stop();
      return;
    }
    loop_.call_after(stop_poll, [this] { wait_for_callers(); });
  }

  dispatch::daemon_settings settings_;
  runtime::metrics metrics_;
  runtime::event_log log_;
  dispatch::reporter report_;
  http::event_loop loop_;
  http::transport shared_;
  platform::store store_;
  platform::decoder decoder_;
  dispatch::scheduling_daemon daemon_;
  platform::caller_api callers_;
  std::unique_ptr<http::server> callers_server_;
  std::unique_ptr<http::server> ready_server_;
  std::unique_ptr<http::server> metrics_server_;
  bool stopping_ = false;
  model::time_point stop_asked_;
};

}  // namespace

int run_schedule(const dispatch::daemon_settings& settings) {
  // Threads inherit the mask, so that only the watch takes signals.
  auto set = handled_signals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  return schedule_process(settings).run();
}

}  // namespace vanillaladder::daemon
