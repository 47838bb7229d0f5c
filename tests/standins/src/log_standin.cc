#include "standins/log_standin.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "standins/control_port.h"

namespace vanillaladder::standins {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t max_wait_ms = 30000;

}  // namespace

log_standin::log_standin(http::event_loop& loop) : loop_(&loop) {
  knobs_.add("outage", &outage_);
  knobs_.add("delay_ms", &delay_ms_);
  knobs_.add("effect_delay_ms", &effect_delay_ms_);
  knobs_.add("lose_answers", &lose_answers_);
  knobs_.add("retention", &retention_);
}

void log_standin::handle(const http::request& message,
                         const responder_ptr& answer) {
  if (swallow(answer)) {
    return;
  }
  auto path = http::path_of(message.target);
  auto name = std::string(middle_of(path, "/streams/", "/records"));
  try {
    if (!name.empty() && message.method == "POST") {
      accept_append(name, message, answer);
    } else if (!name.empty() && message.method == "GET") {
      read(name, message, answer);
    } else {
      reply(answer, 404, {{"error", "no such resource"}});
    }
  } catch (const std::exception& error) {
    reply(answer, 400, {{"error", error.what()}});
  }
}

bool log_standin::swallow(const responder_ptr& answer) const {
  if (outage_ == "error") {
    reply(answer, 503, {{"error", "outage"}});
  } else if (outage_ == "close") {
    answer->abort();
  }
  return outage_ != "none";
}

void log_standin::accept_append(const std::string& name,
                                const http::request& message,
                                const responder_ptr& answer) {
  auto records = body_object(message).at("records");
  if (!records.is_array() || records.empty() ||
      !std::ranges::all_of(records,
                           [](const json& r) { return r.is_string(); })) {
    throw std::invalid_argument("records is not a list of strings");
  }
  if (effect_delay_ms_ == 0) {
    append(name, records, answer);
    return;
  }
  loop_->call_after(milliseconds(effect_delay_ms_),
                    [this, name, records = std::move(records), answer] {
                      append(name, records, answer);
                    });
}

void log_standin::append(const std::string& name, const json& records,
                         const responder_ptr& answer) {
  auto& target = streams_[name];
  auto offset = target.first + static_cast<std::int64_t>(target.records.size());
  std::size_t bytes = 0;
  for (const auto& record : records) {
    target.records.push_back(record.get<std::string>());
    bytes += target.records.back().size();
  }
  trim();
  bool lost = lose_answers_ > 0;
  events_.add("append", {{"stream", name},
                         {"offset", offset},
                         {"count", records.size()},
                         {"bytes", bytes},
                         {"lost", lost}});
  ++appends_;
  if (lost) {
    --lose_answers_;
    answer->abort();
  } else {
    loop_->call_after(milliseconds(delay_ms_), [answer, offset] {
      reply(answer, 200, {{"offset", offset}});
    });
  }
  wake_readers(name);
}

void log_standin::trim() {
  if (retention_ <= 0) {
    return;
  }
  for (auto& [name, target] : streams_) {
    while (static_cast<std::int64_t>(target.records.size()) > retention_) {
      target.records.pop_front();
      ++target.first;
    }
  }
}

void log_standin::read(const std::string& name, const http::request& message,
                       const responder_ptr& answer) {
  ++reads_;
  waiting_read current{name, query_integer(message.target, "from", 0),
                       query_integer(message.target, "limit", 1000), answer, 0};
  auto wait = query_integer(message.target, "wait_ms", 0);
  const auto& target = streams_[name];
  auto next = target.first + static_cast<std::int64_t>(target.records.size());
  if (current.from < next || wait <= 0) {
    answer_read(current);
    return;
  }
  waiting_.push_back(std::move(current));
  auto position = std::prev(waiting_.end());
  position->timer = loop_->call_after(milliseconds(std::min(wait, max_wait_ms)),
                                      [this, position] {
                                        answer_read(*position);
                                        waiting_.erase(position);
                                      });
}

void log_standin::answer_read(const waiting_read& read) {
  const auto& target = streams_[read.stream_name];
  auto next = target.first + static_cast<std::int64_t>(target.records.size());
  auto records = json::array();
  auto end = std::min(next, std::max(read.from, target.first) + read.limit);
  for (auto at = std::max(read.from, target.first); at < end; ++at) {
    records.push_back(
        {{"offset", at},
         {"data",
          target.records[static_cast<std::size_t>(at - target.first)]}});
  }
  json body = {
      {"first", target.first}, {"next", next}, {"records", std::move(records)}};
  loop_->call_after(milliseconds(delay_ms_),
                    [answer = read.answer, body = std::move(body)] {
                      reply(answer, 200, body);
                    });
}

void log_standin::wake_readers(const std::string& name) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (it->stream_name != name) {
      ++it;
      continue;
    }
    loop_->cancel(it->timer);
    answer_read(*it);
    it = waiting_.erase(it);
  }
}

void log_standin::end_waiting_reads() {
  for (auto& read : std::exchange(waiting_, {})) {
    loop_->cancel(read.timer);
    swallow(read.answer);
  }
}

json log_standin::state() const {
  json streams = json::object();
  for (const auto& [name, target] : streams_) {
    streams[name] = {{"first", target.first},
                     {"next", target.first + static_cast<std::int64_t>(
                                                 target.records.size())}};
  }
  return {{"settings", knobs_.values()},
          {"appends", appends_},
          {"reads", reads_},
          {"waiting_reads", waiting_.size()},
          {"streams", std::move(streams)}};
}

void log_standin::control(const http::request& message,
                          const responder_ptr& answer) {
  if (answer_common(message, answer, events_, knobs_)) {
    trim();
    if (outage_ != "none") {
      end_waiting_reads();
    }
  } else if (message.target == "/state") {
    reply(answer, 200, state());
  } else {
    reply(answer, 404, {{"error", "no such resource"}});
  }
}

}  // namespace vanillaladder::standins
