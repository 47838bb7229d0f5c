#include <algorithm>
#include <string_view>
#include <utility>

#include "control/config_api.h"
#include "control/job_api.h"
#include "control/wire_convert.h"
#include "front_host.h"

namespace vanillaladder::daemon {
namespace {

using control::control_plane;
using reply = std::function<void(http::response)>;

constexpr std::string_view jobs_path = "/v1/jobs";
constexpr std::string_view versions_path = "/v1/config/versions";

/// @return what follows `prefix` and a slash in `path`, or an empty view.
std::string_view below(std::string_view path, std::string_view prefix) {
  if (path.size() > prefix.size() + 1 && path.starts_with(prefix) &&
      path[prefix.size()] == '/') {
    return path.substr(prefix.size() + 1);
  }
  return {};
}

}  // namespace

void front_host::ask_plane(const responder_ptr& answer, plane_call call) {
  bool posted = channel_.post(
      [this, answer, call = std::move(call)](control_plane& plane) {
        call(plane, [this, answer](http::response response) {
          loop_.post([answer, response = std::move(response)] {
            answer->respond(response);
          });
        });
      });
  if (!posted) {
    answer->respond(control::not_run_response("control-restarting"));
  }
}

void front_host::handle_caller(http::request message,
                               const responder_ptr& answer) {
  if (!handle_jobs(message, answer)) {
    front_.handle(std::move(message), answer);
  }
}

bool front_host::handle_jobs(const http::request& message,
                             const responder_ptr& answer) {
  auto path = http::path_of(message.target);
  std::string id(below(path, jobs_path));
  if (path == jobs_path && message.method == "POST") {
    ask_plane(answer, [body = message.body](control_plane& plane, reply done) {
      plane.shards().submit(body, std::move(done));
    });
  } else if (path == jobs_path && message.method == "GET") {
    ask_plane(answer, [](control_plane& plane, reply done) {
      plane.shards().list(std::move(done));
    });
  } else if (!id.empty() && message.method == "GET") {
    ask_plane(answer, [id](control_plane& plane, reply done) {
      plane.shards().query(id, std::move(done));
    });
  } else if (!id.empty() && message.method == "DELETE") {
    ask_plane(answer, [id](control_plane& plane, reply done) {
      plane.shards().cancel(id, std::move(done));
    });
  } else if (path == jobs_path || !id.empty()) {
    answer->respond(control::error_response(405, "method not allowed"));
  } else {
    return false;
  }
  return true;
}

bool front_host::handle_config(const http::request& message,
                               const responder_ptr& answer) {
  auto path = http::path_of(message.target);
  std::string number(below(path, versions_path));
  if (path == "/v1/config" && message.method == "GET") {
    ask_plane(answer, [](control_plane& plane, const reply& done) {
      done(plane.config());
    });
  } else if (path == "/v1/config/status" && message.method == "GET") {
    ask_plane(answer, [](control_plane& plane, const reply& done) {
      done(plane.status());
    });
  } else if (!number.empty() && message.method == "GET") {
    ask_plane(answer, [number](control_plane& plane, const reply& done) {
      done(plane.version(number));
    });
  } else if (path == versions_path && message.method == "POST") {
    ask_plane(answer, [body = message.body](control_plane& plane, reply done) {
      plane.publish(control::parse_version(body), std::move(done));
    });
  } else if (path == "/v1/config/patches" && message.method == "POST") {
    ask_plane(answer, [body = message.body](control_plane& plane, reply done) {
      plane.publish(control::parse_patch(body), std::move(done));
    });
  } else {
    return false;
  }
  return true;
}

void front_host::handle_operator(const http::request& message,
                                 const responder_ptr& answer) {
  auto path = http::path_of(message.target);
  if (path == "/healthz") {
    answer->respond({200, {}, "ok\n"});
  } else if (path == "/readyz") {
    bool ready = front_.ready();
    answer->respond({ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n"});
  } else if (path == "/metrics") {
    metrics_.gauge("vanillaladder_open_requests")
        .set(static_cast<double>(front_.open_requests()));
    answer->respond({200,
                     {{"content-type", "text/plain; version=0.0.4"}},
                     metrics_.prometheus_text()});
  } else if (path == "/v1/instances" && message.method == "GET") {
    ask_plane(answer, [](control_plane& plane, const reply& done) {
      done(plane.instances());
    });
  } else if (!handle_config(message, answer) && !handle_jobs(message, answer)) {
    answer->respond(control::error_response(404, "no such resource"));
  }
}

}  // namespace vanillaladder::daemon
