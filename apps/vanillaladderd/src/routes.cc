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
using response_callback = std::function<void(http::response)>;

constexpr std::string_view jobs_path = "/v1/jobs";
constexpr std::string_view versions_path = "/v1/config/versions";

/// @return the part of `path` after `prefix` and a slash, or an empty view.
std::string_view path_after(std::string_view path, std::string_view prefix) {
  if (path.size() > prefix.size() + 1 && path.starts_with(prefix) &&
      path[prefix.size()] == '/') {
    return path.substr(prefix.size() + 1);
  }
  return {};
}

}  // namespace

void front_host::call_control_plane(const responder_ptr& answer,
                                    control_plane_call call) {
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
  std::string id(path_after(path, jobs_path));
  if (path == jobs_path && message.method == "POST") {
    call_control_plane(answer, [body = message.body](control_plane& plane,
                                                     response_callback done) {
      plane.shards().submit(body, std::move(done));
    });
  } else if (path == jobs_path && message.method == "GET") {
    call_control_plane(answer,
                       [](control_plane& plane, response_callback done) {
                         plane.shards().list(std::move(done));
                       });
  } else if (!id.empty() && message.method == "GET") {
    call_control_plane(answer,
                       [id](control_plane& plane, response_callback done) {
                         plane.shards().query(id, std::move(done));
                       });
  } else if (!id.empty() && message.method == "DELETE") {
    call_control_plane(answer,
                       [id](control_plane& plane, response_callback done) {
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
  std::string number(path_after(path, versions_path));
  if (path == "/v1/config" && message.method == "GET") {
    call_control_plane(answer,
                       [](control_plane& plane, const response_callback& done) {
                         done(plane.config());
                       });
  } else if (path == "/v1/config/status" && message.method == "GET") {
    call_control_plane(answer,
                       [](control_plane& plane, const response_callback& done) {
                         done(plane.status());
                       });
  } else if (!number.empty() && message.method == "GET") {
    call_control_plane(
        answer, [number](control_plane& plane, const response_callback& done) {
          done(plane.version(number));
        });
  } else if (path == versions_path && message.method == "POST") {
    call_control_plane(answer, [body = message.body](control_plane& plane,
                                                     response_callback done) {
      plane.publish(control::parse_version(body), std::move(done));
    });
  } else if (path == "/v1/config/patches" && message.method == "POST") {
    call_control_plane(answer, [body = message.body](control_plane& plane,
                                                     response_callback done) {
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
    call_control_plane(answer,
                       [](control_plane& plane, const response_callback& done) {
                         done(plane.instances());
                       });
  } else if (!handle_config(message, answer) && !handle_jobs(message, answer)) {
    answer->respond(control::error_response(404, "no such resource"));
  }
}

}  // namespace vanillaladder::daemon
