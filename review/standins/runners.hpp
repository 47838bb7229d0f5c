#pragma once

#include <cstdio>
#include <list>
#include <memory>

#include "store.hpp"

namespace review {

/// The record of a case: what was sent, answered and run.
class recorder {
 public:
  explicit recorder(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")), begun_at_(steady::now()) {}

  void line(const std::string& text) {
    std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", seconds(), text.c_str());
    std::fflush(file_);
  }
  /// Notes that a rule is broken.
  void broken(const std::string& text) {
    line("BROKEN " + text);
    ++broken_;
  }
  int broken_rules() const { return broken_; }
  double seconds() const {
    return std::chrono::duration<double>(steady::now() - begun_at_).count();
  }

 private:
  std::FILE* file_;
  steady::time_point begun_at_;
  std::mutex mutex_;
  std::atomic<int> broken_ = 0;
};

struct fleet_bounds {
  ms max_hold{10000};
  ms stop_time{200};
  ms gang_wait{3000};
  ms beat{1100};
};

/// What a runner is from its first start on.
struct runner_spec {
  std::string id;
  std::string zone;
  std::string kind = "a";
  std::string rack;
  int cpu = 32000;
  int memory = 128000;
  int gpu = 0;
};

/// All runners, on one lock. A task runs as long as its `taskSpec` says:
/// "MILLISECONDS+STEP" lasts MILLISECONDS and STEP more for each index;
/// "lasts" runs until it is stopped. An "xCOUNT" behind it makes a gang of
/// COUNT members.
class fleet {
 public:
  struct run {
    std::string task;
    int number = 0;
    std::string spec;
    steady::time_point started_at;
    std::optional<steady::time_point> works_since;
    std::optional<steady::time_point> stops_at;
    std::optional<steady::time_point> fails_at;
  };
  struct end {
    std::int64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };
  struct runner {
    runner_spec spec;
    std::unique_ptr<http_server> server;
    bool up = true;
    bool cut = false;
    /// Fails all that it starts.
    bool failing = false;
    steady::time_point born;
    std::int64_t born_unix_ms = 0;
    int life = 0;
    std::int64_t sequence = 0;
    steady::time_point beat_at;
    bool listed = false;
    std::int64_t token = 0;
    std::int64_t deadline = 0;
    std::int64_t ends = 0;
    std::list<run> running;
    std::list<end> ended;
    std::map<std::string, int> passed;
    /// When the last call that holds came.
    steady::time_point last_hold_at;

    std::int64_t clock() const {
      return std::chrono::duration_cast<ms>(steady::now() - born).count();
    }
  };

  fleet(log_store& store, recorder& record, std::string service,
        const fleet_bounds& bounds)
      : store_(store),
        record_(record),
        service_(std::move(service)),
        bounds_(bounds) {
    ticker_ = std::thread([this] {
      while (!stopped_) {
        tick();
        std::this_thread::sleep_for(ms(4));
      }
    });
  }
  ~fleet() {
    stopped_ = true;
    ticker_.join();
  }

  void add(const runner_spec& spec, const std::string& ip) {
    auto added = std::make_unique<runner>();
    auto* target = added.get();
    target->spec = spec;
    target->server = std::make_unique<http_server>(
        ip,
        [this, target](const http_request& call) {
          return handle(*target, call);
        });
    std::lock_guard lock(mutex_);
    begin_life(*target);
    runners_[spec.id] = std::move(added);
  }

  /// The runner's machine loses power.
  void power_off(const std::string& id) {
    auto& target = find(id);
    target.server->set_silent(true);
    std::lock_guard lock(mutex_);
    record_.line("runner " + id + " loses power");
    target.up = false;
    lose_all(target);
  }
  /// The runner starts again under its id.
  void power_on(const std::string& id, bool at_another_port) {
    auto& target = find(id);
    if (at_another_port) {
      target.server->move();
    }
    target.server->set_silent(false);
    target.server->reset_those_of_last_silence();
    std::lock_guard lock(mutex_);
    target.up = true;
    begin_life(target);
    record_.line("runner " + id + " starts again at " +
                 target.server->address());
  }
  /// Cuts the runner off from the system and the store, or ends the cut.
  void set_cut(const std::string& id, bool cut) {
    auto& target = find(id);
    target.server->set_silent(cut);
    if (!cut) {
      target.server->reset_those_of_last_silence();
    }
    std::lock_guard lock(mutex_);
    record_.line("runner " + id + (cut ? " is cut off" : " is reached again"));
    target.cut = cut;
  }
  /// From now on the runner fails all that it starts, or no longer does.
  void set_failing(const std::string& id, bool failing) {
    auto& target = find(id);
    std::lock_guard lock(mutex_);
    record_.line("runner " + id +
                 (failing ? " fails all that it starts" : " is sound again"));
    target.failing = failing;
  }
  /// The runner's process crashes and starts again while it is cut off.
  void crash_behind_cut(const std::string& id) {
    auto& target = find(id);
    target.server->reset_all();
    std::lock_guard lock(mutex_);
    lose_all(target);
    begin_life(target);
    record_.line("runner " + id + " has crashed and starts again");
  }

  /// @return how many runs of tasks whose name begins with `prefix` are there.
  int running(const std::string& prefix) {
    std::lock_guard lock(mutex_);
    int count = 0;
    for (auto& [id, each] : runners_) {
      for (const auto& known : each->running) {
        count += known.task.rfind(prefix, 0) == 0 ? 1 : 0;
      }
    }
    return count;
  }
  int running_on(const std::string& id, const std::string& prefix) {
    std::lock_guard lock(mutex_);
    int count = 0;
    for (const auto& known : runners_.at(id)->running) {
      count += known.task.rfind(prefix, 0) == 0 ? 1 : 0;
    }
    return count;
  }
  /// @return how many starts of tasks with this prefix there were.
  int starts(const std::string& prefix) {
    std::lock_guard lock(mutex_);
    int count = 0;
    for (const auto& [task, number] : starts_) {
      count += task.rfind(prefix, 0) == 0 ? number : 0;
    }
    return count;
  }
  /// @return the age of the last hold that the runner got.
  ms since_hold(const std::string& id) {
    std::lock_guard lock(mutex_);
    return std::chrono::duration_cast<ms>(steady::now() -
                                          runners_.at(id)->last_hold_at);
  }
  std::size_t unseen_ends(const std::string& id) {
    std::lock_guard lock(mutex_);
    return runners_.at(id)->ended.size();
  }

 private:
  struct done_end {
    std::string runner;
    int life = 0;
    std::int64_t number = 0;
    int run = 0;
    bool seen = false;
    bool lapsed = false;
    bool started_again = false;
    bool told = false;
  };

  runner& find(const std::string& id) {
    std::lock_guard lock(mutex_);
    return *runners_.at(id);
  }

  void begin_life(runner& target) {
    target.born = steady::now();
    target.born_unix_ms =
        std::chrono::duration_cast<ms>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    ++target.life;
    target.sequence = 0;
    target.token = 0;
    target.deadline = 0;
    target.ends = 0;
    target.running.clear();
    target.ended.clear();
    target.passed.clear();
    target.beat_at = {};
  }

  void lose_all(runner& target) {
    auto lost = std::move(target.running);
    target.running.clear();
    target.ended.clear();
    for (const auto& each : lost) {
      record_.line("lost " + each.task + " run " +
                   std::to_string(each.number) + " with " + target.spec.id);
      break_gang(each);
    }
  }

  static int members(const std::string& spec) {
    auto at = spec.find('x');
    return at == std::string::npos ? 0 : std::stoi(spec.substr(at + 1));
  }
  static std::string step_of(const std::string& task) {
    return task.substr(0, task.rfind('.'));
  }
  static ms duration(const run& each) {
    auto plus = each.spec.find('+');
    auto index = std::stoi(each.task.substr(each.task.rfind('.') + 1));
    int step = plus == std::string::npos
                   ? 0
                   : std::stoi(each.spec.substr(plus + 1));
    return ms(std::stoi(each.spec) + step * index);
  }

  void break_gang(const run& lost) {
    if (members(lost.spec) == 0) {
      return;
    }
    for (auto& [id, each] : runners_) {
      for (auto known = each->running.begin(); known != each->running.end();) {
        auto next = std::next(known);
        if (step_of(known->task) == step_of(lost.task) &&
            known->number == lost.number) {
          finish(*each, known, "broken");
        }
        known = next;
      }
    }
  }

  void finish(runner& target, std::list<run>::iterator known,
              const std::string& how) {
    auto ended = *known;
    target.running.erase(known);
    ++target.ends;
    target.ended.push_back({target.ends, ended.task, ended.number, how});
    target.passed[ended.task] =
        std::max(target.passed[ended.task], ended.number);
    record_.line("end " + ended.task + " run " + std::to_string(ended.number) +
                 " " + how + " on " + target.spec.id);
    if (how == "done" && ended.spec != "lasts") {
      done_[ended.task].push_back(
          {target.spec.id, target.life, target.ends, ended.number});
    }
    changed_.notify_all();
  }

  void check_twice(const std::string& task) {
    for (auto& each : done_[task]) {
      if (each.started_again && each.seen && !each.told) {
        each.told = true;
        record_.broken("TWICE " + task + " ended done as run " +
                       std::to_string(each.run) + " on " + each.runner +
                       ", this end was taken note of, and it was started "
                       "again");
      }
    }
  }

  void tick() {
    std::lock_guard lock(mutex_);
    auto now = steady::now();
    // The members of a gang work from the moment when all of a run are there.
    std::map<std::pair<std::string, int>, std::vector<run*>> gangs;
    for (auto& [id, each] : runners_) {
      for (auto& known : each->running) {
        if (members(known.spec) > 0) {
          gangs[{step_of(known.task), known.number}].push_back(&known);
        }
      }
    }
    for (auto& [key, present] : gangs) {
      if (static_cast<int>(present.size()) == members(present[0]->spec)) {
        for (auto* each : present) {
          if (!each->works_since) {
            each->works_since = now;
          }
        }
      }
    }
    for (auto& [id, each] : runners_) {
      if (!each->up) {
        if (each->listed && now - each->beat_at > 3 * bounds_.beat) {
          each->listed = false;
          store_.put("keyed.servers", id, "");
        }
        continue;
      }
      tick(*each, now);
    }
  }

  void tick(runner& target, steady::time_point now) {
    if (target.deadline != 0 && target.clock() > target.deadline) {
      target.deadline = 0;
      for (auto& [task, ends] : done_) {
        for (auto& each : ends) {
          if (each.runner == target.spec.id && each.life == target.life &&
              !each.seen) {
            each.lapsed = true;
          }
        }
      }
      while (!target.running.empty()) {
        auto ended = target.running.front();
        finish(target, target.running.begin(), "lapsed");
        break_gang(ended);
      }
    }
    for (auto known = target.running.begin(); known != target.running.end();) {
      auto next = std::next(known);
      if (known->stops_at) {
        if (now >= *known->stops_at) {
          auto ended = *known;
          finish(target, known, "stopped");
          break_gang(ended);
          return;
        }
      } else if (known->fails_at && now >= *known->fails_at) {
        auto ended = *known;
        finish(target, known, "failed");
        break_gang(ended);
        return;
      } else if (known->works_since && known->spec != "lasts" &&
                 now - *known->works_since >= duration(*known)) {
        finish(target, known, "done");
      } else if (!known->works_since &&
                 now - known->started_at >= bounds_.gang_wait) {
        finish(target, known, "alone");
      }
      known = next;
    }
    if (!target.cut && now - target.beat_at >= bounds_.beat) {
      target.beat_at = now;
      target.listed = true;
      store_.put("keyed.servers", target.spec.id,
                 json{{"service", service_},
                      {"address", target.server->address()},
                      {"zone", target.spec.zone},
                      {"version", "v1"},
                      {"slots", 8},
                      {"state", "ready"},
                      {"coldRemainingMs", 0},
                      {"capacity",
                       {{"cpu", target.spec.cpu},
                        {"memMb", target.spec.memory},
                        {"gpu", target.spec.gpu}}},
                      {"labels", {target.spec.kind, target.spec.rack}},
                      {"clockMs", target.clock()},
                      {"seqNo", ++target.sequence},
                      {"born", target.born_unix_ms}}
                     .dump());
    } else if (target.cut && target.listed &&
               now - target.beat_at > 3 * bounds_.beat) {
      target.listed = false;
      store_.put("keyed.servers", target.spec.id, "");
    }
  }

  std::optional<http_reply> handle(runner& target, const http_request& call) {
    auto body = json::parse(call.body, nullptr, false);
    if (!body.is_object()) {
      return http_reply{call.path() == "/health" ? 200 : 400, "{}"};
    }
    auto expected = call.headers.find("x-expect-instance");
    if (expected != call.headers.end() &&
        expected->second != target.spec.id) {
      return http_reply{421, "{}"};
    }
    std::unique_lock lock(mutex_);
    auto born = target.born;
    auto clock = [&] {
      return json{{"clockMs", target.clock()}, {"born", target.born_unix_ms}};
    };
    auto reject = [&](const char* reason) {
      auto answer = clock();
      answer["reason"] = reason;
      return http_reply{409, answer.dump()};
    };
    std::int64_t token = body.value("fencingToken", 0);
    if (token < target.token) {
      return reject("fence");
    }
    target.token = token;
    auto extend = [&] {
      std::int64_t until = body.value("deadlineMs", std::int64_t{0});
      until = std::min(until, target.clock() + bounds_.max_hold.count());
      if (until > target.clock()) {
        target.deadline = std::max(target.deadline, until);
      }
    };
    if (call.path() == "/v1/hold") {
      target.last_hold_at = steady::now();
      extend();
      take_note(target, body.value("lastSeen", std::int64_t{0}));
      changed_.wait_for(lock, ms(body.value("waitMs", 0)), [&] {
        return target.born != born || !target.ended.empty();
      });
      if (target.born != born) {
        return std::nullopt;
      }
      auto answer = clock();
      answer["running"] = json::array();
      for (const auto& each : target.running) {
        bool lasts = each.spec == "lasts";
        int percent = 0;
        if (lasts) {
          percent = 100;
        } else if (each.works_since) {
          percent = static_cast<int>(
              100 *
              std::chrono::duration<double>(steady::now() - *each.works_since) /
              std::chrono::duration<double>(duration(each)));
        }
        answer["running"].push_back(
            {each.task, each.number, "", percent, lasts ? 5 : 100});
      }
      answer["ended"] = json::array();
      for (const auto& each : target.ended) {
        if (answer["ended"].size() == 500) {
          break;
        }
        answer["ended"].push_back(
            {each.number, each.task, each.run, each.how, ""});
      }
      return http_reply{200, answer.dump()};
    }
    auto task = body.value("task", std::string());
    int number = body.value("run", 0);
    if (call.path() == "/v1/run-start") {
      return start(target, body, task, number, clock, reject, extend);
    }
    if (call.path() == "/v1/run-stop") {
      target.passed[task] = std::max(target.passed[task], number);
      for (auto& each : target.running) {
        if (each.task == task && each.number <= number && !each.stops_at) {
          each.stops_at = steady::now() + bounds_.stop_time / 4;
        }
      }
      record_.line("stop " + task + " run " + std::to_string(number) + " on " +
                   target.spec.id);
      return http_reply{200, clock().dump()};
    }
    if (call.path() == "/v1/pace") {
      return http_reply{200, clock().dump()};
    }
    return http_reply{404, "{}"};
  }

  void take_note(runner& target, std::int64_t seen) {
    while (!target.ended.empty() && target.ended.front().number <= seen) {
      auto noted = target.ended.front();
      target.ended.pop_front();
      for (auto& each : done_[noted.task]) {
        if (each.runner == target.spec.id && each.life == target.life &&
            each.number == noted.number) {
          each.seen = !each.lapsed;
        }
      }
      check_twice(noted.task);
    }
  }

  template <class Clock, class Reject, class Extend>
  http_reply start(runner& target, const json& body, const std::string& task,
                   int number, const Clock& clock, const Reject& reject,
                   const Extend& extend) {
    for (const auto& each : target.running) {
      if (each.task == task && each.number == number) {
        extend();
        return {200, clock().dump()};
      }
    }
    extend();
    if (auto passed = target.passed.find(task);
        passed != target.passed.end() && number <= passed->second) {
      return reject("old");
    }
    if (body.value("deadlineMs", std::int64_t{0}) <= target.clock()) {
      return reject("late");
    }
    for (const auto& [id, other] : runners_) {
      for (const auto& each : other->running) {
        if (each.task == task && other->up) {
          record_.broken("TWICE " + task + " is started as run " +
                         std::to_string(number) + " on " + target.spec.id +
                         " while its run " + std::to_string(each.number) +
                         " is at work on " + id);
        }
      }
    }
    run added{task, number, body.value("taskSpec", std::string()),
              steady::now(), {}, {}, {}};
    if (target.failing) {
      added.fails_at = added.started_at + ms(100);
    }
    if (members(added.spec) == 0) {
      added.works_since = added.started_at;
    }
    target.running.push_back(added);
    ++starts_[task];
    record_.line("start " + task + " run " + std::to_string(number) + " on " +
                 target.spec.id);
    for (auto& each : done_[task]) {
      each.started_again = true;
    }
    check_twice(task);
    return {200, clock().dump()};
  }

  log_store& store_;
  recorder& record_;
  std::string service_;
  fleet_bounds bounds_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::unique_ptr<runner>> runners_;
  std::map<std::string, std::vector<done_end>> done_;
  std::map<std::string, int> starts_;
  std::atomic<bool> stopped_ = false;
  std::thread ticker_;
};

}  // namespace review
