#include <string>

#include "options.h"
#include "standins/control_port.h"
#include "standins/group.h"
#include "standins/host.h"
#include "standins/platform_messages.h"
#include "standins/platform_store.h"
#include "standins/platform_workers.h"

namespace {

using namespace vanillaladder;
using standins::json;

constexpr const char* usage =
    R"(The platform's store and its workers in memory, for tests.

Prints the ports of the store, then those of the workers, then the control port.

Usage: standin_platform [options]

Options:
  --control-port=<n>  Port for the tests, 0 picks a free one [default: 0].
  --doors=<n>         Ports of the store, which may be away one by one [default: 1].
  --workers=<n>       Number of workers, one port each [default: 1].
  --domains=<n>       Failure domains domain-1, domain-2, ... [default: 1].
  --labels=<n>        Labels label-1, label-2, ... in turn [default: 1].
  --cpu=<millis>      Processors of each worker [default: 4000].
  --longest-lease=<ms>  Longest lease that workers grant [default: 6000].
)";

std::string numbered(const char* prefix, std::int64_t n, std::int64_t count) {
  return prefix + std::to_string(n % count + 1);
}

/// Answers the control port: `/store` changes settings of the store, `/put`
/// writes a record, `/forget` deletes the history of a topic, `/newest` shows
/// the newest values of one; the rest is of the workers.
class control {
 public:
  control(standins::platform_store& store, standins::platform_workers& workers,
          standins::event_record& events)
      : store_(store), workers_(workers), events_(events) {}

  void handle(const http::request& message,
              const standins::responder_ptr& answer) {
    auto path = http::path_of(message.target);
    if (path == "/store") {
      store_.set(message, answer);
    } else if (path == "/put") {
      auto body = standins::body_object(message);
      store_.put(topic_of(body), body.at("key"), body.at("value"));
      standins::reply(answer, 200, json::object());
    } else if (path == "/forget") {
      store_.forget(topic_of(standins::body_object(message)));
      standins::reply(answer, 200, json::object());
    } else if (path == "/newest") {
      standins::reply(answer, 200,
                      store_.newest(topic_of(standins::body_object(message))));
    } else {
      standins::control_group(workers_.all(), "workers", events_,
                              {{"max_runs_of_one_task", workers_.runs().most()},
                               {"max_runs_task", workers_.runs().most_task()},
                               {"run_again", workers_.tasks_run_again()}},
                              message, answer);
    }
  }

 private:
  static std::string topic_of(const json& body) {
    return standins::platform::topic_on_wire(body.at("topic"));
  }

  standins::platform_store& store_;
  standins::platform_workers& workers_;
  standins::event_record& events_;
};

int run(int argc, char** argv) {
  auto options = standins::parse_options(usage, argc, argv);
  standins::host host;
  standins::event_record events;
  standins::platform_store store(host.loop(), events);
  standins::platform_workers workers(host.loop(), store, events);
  for (std::int64_t door = 0; door < options.number("--doors"); ++door) {
    auto serve_store = [&store, door](const http::request& message,
                                      const auto& answer) {
      store.handle(message, answer, door);
    };
    if (!host.listen("listening", 0, serve_store).ok()) {
      return 1;
    }
  }
  for (std::int64_t n = 0; n < options.number("--workers"); ++n) {
    auto& worker = workers.add(
        {"worker-" + std::to_string(n + 1),
         numbered("domain-", n, options.number("--domains")),
         numbered("label-", n, options.number("--labels")),
         options.number("--cpu"), options.number("--longest-lease")});
    auto serve = [&worker](const http::request& message, const auto& answer) {
      worker.handle(message, answer);
    };
    if (!host.listen("listening", 0, serve).ok()) {
      return 1;
    }
    worker.set_port(host.last_port());
  }
  control target(store, workers, events);
  auto serve_control = [&](const http::request& message, const auto& answer) {
    try {
      target.handle(message, answer);
    } catch (const std::exception& error) {
      standins::reply(answer, 400, {{"error", error.what()}});
    }
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
