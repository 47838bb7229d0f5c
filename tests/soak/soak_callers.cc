#include "soak_callers.h"

#include <algorithm>
#include <cstdio>
#include <future>

#include "standins/platform_messages.h"

namespace vanillaladder::soak {
namespace {

using namespace std::chrono_literals;
namespace platform = standins::platform;

/// As on the platform: five attempts, 3 s for each.
constexpr int max_attempts = 5;
constexpr auto call_limit = 3s;
/// Attempts at a cancel; callers go on until it is acknowledged.
constexpr int max_cancel_attempts = 20;
/// Jobs whose tasks run until they are cancelled, of each caller. They leave
/// most of the room to others.
constexpr int max_lasting_jobs = 2;

}  // namespace

std::int64_t now_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

open_channels::open_channels() : thread_([this] { loop_.run(); }) {}

open_channels::~open_channels() {
  loop_.stop();
  thread_.join();
}

harness::outcome open_channels::call(std::uint16_t port, http::request message,
                                     std::chrono::milliseconds limit) {
  std::promise<harness::outcome> promise;
  auto future = promise.get_future();
  loop_.post([&, message = std::move(message)]() mutable {
    auto& target = channels_[port];
    if (target == nullptr) {
      target = std::make_unique<http::channel>(transport_, "127.0.0.1", port,
                                               http::channel_options{1});
    }
    target->send(std::move(message), limit, [&](http::client_result result) {
      harness::outcome made;
      if (auto* answer = std::get_if<http::response>(&result)) {
        made.status = answer->status;
        made.body = std::move(answer->body);
      }
      promise.set_value(std::move(made));
    });
  });
  return future.get();
}

bool job_history::accepted() const {
  return std::ranges::any_of(
      submits, [](const attempt& each) { return each.status == 200; });
}

std::int64_t job_history::cancelled_us() const {
  auto acknowledged = std::ranges::find_if(cancels, [](const attempt& each) {
    return each.status == 200 || each.status == 410;
  });
  return acknowledged == cancels.end() ? 0 : acknowledged->answered_us;
}

soak_caller::soak_caller(const rotation& daemons, std::uint64_t seed,
                         int number)
    : daemons_(&daemons),
      random_(seed),
      number_(number),
      thread_([this] { run(); }) {}

soak_caller::~soak_caller() {
  jobs();
}

const std::vector<job_history>& soak_caller::jobs() {
  stopped_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
  return jobs_;
}

void soak_caller::run() {
  while (!stopped_) {
    auto kind = draw(random_, 0, 99);
    if (kind < 45 || jobs_.empty()) {
      submit_next();
    } else {
      auto last = static_cast<std::int64_t>(jobs_.size()) - 1;
      auto& job =
          jobs_[static_cast<std::size_t>(draw(random_, last / 2, last))];
      if (kind < 60) {
        cancel_one(job);
      } else {
        job.shows.push_back(call("GET", job, ""));
      }
    }
    // Callers pause between calls and attempts; no verdict depends on it.
    std::this_thread::sleep_for(
        std::chrono::milliseconds(draw(random_, 10, 120)));
  }
}

attempt soak_caller::call(const char* method, const job_history& job,
                          const std::string& body) {
  attempt made;
  auto count = static_cast<std::int64_t>(daemons_->size());
  std::uint16_t port = 0;
  while (port == 0 && !stopped_) {
    made.daemon = static_cast<std::size_t>(draw(random_, 0, count - 1));
    port = daemons_->port(made.daemon);
    if (port == 0) {
      std::this_thread::sleep_for(10ms);
    }
  }
  made.sent_us = now_us();
  if (port != 0) {
    http::request message{method, platform::queue_prefix + job.id, {}, body};
    message.host = platform::queue_host;
    if (!body.empty()) {
      message.headers.push_back({"content-type", "application/json"});
    }
    auto outcome = channels_.call(port, std::move(message), call_limit);
    made.status = outcome.status;
    made.state = platform::state_in(outcome.body);
  }
  made.answered_us = now_us();
  return made;
}

void soak_caller::submit_next() {
  job_history job;
  std::array<char, 17> id{};
  std::snprintf(id.data(), id.size(), "%08x%08x",
                static_cast<unsigned>(number_),
                static_cast<unsigned>(jobs_.size() + 1));
  job.id = id.data();
  job.lasting = lasting_jobs_ < max_lasting_jobs && draw(random_, 0, 19) == 0;
  lasting_jobs_ += job.lasting ? 1 : 0;
  std::vector<platform::step> steps;
  auto step_count = job.lasting ? 1 : draw(random_, 1, 2);
  for (std::int64_t n = 0; n < step_count; ++n) {
    auto count = static_cast<int>(draw(random_, 1, job.lasting ? 2 : 3));
    steps.push_back({count, 500, ""});
    job.tasks.push_back(count);
  }
  platform::task_plan plan;
  plan.run_ms = job.lasting ? -1 : draw(random_, 100, 700);
  auto body = platform::submission(steps, plan);
  if (step_count == 2) {
    body["steps"][1]["dependsOn"] = {0};
  }
  for (int n = 0; n < max_attempts && !stopped_; ++n) {
    job.submits.push_back(call("POST", job, body.dump()));
    auto status = job.submits.back().status;
    if (status == 200) {
      break;
    }
    bool is_refused = status == 429 || status == 503;
    std::this_thread::sleep_for(std::chrono::milliseconds(
        is_refused ? draw(random_, 400, 1000) : draw(random_, 0, 400)));
  }
  jobs_.push_back(std::move(job));
  // Some give up what they have no answer for.
  if (!jobs_.back().accepted() && draw(random_, 0, 1) == 0) {
    cancel_one(jobs_.back());
  }
}

void soak_caller::cancel_one(job_history& job) {
  if (!job.cancels.empty()) {
    return;
  }
  for (int n = 0; n < max_cancel_attempts && !stopped_; ++n) {
    job.cancels.push_back(call("DELETE", job, ""));
    if (job.cancelled_us() != 0) {
      return;
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(draw(random_, 50, 400)));
  }
}

}  // namespace vanillaladder::soak
