#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "scheduler_fixture.h"

namespace vanillaladder::batch {
namespace {

/// Kind of the operation, its target and an amount.
using operation = std::tuple<int, int, int>;

constexpr int operation_kinds = 14;
/// A task that waits this long beside free room counts as lost.
constexpr milliseconds longest_wait{3000};
constexpr milliseconds tick{50};
/// Leases of the fixture, their longest duration by a slow clock and the call
/// that may still grant one.
constexpr milliseconds longest_lease_wait{8000};
/// How long a member of a gang waits for the others before its run ends.
constexpr milliseconds gang_wait{3000};
/// With one task of 1000 each, these leave room for the waiting task.
constexpr std::size_t most_other_jobs = 4;

const std::string subject_task = "subject.0.0.0";

/// Kinds of tasks for which only worker w0 fits.
enum class subject_kind {
  large,
  labelled,
  serving,
  best_effort,
  limited,
  gang
};
constexpr int subject_kinds = 6;

step_spec subject_step(subject_kind kind) {
  auto spec = scheduler_fixture::step(1, 3000);
  switch (kind) {
    case subject_kind::large:
      break;
    case subject_kind::labelled:
      spec.required_resources.cpu_millis = 1000;
      spec.required_label = "only";
      break;
    case subject_kind::serving:
      spec.long_running = true;
      break;
    case subject_kind::best_effort:
      spec.best_effort = true;
      spec.required_label = "only";
      break;
    case subject_kind::limited:
      spec.per_worker_limit = 1;
      break;
    case subject_kind::gang:
      spec.count = 2;
      spec.required_resources.cpu_millis = 1000;
      spec.required_label = "only";
      spec.gang = true;
      break;
  }
  return spec;
}

/// A service in which one worker fits the waiting task, and a history of
/// faults.
class history {
 public:
  explicit history(subject_kind kind) : spec_(subject_step(kind)) {
    f_.add_worker("w0", {8000, 9000, 0}, "d0");
    f_.workers.at("w0").entry.labels = {"only"};
    f_.add_worker("w1", {2000, 9000, 0}, "d1");
    f_.add_worker("w2", {2000, 9000, 0}, "d2");
    list("w0");
    f_.add_job("subject", {spec_}, 0);
  }

  void apply(const operation& op) {
    const auto& [kind, target, amount] = op;
    const auto id = "w" + std::to_string(target % 3);
    auto& worker = f_.workers.at(id);
    switch (kind) {
      case 0:
      case 1:
      case 2:
        submit(target % 2 == 0);
        break;
      case 3:
      case 4:
      case 5:
        end_one(target, end_reason::failed);
        break;
      case 6:
        end_one(target, end_reason::done);
        break;
      case 7:
        worker.unresponsive = !worker.unresponsive;
        break;
      case 8:
        worker.drops_responses = !worker.drops_responses;
        break;
      case 9:
        f_.restart(id);
        if (amount % 2 == 0) {
          list(id);
        }
        break;
      case 10:
        set_state(id, worker.entry.info.state == model::instance_state::live
                          ? model::instance_state::leaving
                          : model::instance_state::live);
        break;
      case 11:
        set_closed(!closed_);
        break;
      case 12:
        worker.refuses_starts = !worker.refuses_starts;
        break;
      default:
        f_.tested_scheduler().remove_worker(id, f_.now());
        if (amount % 2 == 0) {
          list(id);
        }
    }
    run_for(milliseconds(amount * 10), amount % 3 != 0);
  }

  /// Ends all faults. Other jobs keep what they run.
  void calm(bool cancel_others, bool fail_subject) {
    for (auto& [id, worker] : f_.workers) {
      worker.unresponsive = false;
      worker.drops_responses = false;
      worker.refuses_starts = false;
      set_state(id, model::instance_state::live);
    }
    set_closed(false);
    if (fail_subject) {
      f_.end(subject_task, end_reason::failed);
    }
    if (cancel_others) {
      for (const auto& id : others_) {
        f_.tested_scheduler().cancel_job(id, f_.now());
      }
    }
    f_.execute(std::exchange(f_.undelivered_stops, {}));
  }

  /// @return how long the task has waited beside free room at the longest. A
  ///   run of its own, or of its gang, that may still hold a lease, and a lease
  ///   of the worker that may be longer than those that leaders order, are no
  ///   such waits.
  milliseconds longest_wait_in_calm() {
    milliseconds longest{0};
    bool is_waiting = false;
    time_point since;
    auto end = f_.now() + longest_lease_wait + gang_wait + longest_wait;
    while (f_.now() < end && !is_subject_running()) {
      cancel_waiting_others();
      step_time(tick, true);
      f_.execute(std::exchange(f_.undelivered_stops, {}));
      bool settled =
          f_.tested_scheduler().lease_of("w0")->settled_at() <= f_.now();
      if (is_subject_running() || !settled ||
          f_.tested_scheduler().waiting_tasks() < members()) {
        is_waiting = false;
        continue;
      }
      since = std::exchange(is_waiting, true) ? since : f_.now();
      longest = std::max(
          longest, std::chrono::duration_cast<milliseconds>(f_.now() - since));
    }
    return longest;
  }

  bool is_subject_running() const { return subject_runs().size() == members(); }

  std::string last_log_lines() const {
    std::string text;
    auto first = f_.log.size() > 60 ? f_.log.size() - 60 : 0;
    for (auto n = first; n < f_.log.size(); ++n) {
      text += "\n" + f_.log[n];
    }
    return text;
  }

 private:
  std::size_t members() const { return static_cast<std::size_t>(spec_.count); }

  std::vector<scheduler_fixture::active_run> subject_runs() const {
    std::vector<scheduler_fixture::active_run> found;
    for (const auto& [id, worker] : f_.workers) {
      for (const auto& run : worker.running) {
        if (run.task.step.job == "subject") {
          found.push_back(run);
        }
      }
    }
    return found;
  }

  void note_complete_gang() {
    if (auto runs = subject_runs(); runs.size() == members()) {
      complete_run_ = runs.front().number;
    }
  }

  /// Ends the run of a member without the other, as the platform does: at once
  /// if the other has ended, after `gang_wait` if it has not started.
  void end_lone_member() {
    auto runs = subject_runs();
    if (runs.empty() || runs.size() == members()) {
      lone_since_.reset();
      return;
    }
    lone_since_ = lone_since_.value_or(f_.now());
    bool is_broken = runs.front().number == complete_run_;
    if (is_broken || f_.now() - *lone_since_ >= gang_wait) {
      f_.end(to_string(runs.front().task),
             is_broken ? end_reason::gang_broken : end_reason::gang_incomplete);
      lone_since_.reset();
    }
  }

  void submit(bool labelled) {
    if (f_.tested_scheduler().jobs() > most_other_jobs) {
      return;
    }
    auto spec = scheduler_fixture::step(1, 1000);
    spec.required_label = labelled ? "only" : "";
    others_.push_back("o" + std::to_string(others_.size()));
    f_.add_job(others_.back(), {spec}, 2);
  }

  /// Ends a run on any worker; the waiting task's only by a failure.
  void end_one(int target, end_reason reason) {
    std::vector<std::string> tasks;
    for (const auto& [id, worker] : f_.workers) {
      for (const auto& run : worker.running) {
        auto task = to_string(run.task);
        if (reason == end_reason::failed || !task.starts_with("subject")) {
          tasks.push_back(std::move(task));
        }
      }
    }
    if (!tasks.empty()) {
      f_.end(tasks[static_cast<std::size_t>(target) % tasks.size()], reason);
    }
  }

  void list(const std::string& id) {
    f_.tested_scheduler().update_worker(f_.workers.at(id).entry, f_.now());
  }

  void set_state(const std::string& id, model::instance_state state) {
    auto& entry = f_.workers.at(id).entry;
    entry.info.state = state;
    entry.remaining_lifetime = 500ms;
    list(id);
  }

  void set_closed(bool closed) {
    closed_ = closed;
    f_.tested_scheduler().set_closed_domains(
        closed ? std::vector<model::domain_id>{"d0"}
               : std::vector<model::domain_id>{});
  }

  /// The property is about one waiting task, not about its place in a queue.
  void cancel_waiting_others() {
    for (const auto& id : others_) {
      if (f_.workers_running(id + ".0.0.0").empty()) {
        f_.tested_scheduler().cancel_job(id, f_.now());
      }
    }
  }

  void run_for(milliseconds time, bool with_progress) {
    for (milliseconds passed{0}; passed < time; passed += tick) {
      step_time(tick, with_progress);
    }
  }

  void step_time(milliseconds time, bool with_progress) {
    f_.advance_time(time);
    end_lone_member();
    for (auto& [id, worker] : f_.workers) {
      if (worker.unresponsive) {
        f_.tested_scheduler().on_unreachable(id, f_.now());
      }
      for (auto& run : worker.running) {
        run.progress += with_progress ? 1 : 0;
      }
    }
    f_.report_all();
    f_.plan();
    // The second plan forgets the jobs whose end the first one stored.
    f_.plan();
    note_complete_gang();
  }

  step_spec spec_;
  scheduler_fixture f_;
  /// Number of the last run of the gang whose members were all present.
  int complete_run_ = 0;
  std::optional<time_point> lone_since_;
  std::vector<std::string> others_;
  bool closed_ = false;
};

rc::Gen<operation> any_operation() {
  return rc::gen::tuple(rc::gen::inRange(0, operation_kinds),
                        rc::gen::inRange(0, 60), rc::gen::inRange(0, 200));
}

}  // namespace

// Guards against accepted work that is never started again, or too late: a
// rule that leaves out a worker after failures may leave out the only one.
TEST_CASE("a task starts on the only worker that fits, whatever failed before",
          "[placement_property]") {
  const auto seed =
      GENERATE(std::uint64_t{1}, std::uint64_t{2}, std::uint64_t{3});
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = 100;
  const auto result = rc::detail::checkTestable(
      [] {
        const auto kind =
            static_cast<subject_kind>(*rc::gen::inRange(0, subject_kinds));
        history tested(kind);
        for (const auto& op :
             *rc::gen::container<std::vector<operation>>(25, any_operation())) {
          tested.apply(op);
        }
        tested.calm(*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>());
        const auto waited = tested.longest_wait_in_calm();
        RC_LOG() << "kind " << static_cast<int>(kind) << ", waited "
                 << waited.count() << " ms" << tested.last_log_lines();
        RC_ASSERT(waited < longest_wait);
        RC_ASSERT(tested.is_subject_running());
      },
      rc::detail::TestMetadata{}, params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  INFO("seed " << seed << ": " << message.str());
  CHECK(result.is<rc::detail::SuccessResult>());
}

}  // namespace vanillaladder::batch
