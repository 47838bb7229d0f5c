#include <iostream>

#include "options.h"
#include "standins/host.h"
#include "standins/log_standin.h"

namespace {

using namespace vanillaladder;

constexpr const char* usage = R"(Log service in memory, for tests.

Usage: standin_log [--port=<n>] [--control-port=<n>]

Options:
  --port=<n>          Port of the service, 0 picks a free one [default: 0].
  --control-port=<n>  Port for the tests, 0 picks a free one [default: 0].
)";

int run(int argc, char** argv) {
  auto options = standins::parse_options(usage, argc, argv);
  standins::host host;
  standins::log_standin log(host.loop());
  auto serve = [&](const http::request& message, const auto& answer) {
    log.handle(message, answer);
  };
  auto control = [&](const http::request& message, const auto& answer) {
    log.control(message, answer);
  };
  if (!host.listen("listening", options.port(), serve).ok() ||
      !host.listen("control", options.control_port(), control).ok()) {
    return 1;
  }
  host.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  return standins::run_program([&] { return run(argc, argv); });
}
