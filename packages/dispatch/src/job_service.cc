#include "dispatch/job_service.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "batch/job_memory.h"
#include "batch/job_records.h"
#include "dispatch/clock.h"
#include "runtime/error.h"

namespace vanillaladder::dispatch {
namespace {

constexpr std::chrono::milliseconds waiting_check_interval{25};

}  // namespace

job_service::job_service(
    http::event_loop& loop, external::keyed_store& store,
    const batch::job_directory& jobs, const config_view& config,
    topic_follower& follower,
    std::function<void(std::string_view, std::string_view)> on_stored_record,
    reporter report, const external::store_limits& limits,
    topic_follower* operators, const access_options& access,
    const job_admission& admission)
    : loop_(&loop),
      appends_(loop, store, std::string(batch::jobs_topic), limits),
      jobs_(&jobs),
      config_(&config),
      follower_(&follower),
      on_stored_record_(std::move(on_stored_record)),
      report_(report),
      max_record_bytes_(limits.max_record_bytes),
      operators_(operators),
      access_(access),
      admission_(admission) {}

/// @return the job, or null if no record of it is known. A cancellation alone
///   does not count.
const batch::job_directory::entry* job_service::find_submitted(
    const model::job_id& id) const {
  const auto* found = jobs_->find(id);
  return found != nullptr && found->is_submitted() ? found : nullptr;
}

call_route job_service::route(const call_credentials& call) const {
  auto age = std::chrono::milliseconds(0);
  if (operators_ != nullptr) {
    age = std::chrono::duration_cast<std::chrono::milliseconds>(
        boot_now() - operators_->current_as_of());
  }
  auto decision = route_call(*config_, call, age, access_);
  if (std::holds_alternative<unknown_key>(decision)) {
    report_.count("vanillaladder_calls_refused_total", "reason", "unknown_key");
  }
  return decision;
}

/// Calls that arrive during a read share it.
void job_service::read_config(std::function<void()> done) {
  config_waiters_.push_back(std::move(done));
  if (config_waiters_.size() > 1) {
    return;
  }
  auto finish = [this, number = ++config_read_](bool) {
    if (number == config_read_) {
      ++config_read_;
      for (const auto& waiter : std::exchange(config_waiters_, {})) {
        waiter();
      }
    }
  };
  loop_->call_after(max_refresh_time, [finish] { finish(false); });
  // Longer than the callers wait: a slow store would answer after them, and a
  // call that times out costs connections.
  operators_->refresh(finish);
}

bool job_service::ready() const {
  return config_->has_config() && follower_->loaded() &&
         boot_now() - follower_->last_read_sent_at() < max_view_age;
}

bool job_service::store_responsive() const {
  if (!follower_->store_reachable()) {
    return false;
  }
  auto oldest_sent = appends_.oldest_append_sent_at();
  if (!oldest_sent) {
    return true;
  }
  auto last_answer = std::max({*oldest_sent, follower_->last_read_answered_at(),
                               appends_.last_success_at()});
  return boot_now() - last_answer < silence_limit;
}

void job_service::submit(const queue_route& queue, batch::job_spec spec,
                         std::function<void(submit_result)> done) {
  if (const auto* found = find_submitted(spec.id); found != nullptr) {
    report_.routine(
        "desk",
        absl::StrCat("submit_repeated id=", spec.id, " state=",
                     std::string(batch::name_of(found->visible_state()))));
    done(submit_result::accepted);
    return;
  }
  if (!store_responsive()) {
    // An append would fail, mostly without an indication of whether it took
    // effect.
    wait_for_store(
        {queue, std::move(spec), std::move(done), boot_now() + max_store_wait});
    return;
  }
  if (!must_read_jobs(spec)) {
    store_submission(queue, std::move(spec), std::move(done));
    return;
  }
  follower_->refresh(
      [this, queue, spec = std::move(spec), done = std::move(done)](bool) {
        store_submission(queue, spec, done);
      },
      max_refresh_time);
}

/// @return the memory of the jobs that are stored or may be stored by appends
///   in flight.
jobs_memory job_service::used_memory() const {
  return {jobs_->memory_bytes() + in_flight_.all,
          jobs_->recurring_bytes() + in_flight_.recurring};
}

/// @return whether a job takes so much memory that what other daemons have
///   accepted must be known first.
bool job_service::must_read_jobs(const batch::job_spec& spec) {
  if (auto as_of = follower_->current_as_of(); as_of != copy_as_of_) {
    copy_as_of_ = as_of;
    accepted_on_copy_ = 0;
  }
  return boot_now() - copy_as_of_ >= max_shown_age &&
         !admission_.may_use_old_copy(accepted_on_copy_ + memory_of(spec),
                                      used_memory());
}

/// Stores a job if there is memory for it.
void job_service::store_submission(const queue_route& queue,
                                   batch::job_spec spec,
                                   std::function<void(submit_result)> done) {
  if (find_submitted(spec.id) != nullptr) {
    done(submit_result::accepted);
    return;
  }
  auto decision = admission_.decide(spec, used_memory());
  if (decision == job_admission::decision::too_large) {
    end_unsent(spec.id, "exceeds_memory", submit_result::exceeds_memory, done);
    return;
  }
  if (decision == job_admission::decision::no_memory) {
    end_unsent(spec.id, "jobs_memory", submit_result::no_memory, done);
    return;
  }
  spec.queue = queue.name;
  spec.policy = queue.policy;
  spec.accepted_at = wall_now();
  batch::topic_record record{
      to_string(batch::job_record_key{batch::record_kind::job, spec.id}),
      encode(spec)};
  if (external::record_bytes(record) > max_record_bytes_) {
    report_.count("vanillaladder_submissions_refused_total", "reason",
                  "record_too_large");
    report_.routine("desk", absl::StrCat("submit_refused id=", spec.id,
                                         " reason=record_too_large bytes=",
                                         external::record_bytes(record),
                                         " limit=", max_record_bytes_));
    done(submit_result::too_large);
    return;
  }
  outcomes_.begin(spec.id);
  jobs_memory memory{memory_of(spec), 0};
  memory.recurring = spec.repeat_count > 0 ? memory.all : 0;
  in_flight_.all += memory.all;
  in_flight_.recurring += memory.recurring;
  accepted_on_copy_ += memory.all;
  appends_.add(
      record, [this, record, memory, id = spec.id, sent = boot_now(),
               done = std::move(done)](absl::StatusOr<model::offset> end) {
        in_flight_.all -= memory.all;
        in_flight_.recurring -= memory.recurring;
        auto took =
            std::chrono::duration_cast<model::milliseconds>(boot_now() - sent);
        auto result = submit_result::unknown;
        if (end.ok()) {
          result = submit_result::accepted;
          on_stored_record_(record.key, record.value);
          report_.routine("desk",
                          absl::StrCat("submit_accepted id=", id, " end=", *end,
                                       " append_ms=", took.count()));
        } else {
          result = absl::IsUnavailable(end.status()) ? submit_result::not_stored
                                                     : submit_result::unknown;
          report_.routine(
              "desk",
              absl::StrCat("submit_not_stored id=", id,
                           " certain=", result == submit_result::not_stored,
                           " append_ms=", took.count(),
                           " error=", runtime::error_message(end.status())));
        }
        outcomes_.end(id, result);
        done(result);
      });
}

/// Ends a submission of which nothing is sent to the store.
void job_service::end_unsent(
    const model::job_id& id, std::string_view reason, submit_result result,
    const std::function<void(submit_result)>& done) const {
  report_.count("vanillaladder_submissions_refused_total", "reason", reason);
  report_.routine("desk", absl::StrCat("submit_refused id=", id,
                                       " reason=", std::string(reason),
                                       " jobs_bytes=", jobs_->memory_bytes(),
                                       " budget=", admission_.budget()));
  done(result);
}

void job_service::wait_for_store(waiting_submission submission) {
  waiting_.push_back(std::move(submission));
  if (waiting_.size() == 1) {
    loop_->call_after(waiting_check_interval, [this] { check_waiting(); });
  }
}

/// Sends the submissions that wait once the store answers, and ends those that
/// have waited too long.
void job_service::check_waiting() {
  std::deque<waiting_submission> ready;
  bool is_responsive = store_responsive();
  while (!waiting_.empty() &&
         (is_responsive || waiting_.front().until <= boot_now())) {
    ready.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
  if (!waiting_.empty()) {
    loop_->call_after(waiting_check_interval, [this] { check_waiting(); });
  }
  for (auto& each : ready) {
    if (is_responsive) {
      submit(each.queue, std::move(each.spec), std::move(each.done));
    } else {
      end_unsent(each.spec.id, "store_away", submit_result::not_stored,
                 each.done);
    }
  }
}

/// @return whether the copy's state of the job can be shown without a read.
bool job_service::is_current(const batch::job_directory::entry& job) const {
  if (batch::has_ended(job.visible_state())) {
    return true;
  }
  bool is_long_running =
      job.spec != nullptr && !job.spec->steps.empty() &&
      std::ranges::all_of(job.spec->steps, &batch::step_spec::long_running);
  return boot_now() - follower_->current_as_of() <
         (is_long_running ? max_shown_age_long_running : max_shown_age);
}

void job_service::show(const model::job_id& id,
                       std::function<void(job_answer)> done) {
  if (const auto* found = find_submitted(id); found != nullptr) {
    if (is_current(*found) || !store_responsive()) {
      show_known_job(id, done);
      return;
    }
    // The copy is shown if the read takes too long.
    auto answer = std::make_shared<std::function<void(job_answer)>>(done);
    auto answer_once = [this, id, answer](bool) {
      if (auto pending = std::exchange(*answer, nullptr)) {
        show_known_job(id, pending);
      }
    };
    loop_->call_after(max_refresh_time, [answer_once] { answer_once(false); });
    follower_->refresh(answer_once);
    return;
  }
  // The job may be newer than the local copy of the topic.
  follower_->refresh([this, id, done = std::move(done)](bool fresh) {
    if (const auto* found = find_submitted(id); found != nullptr) {
      show_known_job(id, done);
      return;
    }
    report_.routine("desk",
                    absl::StrCat("show_unknown id=", id, " fresh=", fresh));
    done({fresh ? job_answer::kind::no_such_job : job_answer::kind::unavailable,
          {}});
  });
}

void job_service::show_known_job(
    const model::job_id& id,
    const std::function<void(job_answer)>& done) const {
  const auto* found = find_submitted(id);
  if (found == nullptr) {
    done({job_answer::kind::unavailable, {}});
    return;
  }
  job_answer answer{job_answer::kind::known, found->visible_state()};
  if (!batch::has_ended(answer.state)) {
    answer.age = std::chrono::duration_cast<std::chrono::milliseconds>(
        boot_now() - follower_->current_as_of());
  }
  done(answer);
}

void job_service::cancel(const model::job_id& id,
                         std::function<void(cancel_result)> done) {
  if (find_submitted(id) != nullptr) {
    cancel_known_job(id, std::move(done));
    return;
  }
  follower_->refresh([this, id, done = std::move(done)](bool fresh) mutable {
    if (find_submitted(id) != nullptr) {
      cancel_known_job(id, std::move(done));
      return;
    }
    report_.routine("desk",
                    absl::StrCat("cancel_unknown id=", id, " fresh=", fresh));
    // A submission may be under way at any daemon and take effect later. One of
    // this daemon is known, so that its caller is told that it is cancelled.
    auto stored = outcomes_.may_be_stored(id) ? cancel_result::cancelled
                                              : cancel_result::no_such_job;
    if (const auto* found = jobs_->find(id);
        found != nullptr && found->cancelled) {
      done(stored);
      return;
    }
    if (!admission_.has_room_for_cancellation(used_memory())) {
      report_.count("vanillaladder_cancels_refused_total", "reason",
                    "jobs_memory");
      done(cancel_result::unavailable);
      return;
    }
    store_cancellation(
        id, [stored, done = std::move(done)](cancel_result result) {
          done(result == cancel_result::cancelled ? stored : result);
        });
  });
}

void job_service::cancel_known_job(const model::job_id& id,
                                   std::function<void(cancel_result)> done) {
  if (batch::has_ended(jobs_->find(id)->visible_state())) {
    done(cancel_result::cancelled);
    return;
  }
  store_cancellation(id, std::move(done));
}

void job_service::store_cancellation(const model::job_id& id,
                                     std::function<void(cancel_result)> done) {
  batch::topic_record record{
      to_string(batch::job_record_key{batch::record_kind::cancellation, id}),
      std::to_string(wall_now())};
  appends_.add(record, [this, record, id, done = std::move(done)](
                           absl::StatusOr<model::offset> end) {
    if (end.ok()) {
      on_stored_record_(record.key, record.value);
      report_.routine("desk",
                      absl::StrCat("cancel_accepted id=", id, " end=", *end));
    } else {
      report_.routine("desk",
                      absl::StrCat("cancel_not_stored id=", id, " error=",
                                   runtime::error_message(end.status())));
    }
    done(end.ok() ? cancel_result::cancelled : cancel_result::unavailable);
  });
}

void job_service::pending(const std::string& queue,
                          std::function<void(std::optional<int>)> done) {
  auto count = [this, queue]() -> std::optional<int> {
    if (boot_now() - follower_->current_as_of() >= max_pending_age) {
      return std::nullopt;
    }
    return jobs_->pending(queue);
  };
  if (auto known = count()) {
    done(known);
    return;
  }
  auto answer = std::make_shared<std::function<void(std::optional<int>)>>(
      std::move(done));
  auto answer_once = [count, answer](bool) {
    if (auto pending = std::exchange(*answer, nullptr)) {
      pending(count());
    }
  };
  loop_->call_after(max_refresh_time, [answer_once] { answer_once(false); });
  follower_->refresh(answer_once);
}

}  // namespace vanillaladder::dispatch
