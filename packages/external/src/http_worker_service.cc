#include "external/http_worker_service.h"

#include <limits>
#include <stdexcept>
#include <utility>

#include "json_call.h"

namespace vanillaladder::external {
namespace {

// Leases and measurements longer than a year are malformed.
constexpr std::int64_t max_duration_ms = std::int64_t{366} * 24 * 3600 * 1000;

task_state decode_state(const std::string& name) {
  if (name == "running") {
    return task_state::running;
  }
  if (name == "finished") {
    return task_state::finished;
  }
  if (name == "failed") {
    return task_state::failed;
  }
  if (name == "stopped") {
    return task_state::stopped;
  }
  throw std::invalid_argument("unknown task state " + name);
}

usage_report decode_usage(const nlohmann::json& item) {
  return {detail::decode_resources(item),
          std::chrono::milliseconds(
              detail::integer_at(item, "age_ms", 0, max_duration_ms)),
          detail::optional_amount(item, "slowdown_percent")};
}

task_report decode_task(const nlohmann::json& item) {
  task_report task;
  task.id.task = item.at("task").get<std::string>();
  task.id.attempt = static_cast<std::uint32_t>(detail::integer_at(
      item, "attempt", 0, std::numeric_limits<std::uint32_t>::max()));
  task.state = decode_state(item.at("state").get<std::string>());
  task.lease = item.at("lease").get<std::string>();
  task.checkpoint = detail::optional_string(item, "checkpoint");
  task.usage = decode_usage(item.at("usage"));
  return task;
}

worker_report decode_report(const nlohmann::json& answer) {
  worker_report report;
  for (const auto& item : answer.at("leases")) {
    report.leases.push_back({item.at("lease").get<std::string>(),
                             item.at("holder").get<std::string>(),
                             std::chrono::milliseconds(detail::integer_at(
                                 item, "remaining_ms", 0, max_duration_ms))});
  }
  for (const auto& item : answer.at("tasks")) {
    report.tasks.push_back(decode_task(item));
  }
  report.usage = decode_usage(answer.at("usage"));
  return report;
}

std::string task_path(const attempt_id& id, const char* action) {
  return "/tasks/" + detail::percent_encode(id.task) + action;
}

std::string lease_path(const lease_id& lease, const char* action) {
  return "/leases/" + detail::percent_encode(lease) + action;
}

detail::json_call make_call(const http_worker_options& options,
                            const worker_address& worker, std::string step,
                            std::string method, std::string target,
                            nlohmann::json body) {
  detail::json_call call;
  call.step = std::move(step);
  call.peer = "worker " + worker.id;
  call.address = worker.address;
  call.port = worker.port;
  call.method = std::move(method);
  call.target = std::move(target);
  call.body = std::move(body);
  call.options.timeout = options.timeout;
  call.options.max_response_bytes = options.max_answer_bytes;
  return call;
}

/// Sends a call and passes the answer, decoded by `decode`, to `done`.
template <typename Callback, typename Decode>
void send_decoded(http::client& client, detail::json_call call, Callback done,
                  Decode decode) {
  auto step = call.step;
  auto peer = detail::peer_name(call);
  detail::send_json(client, std::move(call),
                    [step, peer, done = std::move(done), decode](auto answer) {
                      done(detail::decode_answer(answer, step, peer, decode));
                    });
}

/// Sends a call whose answer body is ignored.
void send_without_result(http::client& client, detail::json_call call,
                         worker_service::status_callback done) {
  detail::send_json(
      client, std::move(call),
      [done = std::move(done)](const auto& answer) { done(answer.status()); });
}

}  // namespace

http_worker_service::http_worker_service(http::event_loop& loop,
                                         http_worker_options options)
    : options_(options), client_(loop) {}

void http_worker_service::acquire_lease(const worker_address& worker,
                                        const std::string& holder,
                                        std::chrono::milliseconds duration,
                                        lease_callback done) {
  auto call =
      make_call(options_, worker, "acquire lease", "POST", "/leases",
                {{"holder", holder}, {"duration_ms", duration.count()}});
  send_decoded(client_, std::move(call), std::move(done),
               [](const nlohmann::json& answer) -> lease_id {
                 auto lease = answer.at("lease").get<std::string>();
                 if (lease.empty()) {
                   throw std::invalid_argument("empty lease");
                 }
                 return lease;
               });
}

void http_worker_service::renew_lease(const worker_address& worker,
                                      const lease_id& lease,
                                      status_callback done) {
  send_without_result(
      client_,
      make_call(options_, worker, "renew lease " + lease, "POST",
                lease_path(lease, "/renew"), nlohmann::json::object()),
      std::move(done));
}

void http_worker_service::delete_lease(const worker_address& worker,
                                       const lease_id& lease,
                                       status_callback done) {
  send_without_result(client_,
                      make_call(options_, worker, "delete lease " + lease,
                                "DELETE", lease_path(lease, ""), nullptr),
                      std::move(done));
}

void http_worker_service::start(const worker_address& worker,
                                const task_start& task, status_callback done) {
  nlohmann::json body = {{"lease", task.lease},
                         {"task", task.id.task},
                         {"attempt", task.id.attempt},
                         {"cpu_millis", task.size.cpu_millis},
                         {"memory_mib", task.size.memory_mib},
                         {"accelerators", task.size.accelerators},
                         {"command", task.command},
                         {"checkpoint", task.checkpoint}};
  send_without_result(client_,
                      make_call(options_, worker, "start task " + task.id.task,
                                "POST", "/tasks", std::move(body)),
                      std::move(done));
}

void http_worker_service::adopt(const worker_address& worker,
                                const attempt_id& id, const lease_id& lease,
                                status_callback done) {
  send_without_result(client_,
                      make_call(options_, worker, "adopt task " + id.task,
                                "POST", task_path(id, "/adopt"),
                                {{"attempt", id.attempt}, {"lease", lease}}),
                      std::move(done));
}

void http_worker_service::checkpoint(const worker_address& worker,
                                     const attempt_id& id,
                                     checkpoint_callback done) {
  auto call =
      make_call(options_, worker, "checkpoint task " + id.task, "POST",
                task_path(id, "/checkpoint"), {{"attempt", id.attempt}});
  send_decoded(client_, std::move(call), std::move(done),
               [](const nlohmann::json& answer) {
                 return answer.at("checkpoint").get<std::string>();
               });
}

void http_worker_service::throttle(const worker_address& worker,
                                   const attempt_id& id, int percent,
                                   status_callback done) {
  send_without_result(
      client_,
      make_call(options_, worker, "throttle task " + id.task, "POST",
                task_path(id, "/throttle"),
                {{"attempt", id.attempt}, {"percent", percent}}),
      std::move(done));
}

void http_worker_service::stop(const worker_address& worker,
                               const attempt_id& id, status_callback done) {
  send_without_result(
      client_,
      make_call(options_, worker, "stop task " + id.task, "POST",
                task_path(id, "/stop"), {{"attempt", id.attempt}}),
      std::move(done));
}

void http_worker_service::acknowledge_end(const worker_address& worker,
                                          const attempt_id& id,
                                          status_callback done) {
  auto target = task_path(id, "?attempt=") + std::to_string(id.attempt);
  send_without_result(
      client_,
      make_call(options_, worker, "acknowledge end of task " + id.task,
                "DELETE", std::move(target), nullptr),
      std::move(done));
}

void http_worker_service::list(const worker_address& worker,
                               report_callback done) {
  send_decoded(
      client_,
      make_call(options_, worker, "list tasks", "GET", "/tasks", nullptr),
      std::move(done), decode_report);
}

}  // namespace vanillaladder::external
