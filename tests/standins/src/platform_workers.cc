#include "standins/platform_workers.h"

#include <algorithm>
#include <random>
#include <utility>

#include "standins/control_port.h"

namespace vanillaladder::standins {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds tick_interval{4};
/// Interval at which a worker writes its entry, which lapses after three.
constexpr milliseconds announce_interval{400};
constexpr milliseconds stop_time{50};
/// How long a member of a gang waits for the others.
constexpr milliseconds gang_wait{3000};
/// Ends in one report.
constexpr std::size_t listed_ends = 500;
/// Minimum time that a draining worker says it has left.
constexpr std::int64_t remaining_ms = 2000;
/// Range of the clocks of processes that start.
constexpr std::int64_t first_clock_ms = 10'000'000;
constexpr std::int64_t last_clock_ms = 1'000'000'000;

std::string step_of(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

/// Drops the answer to a call whose caller no longer waits.
struct discarding_responder : http::responder {
  void respond(http::response) override {}
  bool connected() const override { return false; }
  void on_disconnect(std::function<void()>) override {}
};

}  // namespace

platform_worker::platform_worker(platform_workers& fleet, options settings)
    : fleet_(&fleet), options_(std::move(settings)) {
  knobs_.add("silent", &silent_);
  knobs_.add("dead", &dead_);
  knobs_.add("draining", &draining_);
  knobs_.add("failing", &failing_);
  knobs_.add("late_orders", &late_orders_);
  knobs_.add("late_order_ms", &late_order_ms_);
  knobs_.add("late_orders_outlast", &late_orders_outlast_);
  knobs_.add("next_clock_ms", &next_clock_ms_);
  begin_life();
}

void platform_worker::begin_life() {
  born_ = clock::now();
  born_unix_ms_ = std::chrono::duration_cast<milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  clock_start_ms_ = next_clock_ms_ < 0 ? draw_clock_start() : next_clock_ms_;
  token_ = 0;
  deadline_ = 0;
  last_end_ = 0;
  beats_ = 0;
  announced_at_ = {};
  ended_.clear();
  passed_.clear();
}

/// A clock that began near 0 would tell processes that have just started.
std::int64_t platform_worker::draw_clock_start() const {
  std::vector<std::uint32_t> words(options_.id.begin(), options_.id.end());
  words.push_back(static_cast<std::uint32_t>(born_unix_ms_));
  std::seed_seq seed(words.begin(), words.end());
  std::mt19937_64 random(seed);
  return std::uniform_int_distribution(first_clock_ms, last_clock_ms)(random);
}

void platform_worker::execute_held_orders() {
  for (const auto& message : std::exchange(held_orders_, {})) {
    execute_late(message);
  }
}

std::int64_t platform_worker::clock_ms() const {
  return clock_start_ms_ +
         std::chrono::duration_cast<milliseconds>(clock::now() - born_).count();
}

json platform_worker::clock_fields() const {
  return {{"clockMs", clock_ms()}, {"born", born_unix_ms_}};
}

void platform_worker::set(const http::request& message,
                          const responder_ptr& answer) {
  answer_set(message, answer, knobs_);
  if (dead_ && !was_dead_) {
    lose_all("worker_died");
    ended_.clear();
    waiting_.clear();
  } else if (was_dead_ && !dead_) {
    begin_life();
    write_entry(clock::now());
    execute_held_orders();
  }
  was_dead_ = dead_;
}

json platform_worker::state() const {
  auto values = knobs_.values();
  values["id"] = options_.id;
  values["running"] = running_.size();
  values["held_orders"] = held_orders_.size();
  return values;
}

/// Leaves an order unanswered and executes it later, if the test asks for that.
/// @return whether it did.
bool platform_worker::defer_order(const http::request& message) {
  auto path = http::path_of(message.target);
  if (late_orders_ == 0 || (path != "/v1/run-start" && path != "/v1/run-stop" &&
                            path != "/v1/pace")) {
    return false;
  }
  --late_orders_;
  auto body = json::parse(message.body, nullptr, false);
  fleet_->events_->add("late_order", {{"path", std::string(path)},
                                      {"task", body.value("task", "")},
                                      {"run", body.value("run", 0)},
                                      {"worker", options_.id}});
  fleet_->loop_->call_after(
      milliseconds(late_order_ms_),
      [this, message, life = born_unix_ms_, outlasts = late_orders_outlast_] {
        if (outlasts && dead_) {
          held_orders_.push_back(message);
        } else if (outlasts || life == born_unix_ms_) {
          execute_late(message);
        }
      });
  return true;
}

void platform_worker::execute_late(const http::request& message) {
  execute(message, std::make_shared<discarding_responder>());
}

void platform_worker::handle(const http::request& message,
                             const responder_ptr& answer) {
  if (!dead_ && !silent_ && !defer_order(message)) {
    execute(message, answer);
  }
}

void platform_worker::execute(const http::request& message,
                              const responder_ptr& answer) {
  if (dead_) {
    return;
  }
  auto body = json::parse(message.body, nullptr, false);
  auto path = http::path_of(message.target);
  auto expected = http::find_header(message.headers, "x-expect-instance");
  if (!expected.empty() && expected != options_.id) {
    reply(answer, 421, json::object());
    return;
  }
  if (!body.is_object()) {
    reply(answer, 400, json::object());
    return;
  }
  auto token = body.value("fencingToken", std::int64_t{0});
  if (token < token_) {
    reject(answer, "fence");
    return;
  }
  token_ = token;
  if (path == "/v1/hold") {
    report(body, answer);
  } else if (path == "/v1/run-start") {
    start(body, answer);
  } else if (path == "/v1/run-stop") {
    stop(body, answer);
  } else if (path == "/v1/pace") {
    reply(answer, 200, clock_fields());
  } else {
    reply(answer, 404, json::object());
  }
}

void platform_worker::reject(const responder_ptr& answer,
                             const char* reason) const {
  auto body = clock_fields();
  body["reason"] = reason;
  reply(answer, 409, body);
}

void platform_worker::extend_lease(const json& body) {
  auto until = std::min(body.value("deadlineMs", std::int64_t{0}),
                        clock_ms() + options_.longest_lease_ms);
  if (until > clock_ms()) {
    deadline_ = std::max(deadline_, until);
  }
}

void platform_worker::start(const json& body, const responder_ptr& answer) {
  auto task = body.at("task").get<std::string>();
  auto number = body.at("run").get<std::int64_t>();
  if (body.value("deadlineMs", std::int64_t{0}) <= clock_ms()) {
    reject(answer, "late");
    return;
  }
  extend_lease(body);
  if (auto passed = passed_.find(task);
      passed != passed_.end() && number <= passed->second) {
    reject(answer, "old");
    return;
  }
  auto known = std::ranges::find(running_, task, &run::task);
  if (known != running_.end() && known->number == number) {
    reply(answer, 200, clock_fields());
    return;
  }
  run added{
      task,         number,       platform::decode_plan(body.at("taskSpec")),
      clock::now(), std::nullopt, std::nullopt};
  if (added.plan.gang_size == 0) {
    added.works_since = added.started_at;
  }
  fleet_->on_start(task);
  auto runs = fleet_->runs_.begin(task);
  fleet_->events_->add("start", {{"task", task},
                                 {"run", number},
                                 {"worker", options_.id},
                                 {"domain", options_.domain},
                                 {"token", token_},
                                 {"runs", runs}});
  running_.push_back(std::move(added));
  if (failing_) {
    finish(std::prev(running_.end()), "failed");
  }
  reply(answer, 200, clock_fields());
}

void platform_worker::stop(const json& body, const responder_ptr& answer) {
  auto task = body.at("task").get<std::string>();
  auto number = body.at("run").get<std::int64_t>();
  auto& passed = passed_[task];
  passed = std::max(passed, number);
  for (auto& each : running_) {
    if (each.task == task && each.number <= number && !each.stops_at) {
      each.stops_at = clock::now() + stop_time;
    }
  }
  reply(answer, 200, clock_fields());
}

void platform_worker::report(const json& body, const responder_ptr& answer) {
  extend_lease(body);
  note_ends(body.value("lastSeen", std::int64_t{0}));
  auto wait = milliseconds(body.value("waitMs", std::int64_t{0}));
  if (!ended_.empty() || wait.count() == 0) {
    reply(answer, 200, lists());
    return;
  }
  waiting_.push_back({answer, clock::now() + wait});
}

json platform_worker::lists() const {
  auto body = clock_fields();
  body["running"] = json::array();
  for (const auto& each : running_) {
    int percent = each.works_since && each.plan.run_ms < 0 ? 100 : 0;
    if (each.works_since && each.plan.run_ms > 0) {
      auto worked = std::chrono::duration_cast<milliseconds>(clock::now() -
                                                             *each.works_since);
      percent = static_cast<int>(
          std::min<std::int64_t>(99, 100 * worked.count() / each.plan.run_ms));
    }
    body["running"].push_back({each.task, each.number, "", percent, 0});
  }
  body["ended"] = json::array();
  for (const auto& each : ended_) {
    if (body["ended"].size() == listed_ends) {
      break;
    }
    body["ended"].push_back({each.number, each.task, each.run, each.how, ""});
  }
  return body;
}

void platform_worker::note_ends(std::int64_t last) {
  while (!ended_.empty() && ended_.front().number <= last) {
    fleet_->on_noted(options_.id, ended_.front());
    ended_.pop_front();
  }
}

void platform_worker::answer_reports(bool all) {
  if (silent_ || dead_) {
    waiting_.clear();
    return;
  }
  auto now = clock::now();
  std::erase_if(waiting_, [&](const auto& each) {
    if (!all && now < each.until) {
      return false;
    }
    reply(each.answer, 200, lists());
    return true;
  });
}

void platform_worker::finish(std::list<run>::iterator ended,
                             const std::string& how) {
  auto last = std::move(*ended);
  running_.erase(ended);
  ended_.push_back({++last_end_, last.task, last.number, how});
  auto& passed = passed_[last.task];
  passed = std::max(passed, last.number);
  if (how == "done" && last.plan.run_ms >= 0) {
    fleet_->done_ends_[last.task].push_back(
        {options_.id, last.number, false, false, false});
  }
  fleet_->runs_.end(last.task);
  fleet_->events_->add("end", {{"task", last.task},
                               {"run", last.number},
                               {"worker", options_.id},
                               {"how", how}});
  if (how != "done" && how != "broken") {
    fleet_->break_gang(last);
  }
}

void platform_worker::lose_all(std::string_view why) {
  for (auto& each : std::exchange(running_, {})) {
    fleet_->runs_.end(each.task);
    fleet_->events_->add("lost", {{"task", each.task},
                                  {"run", each.number},
                                  {"worker", options_.id},
                                  {"why", why}});
    fleet_->break_gang(each);
  }
}

void platform_worker::end_due_runs(clock::time_point now) {
  if (deadline_ != 0 && clock_ms() > deadline_) {
    deadline_ = 0;
    fleet_->on_lapsed(options_.id);
    while (!running_.empty()) {
      finish(running_.begin(), "lapsed");
    }
  }
  for (auto each = running_.begin(); each != running_.end();) {
    auto current = each++;
    if (current->stops_at) {
      if (now >= *current->stops_at) {
        finish(current, "stopped");
        // Other members of a gang may have ended with it.
        return;
      }
    } else if (!current->works_since) {
      if (now - current->started_at >= gang_wait) {
        finish(current, "alone");
        return;
      }
    } else if (current->plan.run_ms >= 0 &&
               now - *current->works_since >=
                   milliseconds(current->plan.run_ms)) {
      finish(current, "done");
    }
  }
}

void platform_worker::announce(clock::time_point now) {
  if (dead_ || silent_) {
    if (listed_ && now - announced_at_ > 3 * announce_interval) {
      listed_ = false;
      fleet_->store_->put(platform::topic_on_wire("workers"), options_.id, "");
    }
    return;
  }
  if (now - announced_at_ >= announce_interval) {
    write_entry(now);
  }
}

void platform_worker::write_entry(clock::time_point now) {
  announced_at_ = now;
  listed_ = true;
  json entry = {{"service", platform::service},
                {"address", "127.0.0.1:" + std::to_string(port_)},
                {"zone", options_.domain},
                {"version", "v1"},
                {"slots", 8},
                {"state", draining_ ? "draining" : "ready"},
                {"coldRemainingMs", 0},
                {"capacity",
                 {{"cpu", options_.cpu_millis}, {"memMb", 64000}, {"gpu", 0}}},
                {"labels", {options_.label, "rack-" + options_.domain}},
                {"seqNo", ++beats_},
                {"born", born_unix_ms_}};
  if (draining_) {
    entry["remainingMs"] = remaining_ms;
  }
  fleet_->store_->put(platform::topic_on_wire("workers"), options_.id,
                      entry.dump());
}

void platform_worker::tick() {
  auto now = clock::now();
  announce(now);
  if (dead_) {
    return;
  }
  auto ends = ended_.size();
  end_due_runs(now);
  answer_reports(ended_.size() > ends);
}

platform_workers::platform_workers(http::event_loop& loop,
                                   platform_store& store, event_record& events)
    : loop_(&loop), store_(&store), events_(&events) {
  tick();
}

platform_worker& platform_workers::add(platform_worker::options settings) {
  workers_.push_back(
      std::make_unique<platform_worker>(*this, std::move(settings)));
  return *workers_.back();
}

void platform_workers::tick() {
  loop_->call_after(tick_interval, [this] { tick(); });
  start_gangs();
  for (const auto& each : workers_) {
    each->tick();
  }
}

/// Lets the members of a gang work once all of one run are there.
void platform_workers::start_gangs() {
  std::map<std::pair<std::string, std::int64_t>,
           std::vector<platform_worker::run*>>
      gangs;
  for (const auto& worker : workers_) {
    for (auto& each : worker->running_) {
      if (each.plan.gang_size > 0) {
        gangs[{step_of(each.task), each.number}].push_back(&each);
      }
    }
  }
  for (const auto& [key, members] : gangs) {
    if (static_cast<int>(members.size()) != members.front()->plan.gang_size) {
      continue;
    }
    for (auto* each : members) {
      if (!each->works_since) {
        each->works_since = clock::now();
      }
    }
  }
}

void platform_workers::break_gang(const platform_worker::run& lost) {
  if (lost.plan.gang_size == 0) {
    return;
  }
  for (const auto& worker : workers_) {
    for (auto each = worker->running_.begin();
         each != worker->running_.end();) {
      auto current = each++;
      if (step_of(current->task) == step_of(lost.task) &&
          current->number == lost.number) {
        worker->finish(current, "broken");
      }
    }
  }
}

void platform_workers::on_start(const std::string& task) {
  for (auto& each : done_ends_[task]) {
    each.is_started_after = each.is_started_after || !each.is_lapsed;
  }
}

void platform_workers::on_noted(const std::string& worker,
                                const platform_worker::end& noted) {
  for (auto& each : done_ends_[noted.task]) {
    if (each.worker == worker && each.run == noted.run && !each.is_lapsed) {
      each.is_noted = true;
    }
  }
}

void platform_workers::on_lapsed(const std::string& worker) {
  for (auto& [task, ends] : done_ends_) {
    for (auto& each : ends) {
      each.is_lapsed =
          each.is_lapsed || (each.worker == worker && !each.is_noted);
    }
  }
}

json platform_workers::tasks_run_again() const {
  auto found = json::array();
  for (const auto& [task, ends] : done_ends_) {
    if (std::ranges::any_of(ends, [](const auto& each) {
          return each.is_noted && each.is_started_after;
        })) {
      found.push_back(task);
    }
  }
  return found;
}

}  // namespace vanillaladder::standins
