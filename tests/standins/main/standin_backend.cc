#include <memory>
#include <vector>

#include "options.h"
#include "standins/backend_standin.h"
#include "standins/group.h"
#include "standins/host.h"

namespace {

using namespace vanillaladder;

constexpr const char* usage = R"(Backend servers that echo, for tests.

Usage: standin_backend [options]

Options:
  --port=<n>          Port of the first server, 0 picks free ones [default: 0].
  --control-port=<n>  Port for the tests, 0 picks a free one [default: 0].
  --backends=<n>      Number of servers, one port each [default: 1].
  --id=<prefix>       Ids are <prefix>1, <prefix>2, ... [default: backend-].
  --slots=<n>         Slots of each server [default: 8].
)";

int run(int argc, char** argv) {
  auto options = standins::parse_options(usage, argc, argv);
  standins::host host;
  standins::event_record events;
  std::vector<std::unique_ptr<standins::backend_standin>> all;
  auto port = options.port();
  for (std::int64_t n = 1; n <= options.number("--backends"); ++n) {
    standins::backend_standin::options settings{
        options.text("--id") + std::to_string(n), options.number("--slots")};
    all.push_back(std::make_unique<standins::backend_standin>(
        host.loop(), std::move(settings), events));
    auto serve = [target = all.back().get()](const http::request& message,
                                             const auto& answer) {
      target->handle(message, answer);
    };
    if (!host.listen("listening", port, serve).ok()) {
      return 1;
    }
    port = static_cast<std::uint16_t>(port == 0 ? 0 : port + 1);
  }
  auto control = [&](const http::request& message, const auto& answer) {
    standins::control_group(all, "backends", events, standins::json::object(),
                            message, answer);
  };
  if (!host.listen("control", options.control_port(), control).ok()) {
    return 1;
  }
  host.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  return standins::run_program([&] { return run(argc, argv); });
}
