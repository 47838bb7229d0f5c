#include <docopt/docopt.h>
#include <signal.h>
#include <thrift/TOutput.h>

#include <cstdio>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "control/control_plane.h"
#include "front_host.h"
#include "runtime/error.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/settings.h"
#include "runtime/supervisor.h"
#include "schedule.h"

namespace vanillaladder::daemon {
namespace {

constexpr char usage[] = R"(vanillaladderd: scheduler daemon.

Usage:
  vanillaladderd --settings FILE
  vanillaladderd --settings FILE --check
  vanillaladderd schedule [--settings FILE] [--check] [--set SETTING]...
  vanillaladderd (-h | --help)
  vanillaladderd --version

`schedule` runs batch jobs through the platform's store.

Options:
  --settings FILE  Settings in TOML; `schedule` looks in the file that the
                   variable VANILLALADDER_SETTINGS names if none is given.
  --set SETTING    SECTION.KEY=VALUE, goes before the same key in the file;
                   without a value the key counts as not set.
  --check          Only check the settings.
  -h --help        Show this text.
  --version        Show the version.

Exit codes: 0 after a graceful stop, 2 for invalid settings, 70 after a
failure that a restart of a part did not mend.
)";

constexpr int exit_invalid = 2;
constexpr int exit_failure = 70;

sigset_t stop_signals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

/// Waits for SIGTERM or SIGINT and calls `on_signal` each time.
void wait_for_signals(const std::stop_token& stop,
                      const std::function<void()>& on_signal) {
  auto set = stop_signals();
  timespec poll_interval{0, 200'000'000};
  while (!stop.stop_requested()) {
    if (sigtimedwait(&set, nullptr, &poll_interval) > 0) {
      on_signal();
    }
  }
}

runtime::child_spec front_child(front_host& host) {
  return {"front",
          [&host]() -> absl::StatusOr<runtime::task_function> {
            return runtime::task_function([&host](std::stop_token stop) {
              return host.run(std::move(stop));
            });
          },
          true};
}

void print_ports(const front_host& host, std::uint16_t peer_port) {
  std::cout << "listening caller=" << host.caller_port()
            << " operator=" << host.operator_port() << " peer=" << peer_port
            << std::endl;
}

/// Creates a new control plane, with a new incarnation, for every start.
runtime::child_spec control_child(const runtime::daemon_settings& settings,
                                  front_host& host,
                                  control::control_channel& channel,
                                  runtime::metrics& metrics,
                                  runtime::supervisor& parent) {
  auto start = [&settings, &host, &channel, &metrics,
                &parent]() -> absl::StatusOr<runtime::task_function> {
    auto plane = std::make_shared<control::control_plane>(
        control::control_plane::options{settings, host.operator_port()}, host,
        channel, metrics);
    if (auto bound = plane->listen(); !bound.ok()) {
      return bound;
    }
    print_ports(host, plane->peer_port());
    return runtime::task_function(
        [plane, &parent](std::stop_token stop) mutable {
          auto result = plane->run(std::move(stop));
          plane.reset();
          if (result.ok()) {
            parent.stop();
          }
          return result;
        });
  };
  return {"control", start, false};
}

/// Thrift prints every failed connect, which the peer links already report.
void discard_thrift_output(const char*) {}

int run(const runtime::daemon_settings& settings) {
  runtime::init_logging(settings.logging_level);
  apache::thrift::GlobalOutput.setOutputFunction(discard_thrift_output);
  runtime::logger log("main");
  runtime::metrics metrics;
  metrics.declare_reasons();
  control::control_channel channel;
  front_host host(settings, channel, metrics);
  if (auto bound = host.listen(); !bound.ok()) {
    log.error(runtime::error_message(bound));
    return exit_failure;
  }
  runtime::supervisor_options options;
  options.policy = runtime::restart_policy::one_for_one;
  options.on_restart = [&](std::string_view child, const absl::Status& cause) {
    metrics.counter("vanillaladder_restarts_total", "task", child).increment();
    log.warn(std::string(child) + " restarts: " + std::string(cause.message()));
  };
  runtime::supervisor supervisor(std::move(options));
  supervisor.add(front_child(host));
  supervisor.add(control_child(settings, host, channel, metrics, supervisor));
  std::jthread signals([&](const std::stop_token& stop) {
    wait_for_signals(stop, [&] { supervisor.stop(); });
  });
  auto result = supervisor.run();
  if (!result.ok()) {
    log.error("exiting: " + std::string(result.message()));
    return exit_failure;
  }
  log.info("stopped");
  return 0;
}

int schedule(std::string path, const std::vector<std::string>& overrides,
             bool only_check) {
  if (path.empty()) {
    const char* env_path = std::getenv("VANILLALADDER_SETTINGS");
    path = env_path == nullptr ? "" : env_path;
  }
  auto settings = dispatch::load_settings(path, overrides);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return exit_invalid;
  }
  return only_check ? 0 : run_schedule(*settings);
}

int run_command_line(const std::vector<std::string>& words) {
  auto arguments = docopt::docopt(usage, words, true, "vanillaladderd 0.1.0");
  if (arguments["schedule"].asBool()) {
    const auto& file = arguments["--settings"];
    return schedule(file ? file.asString() : "",
                    arguments["--set"].asStringList(),
                    arguments["--check"].asBool());
  }
  auto settings = runtime::load_settings(arguments["--settings"].asString());
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return exit_invalid;
  }
  if (arguments["--check"].asBool()) {
    return 0;
  }
  // Threads inherit the mask, so only the signal thread receives these signals.
  auto set = stop_signals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  return run(*settings);
}

}  // namespace
}  // namespace vanillaladder::daemon

int main(int argc, char** argv) {
  try {
    return vanillaladder::daemon::run_command_line({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::fprintf(stderr, "vanillaladderd: %s\n", error.what());
  } catch (...) {
    std::fputs("vanillaladderd: unknown error\n", stderr);
  }
  return vanillaladder::daemon::exit_failure;
}
