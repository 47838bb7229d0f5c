#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <stdexcept>
#include <string_view>

#include "steps.h"

namespace {

using namespace vanillaladder;

void print_addresses(harness::cluster& in) {
  for (std::size_t n = 0; n < in.daemon_count(); ++n) {
    const auto& one = in.at(n);
    std::cout << one.id << ": callers 127.0.0.1:" << one.caller_port
              << ", operators 127.0.0.1:" << one.operator_port << "\n";
  }
  std::cout << "log 127.0.0.1:" << in.log().ports()[0]
            << ", instance list 127.0.0.1:" << in.instances().ports()[0]
            << std::endl;
}

/// Runs one step and writes its line.
bool run_step(const walk::step& one, harness::cluster& in) {
  try {
    auto seen = one.run(in);
    std::cout << "ok      " << one.name << ": " << seen << std::endl;
    return true;
  } catch (const walk::step_failure& failure) {
    std::cout << "FAILED  " << one.name << " (" << failure.peer
              << "): " << failure.message << std::endl;
  } catch (const std::exception& error) {
    std::cout << "FAILED  " << one.name << ": " << error.what() << std::endl;
  }
  return false;
}

/// Waits for Ctrl-C; the signals were blocked before any thread was started.
void wait_for_signal(const sigset_t& signals) {
  std::cout << "running until Ctrl-C" << std::endl;
  int received = 0;
  sigwait(&signals, &received);
}

int run(bool keep) {
  sigset_t signals{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  if (keep) {
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  }
  harness::cluster_options options;
  options.daemons = 3;
  options.backends = 2;
  options.workers = 3;
  options.domains = 2;
  // The size of the users' workers.
  options.worker_cpu_millis = 32000;
  options.worker_memory_mib = 125000;
  harness::cluster cluster(options);
  std::cout << "ok      start: log, instance list, 2 backend servers, 3 "
               "workers in 2 failure domains, 3 daemons"
            << std::endl;
  auto steps = walk::steps();
  if (keep) {
    // The last two steps end daemons.
    steps.resize(steps.size() - 2);
  }
  for (const auto& one : steps) {
    if (!run_step(one, cluster)) {
      // Leaving by an exception makes the cluster keep its logs.
      throw std::runtime_error(one.name + " failed");
    }
  }
  if (keep) {
    print_addresses(cluster);
    wait_for_signal(signals);
  }
  return 0;
}

}  // namespace

int main() {
  const char* value = std::getenv("KEEP");
  try {
    return run(value != nullptr && std::string_view(value) == "1");
  } catch (const std::exception& error) {
    std::cout << "FAILED  walk: " << error.what() << std::endl;
    return 1;
  }
}
