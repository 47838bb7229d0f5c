#include "options.h"
#include "standins/host.h"
#include "standins/instances_standin.h"

namespace {

using namespace vanillaladder;

constexpr const char* usage = R"(Instance list in memory, for tests.

Usage: standin_instances [--port=<n>] [--control-port=<n>]

Options:
  --port=<n>          Port of the list, 0 picks a free one [default: 0].
  --control-port=<n>  Port for the tests, 0 picks a free one [default: 0].
)";

int run(int argc, char** argv) {
  auto options = standins::parse_options(usage, argc, argv);
  standins::host host;
  standins::instances_standin list(host.loop());
  auto serve = [&](const http::request& message, const auto& answer) {
    list.handle(message, answer);
  };
  auto control = [&](const http::request& message, const auto& answer) {
    list.control(message, answer);
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
