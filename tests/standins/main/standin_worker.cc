#include <memory>
#include <vector>

#include "options.h"
#include "standins/group.h"
#include "standins/host.h"
#include "standins/worker_standin.h"

namespace {

using namespace vanillaladder;

constexpr const char* usage = R"(Workers whose tasks are timers, for tests.

Usage: standin_worker [options]

Options:
  --port=<n>          Port of the first worker, 0 picks free ones [default: 0].
  --control-port=<n>  Port for the tests, 0 picks a free one [default: 0].
  --workers=<n>       Number of workers, one port each [default: 1].
  --id=<prefix>       Ids are <prefix>1, <prefix>2, ... [default: worker-].
  --cpu=<millis>      Processors of each worker [default: 32000].
  --memory=<mib>      Memory of each worker [default: 128000].
  --accelerators=<n>  Accelerators of each worker [default: 0].
)";

int run(int argc, char** argv) {
  auto options = standins::parse_options(usage, argc, argv);
  standins::host host;
  standins::worker_standin::shared common;
  std::vector<std::unique_ptr<standins::worker_standin>> all;
  auto port = options.port();
  for (std::int64_t n = 1; n <= options.number("--workers"); ++n) {
    standins::worker_standin::options settings{
        options.text("--id") + std::to_string(n),
        {options.number("--cpu"), options.number("--memory"),
         options.number("--accelerators")}};
    auto worker = std::make_unique<standins::worker_standin>(
        host.loop(), std::move(settings), common);
    auto serve = [target = worker.get()](const http::request& message,
                                         const auto& answer) {
      target->handle(message, answer);
    };
    if (!host.listen("listening", port, serve).ok()) {
      return 1;
    }
    port = static_cast<std::uint16_t>(port == 0 ? 0 : port + 1);
    all.push_back(std::move(worker));
  }
  auto serve_control = [&](const http::request& message, const auto& answer) {
    standins::control_group(all, "workers", common.events,
                            {{"max_runs_of_one_task", common.runs.most()},
                             {"max_runs_task", common.runs.most_task()}},
                            message, answer);
  };
  if (!host.listen("control", options.control_port(), serve_control).ok()) {
    return 1;
  }
  host.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  return standins::run_program([&] { return run(argc, argv); });
}
