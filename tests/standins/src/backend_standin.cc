#include "standins/backend_standin.h"

#include <algorithm>
#include <utility>

#include "standins/control_port.h"

namespace vanillaladder::standins {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t longest_run_ms = 600000;
constexpr std::int64_t most_padding_bytes = 64 << 20;

/// @return the member `key` of a JSON body, or the idempotency key.
std::string key_of(const http::request& message) {
  auto body = json::parse(message.body, nullptr, false);
  if (body.is_object() && body.contains("key") && body["key"].is_string()) {
    return body["key"].get<std::string>();
  }
  return std::string(http::find_header(message.headers, "idempotency-key"));
}

}  // namespace

backend_standin::backend_standin(http::event_loop& loop, options settings,
                                 event_record& events)
    : loop_(&loop), options_(std::move(settings)), events_(&events) {
  knobs_.add("silent", &silent_);
  knobs_.add("leaving", &leaving_);
  knobs_.add("refuse", &refuse_);
  knobs_.add("close", &close_);
  knobs_.add("fail", &fail_);
  knobs_.add("delay_ms", &delay_ms_);
}

const std::string& backend_standin::id() const {
  return options_.id;
}

bool backend_standin::take_one(std::int64_t& counter) {
  if (counter > 0) {
    --counter;
    return true;
  }
  return counter < 0;
}

void backend_standin::record(const char* event, const run& current) {
  events_->add(event, {{"backend", options_.id},
                       {"key", current.key},
                       {"method", current.message.method},
                       {"target", current.message.target},
                       {"slots", slots_in_use_},
                       {"connections", connections_}});
}

void backend_standin::handle(const http::request& message,
                             const responder_ptr& answer) {
  auto current = std::make_shared<run>();
  current->message = message;
  current->key = key_of(message);
  current->answer = answer;
  ++requests_;
  after_leave_ += leaving_ ? 1 : 0;
  max_connections_ = std::max(max_connections_, ++connections_);
  runs_.push_back(current);
  answer->on_disconnect([this, current] {
    current->connected = false;
    --connections_;
    record("disconnect", *current);
    forget_ended();
  });
  if (silent_ == "all") {
    current->swallowed = true;
    record("swallow", *current);
  } else if (take_one(refuse_)) {
    record("refuse", *current);
    answer->respond({503, {{"x-not-run", "1"}}, ""});
    current->connected = false;
    --connections_;
    forget_ended();
  } else {
    begin(current);
  }
}

void backend_standin::begin(const run_ptr& current) {
  current->running = true;
  current->close = take_one(close_);
  current->fail = take_one(fail_);
  max_slots_ = std::max(max_slots_, ++slots_in_use_);
  ++runs_by_key_[current->key];
  record("request", *current);
  auto ms = query_integer(current->message.target, "ms", 0) + delay_ms_;
  loop_->call_after(
      milliseconds(std::clamp<std::int64_t>(ms, 0, longest_run_ms)),
      [this, current] { end(current); });
}

void backend_standin::end(const run_ptr& current) {
  current->running = false;
  --slots_in_use_;
  record("end", *current);
  if (!current->connected || current->swallowed) {
    forget_ended();
    return;
  }
  if (current->close) {
    // The disconnect callback does the accounting.
    current->answer->abort();
    return;
  }
  const auto& message = current->message;
  auto path = std::string(http::path_of(message.target));
  json body = {{"backend", options_.id},
               {"service", path.substr(1, path.find('/', 1) - 1)},
               {"method", message.method},
               {"target", message.target},
               {"key", current->key},
               {"body", message.body}};
  auto bytes = query_integer(message.target, "bytes", 0);
  if (bytes > 0) {
    auto length = std::min(bytes, most_padding_bytes);
    body["padding"] = std::string(static_cast<std::size_t>(length), '.');
  }
  reply(current->answer, current->fail ? 500 : 200, body);
  current->connected = false;
  --connections_;
  forget_ended();
}

void backend_standin::forget_ended() {
  std::erase_if(runs_, [](const run_ptr& current) {
    return !current->running && !current->connected;
  });
}

void backend_standin::set(const http::request& message,
                          const responder_ptr& answer) {
  answer_set(message, answer, knobs_);
  if (silent_ == "open" || silent_ == "all") {
    for (const auto& current : runs_) {
      current->swallowed = current->connected;
    }
  }
  if (silent_ == "open") {
    silent_ = "none";
  }
}

json backend_standin::state() const {
  std::int64_t most = 0;
  for (const auto& [key, runs] : runs_by_key_) {
    most = key.empty() ? most : std::max(most, runs);
  }
  return {{"id", options_.id},
          {"settings", knobs_.values()},
          {"slots", options_.slots},
          {"requests", requests_},
          {"after_leave", after_leave_},
          {"slots_in_use", slots_in_use_},
          {"max_slots", max_slots_},
          {"connections", connections_},
          {"max_connections", max_connections_},
          {"max_runs_of_one_key", most}};
}

}  // namespace vanillaladder::standins
