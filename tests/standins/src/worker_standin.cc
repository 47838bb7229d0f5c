#include "standins/worker_standin.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "standins/control_port.h"

namespace vanillaladder::standins {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t longest_lease_ms = 600000;

/// Takes part in a request whose answer is lost: the connection stays open.
class mute_responder : public http::responder {
 public:
  explicit mute_responder(responder_ptr target) : target_(std::move(target)) {}
  void respond(http::response /*answer*/) override {}
  bool connected() const override { return target_->connected(); }
  void on_disconnect(std::function<void()> callback) override {
    target_->on_disconnect(std::move(callback));
  }

 private:
  responder_ptr target_;
};

model::resources resources_of(const json& body) {
  return {body.at("cpu_millis").get<std::int64_t>(),
          body.at("memory_mib").get<std::int64_t>(),
          body.at("accelerators").get<std::int64_t>()};
}

}  // namespace

worker_standin::worker_standin(http::event_loop& loop, options settings,
                               shared& common)
    : loop_(&loop), options_(std::move(settings)), shared_(&common) {
  knobs_.add("silent", &silent_);
  knobs_.add("dead", &dead_);
  knobs_.add("fail_starts", &fail_starts_);
  knobs_.add("ignore_renewals", &ignore_renewals_);
  knobs_.add("lose_renewal_answers", &lose_renewal_answers_);
  knobs_.add("refuse_lease_deletion", &refuse_lease_deletion_);
  knobs_.add("run_factor_percent", &run_factor_percent_);
  knobs_.add("lose_answers", &lose_answers_);
  knobs_.add("delay_ms", &delay_ms_);
  knobs_.add("stop_ms", &stop_ms_);
  knobs_.add("usage_lag_ms", &usage_lag_ms_);
}

const std::string& worker_standin::id() const {
  return options_.id;
}

void worker_standin::handle(const http::request& message,
                            const responder_ptr& answer) {
  if (silent_) {
    return;
  }
  if (dead_) {
    answer->abort();
    return;
  }
  if (delay_ms_ == 0) {
    dispatch(message, answer);
    return;
  }
  loop_->call_after(milliseconds(delay_ms_), [this, message, answer] {
    if (!dead_) {
      dispatch(message, answer);
    }
  });
}

void worker_standin::dispatch(const http::request& message,
                              const responder_ptr& answer) {
  auto path = http::path_of(message.target);
  bool renewal = path.starts_with("/leases/") && path.ends_with("/renew");
  if (renewal && ignore_renewals_) {
    return;
  }
  bool mute = renewal && lose_renewal_answers_;
  if (lose_answers_ > 0) {
    --lose_answers_;
    mute = true;
  }
  auto target = mute ? std::make_shared<mute_responder>(answer) : answer;
  try {
    route(message, target);
  } catch (const std::exception& error) {
    reply(target, 400, {{"error", error.what()}});
  }
}

void worker_standin::route(const http::request& message,
                           const responder_ptr& answer) {
  auto path = http::path_of(message.target);
  bool post = message.method == "POST";
  if (auto name = middle_of(path, "/leases/", "/renew");
      post && !name.empty()) {
    renew_lease(std::string(name), answer);
  } else if (post && path == "/leases") {
    grant_lease(body_object(message), answer);
  } else if (message.method == "DELETE" && path.starts_with("/leases/")) {
    delete_lease(std::string(path.substr(8)), answer);
  } else if (post && path == "/tasks") {
    start(body_object(message), answer);
  } else if (message.method == "GET" && path == "/tasks") {
    forget_old_runs();
    reply(answer, 200, report());
  } else {
    route_task(message, answer);
  }
}

void worker_standin::route_task(const http::request& message,
                                const responder_ptr& answer) {
  auto path = http::path_of(message.target);
  if (message.method == "DELETE" && path.starts_with("/tasks/")) {
    acknowledge(std::string(path.substr(7)),
                query_integer(message.target, "attempt", -1), answer);
    return;
  }
  auto slash = path.rfind('/');
  auto task = std::string(middle_of(path.substr(0, slash), "/tasks/", ""));
  auto action = path.substr(slash + 1);
  auto body = body_object(message);
  auto* run = find_run(task, body.value("attempt", std::int64_t{-1}));
  if (run == nullptr || !run->running()) {
    reply(answer, 404, {{"error", "no such task in progress"}});
  } else if (action == "adopt") {
    adopt(*run, body, answer);
  } else if (action == "checkpoint") {
    reply(answer, 200, {{"checkpoint", run->checkpoint_at(clock::now())}});
  } else if (action == "throttle") {
    throttle(*run, body, answer);
  } else if (action == "stop") {
    stop(*run, answer);
  } else {
    reply(answer, 404, {{"error", "no such action"}});
  }
}

task_run* worker_standin::find_run(const std::string& task,
                                   std::int64_t attempt) {
  // A running one first: the same attempt may have been started twice.
  auto matches = [&](const task_run& run) {
    return run.task == task && run.attempt == attempt && !run.acknowledged;
  };
  auto found = std::ranges::find_if(runs_, [&](const task_run& run) {
    return matches(run) && run.running();
  });
  if (found == runs_.end()) {
    found = std::ranges::find_if(runs_, matches);
  }
  return found == runs_.end() ? nullptr : &*found;
}

void worker_standin::grant_lease(const json& body,
                                 const responder_ptr& answer) {
  auto duration = body.at("duration_ms").get<std::int64_t>();
  if (duration < 1 || duration > longest_lease_ms) {
    throw std::invalid_argument("duration_ms is out of range");
  }
  // The start time keeps the names of a restarted worker apart.
  static const auto start_us = clock::now().time_since_epoch().count() / 1000;
  auto name = options_.id + "-" + std::to_string(start_us) + "-" +
              std::to_string(++last_lease_);
  auto& granted = leases_[name];
  granted.holder = body.at("holder").get<std::string>();
  granted.duration = milliseconds(duration);
  set_expiry(name, granted);
  shared_->events.add(
      "lease",
      {{"worker", options_.id}, {"lease", name}, {"holder", granted.holder}});
  reply(answer, 200, {{"lease", name}});
}

void worker_standin::set_expiry(const std::string& name,
                                granted_lease& granted) {
  loop_->cancel(granted.timer);
  granted.expires_at = clock::now() + granted.duration;
  granted.timer = loop_->call_after(
      granted.duration, [this, name] { end_lease(name, "lease expired"); });
}

void worker_standin::renew_lease(const std::string& name,
                                 const responder_ptr& answer) {
  auto found = leases_.find(name);
  if (found == leases_.end() || found->second.expires_at <= clock::now()) {
    reply(answer, 409, {{"error", "the lease has ended"}});
    return;
  }
  set_expiry(name, found->second);
  reply(answer, 200, json::object());
}

void worker_standin::delete_lease(const std::string& name,
                                  const responder_ptr& answer) {
  if (refuse_lease_deletion_) {
    reply(answer, 501, {{"error", "not supported"}});
    return;
  }
  if (!leases_.contains(name)) {
    reply(answer, 404, {{"error", "no such lease"}});
    return;
  }
  end_lease(name, "lease deleted");
  reply(answer, 200, json::object());
}

void worker_standin::end_lease(const std::string& name,
                               std::string_view reason) {
  auto found = leases_.find(name);
  if (found == leases_.end()) {
    return;
  }
  loop_->cancel(found->second.timer);
  shared_->events.add("lease_end", {{"worker", options_.id},
                                    {"lease", name},
                                    {"holder", found->second.holder},
                                    {"reason", reason}});
  leases_.erase(found);
  for (auto& run : runs_) {
    if (run.running() && run.lease == name) {
      end_run(run, "stopped", reason);
    }
  }
}

void worker_standin::start(const json& body, const responder_ptr& answer) {
  task_run run;
  run.task = body.at("task").get<std::string>();
  run.attempt = body.at("attempt").get<std::int64_t>();
  run.lease = body.at("lease").get<std::string>();
  run.declared = resources_of(body);
  run.command =
      parse_command(body.at("command").get<std::string>(), run.declared);
  auto checkpoint = body.value("checkpoint", std::string());
  run.progress_ms = checkpoint.empty() ? 0 : std::stod(checkpoint);
  auto held = leases_.find(run.lease);
  if (held == leases_.end() || held->second.expires_at <= clock::now()) {
    record("start_refused", run, 0);
    reply(answer, 409, {{"error", "the lease has ended"}});
    return;
  }
  run.factor =
      static_cast<double>(std::max<std::int64_t>(run_factor_percent_, 1)) / 100;
  run.resumed_at = run.started_at = clock::now();
  auto& added = runs_.emplace_back(std::move(run));
  ++starts_;
  auto in_use = used();
  most_ = {std::max(most_.cpu_millis, in_use.cpu_millis),
           std::max(most_.memory_mib, in_use.memory_mib),
           std::max(most_.accelerators, in_use.accelerators)};
  over_capacity_ += model::fits_in(in_use, options_.capacity) ? 0 : 1;
  record("start", added, shared_->runs.begin(added.task),
         {{"holder", held->second.holder}, {"from_checkpoint", checkpoint}});
  schedule_end(added);
  reply(answer, 201, json::object());
}

void worker_standin::schedule_end(task_run& run) {
  loop_->cancel(run.timer);
  if (fail_starts_) {
    run.timer = loop_->call_after(
        milliseconds(1), [this, &run] { end_run(run, "failed", "worker"); });
    return;
  }
  run.timer = loop_->call_after(run.remaining(), [this, &run] {
    end_run(run, run.command.fails ? "failed" : "finished", "own end");
  });
}

void worker_standin::end_run(task_run& run, const std::string& state,
                             std::string_view reason) {
  if (!run.running()) {
    return;
  }
  loop_->cancel(run.timer);
  auto now = clock::now();
  run.progress_ms = run.progress_at(now);
  run.state = state;
  run.ended_at = now;
  record("end", run, shared_->runs.end(run.task),
         {{"state", state}, {"reason", reason}});
}

void worker_standin::adopt(task_run& run, const json& body,
                           const responder_ptr& answer) {
  auto lease = body.at("lease").get<std::string>();
  if (!leases_.contains(lease)) {
    reply(answer, 409, {{"error", "the lease has ended"}});
    return;
  }
  run.lease = lease;
  record("adopt", run, 0);
  reply(answer, 200, json::object());
}

void worker_standin::throttle(task_run& run, const json& body,
                              const responder_ptr& answer) {
  auto percent = body.at("percent").get<std::int64_t>();
  if (percent < 1 || percent > 100) {
    throw std::invalid_argument("percent is out of range");
  }
  auto now = clock::now();
  run.progress_ms = run.progress_at(now);
  run.resumed_at = now;
  run.share = static_cast<double>(percent) / 100;
  record("throttle", run, 0, {{"percent", percent}});
  if (!run.stopping) {
    schedule_end(run);
  }
  reply(answer, 200, json::object());
}

void worker_standin::stop(task_run& run, const responder_ptr& answer) {
  record("stop", run, 0);
  if (stop_ms_ == 0) {
    end_run(run, "stopped", "stop request");
  } else if (!run.stopping) {
    run.stopping = true;
    loop_->cancel(run.timer);
    run.timer = loop_->call_after(milliseconds(stop_ms_), [this, &run] {
      end_run(run, "stopped", "stop request");
    });
  }
  reply(answer, 200, json::object());
}

void worker_standin::acknowledge(const std::string& task, std::int64_t attempt,
                                 const responder_ptr& answer) {
  auto* run = find_run(task, attempt);
  if (run == nullptr) {
    reply(answer, 404, {{"error", "no such task"}});
  } else if (run->running()) {
    reply(answer, 409, {{"error", "the task is in progress"}});
  } else {
    run->acknowledged = true;
    reply(answer, 200, json::object());
  }
}

void worker_standin::die() {
  for (auto& run : runs_) {
    end_run(run, "killed", "worker died");
  }
  for (auto& [name, granted] : leases_) {
    loop_->cancel(granted.timer);
  }
  leases_.clear();
  runs_.clear();
}

void worker_standin::set(const http::request& message,
                         const responder_ptr& answer) {
  answer_set(message, answer, knobs_);
  if (dead_) {
    die();
  }
}

}  // namespace vanillaladder::standins
