#include "standins/platform_store.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>

#include "standins/control_port.h"
#include "standins/platform_messages.h"

namespace vanillaladder::standins {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t length_bytes = 4;
/// Answers of earlier appends that a repeat gets again.
constexpr std::size_t kept_answers = 5;
constexpr std::int64_t default_read_kib = 1024;

/// @return whether the list of topics, as tests call them, holds this one.
bool names(const std::string& list, const std::string& topic) {
  for (absl::string_view each : absl::StrSplit(list, ',', absl::SkipEmpty())) {
    if (platform::topic_on_wire(std::string(each)) == topic) {
      return true;
    }
  }
  return false;
}

/// @return whether the list of doors is empty or holds this one.
bool affects(const std::string& doors, std::int64_t door) {
  std::vector<std::string> parts =
      absl::StrSplit(doors, ',', absl::SkipEmpty());
  return parts.empty() ||
         std::ranges::find(parts, std::to_string(door)) != parts.end();
}

void append_big_endian(std::string& out, std::uint64_t value, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    out += static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xFFU);
  }
}

std::uint32_t read_big_endian(std::string_view bytes) {
  std::uint32_t value = 0;
  for (char each : bytes) {
    value = value << 8U | static_cast<unsigned char>(each);
  }
  return value;
}

/// @return a query parameter without its escapes.
std::string query_text(std::string_view target, std::string_view name) {
  auto raw = http::query_value(target, name);
  std::string text;
  for (std::size_t n = 0; n < raw.size(); ++n) {
    if (raw[n] == '%' && n + 2 < raw.size()) {
      text += absl::HexStringToBytes(absl::string_view(raw.data() + n + 1, 2));
      n += 2;
    } else {
      text += raw[n];
    }
  }
  return text;
}

}  // namespace

platform_store::platform_store(http::event_loop& loop, event_record& events)
    : loop_(&loop), events_(&events) {
  knobs_.add("outage", &outage_);
  knobs_.add("outage_doors", &outage_doors_);
  knobs_.add("rejected_appends", &rejected_appends_);
  knobs_.add("silent_reads", &silent_reads_);
  knobs_.add("silent_doors", &silent_doors_);
  knobs_.add("silent_pages", &silent_pages_);
  knobs_.add("held_appends", &held_appends_);
  knobs_.add("late_append_topic", &late_append_topic_);
  knobs_.add("late_append_ms", &late_append_ms_);
  knobs_.add("late_every", &late_every_);
  knobs_.add("lose_answers", &lose_answers_);
  knobs_.add("delay_ms", &delay_ms_);
  knobs_.add("page_keys", &page_keys_);
  knobs_.add("record_bytes", &record_bytes_);
}

void platform_store::handle(const http::request& message,
                            const responder_ptr& answer, std::int64_t door) {
  bool is_away = outage_ != "none" && affects(outage_doors_, door);
  if (is_away && outage_ == "error") {
    reply(answer, 503, {{"error", "try later"}});
  } else if (is_away && outage_ == "close") {
    answer->abort();
  }
  if (is_away) {
    return;
  }
  auto path = http::path_of(message.target);
  if (path == "/v1/log-append") {
    accept_append(message, answer);
  } else if (path == "/v1/log-read") {
    read(message, answer, door);
  } else if (path == "/v1/log-newest") {
    read_newest(message, answer, door);
  } else {
    reply(answer, 404, {{"error", "no such resource"}});
  }
}

void platform_store::set(const http::request& message,
                         const responder_ptr& answer) {
  answer_set(message, answer, knobs_);
  if (outage_ != "none") {
    waiting_.remove_if([this](const waiting_read& each) {
      bool is_away = affects(outage_doors_, each.door);
      if (is_away) {
        loop_->cancel(each.timer);
      }
      return is_away;
    });
  }
  if (held_appends_.empty()) {
    release_held();
  }
}

void platform_store::release_held() {
  for (auto& [answer, response] : std::exchange(held_, {})) {
    respond(answer, std::move(response));
  }
}

void platform_store::respond(const responder_ptr& answer,
                             http::response response) {
  loop_->call_after(
      milliseconds(delay_ms_),
      [answer, response = std::move(response)] { answer->respond(response); });
}

/// @return whether this append takes effect later.
bool platform_store::is_late(const std::string& topic) {
  return late_append_ms_ > 0 && names(late_append_topic_, topic) &&
         (late_every_ == 0 || ++appends_seen_ % late_every_ == 0);
}

void platform_store::accept_append(const http::request& message,
                                   const responder_ptr& answer) {
  auto topic = query_text(message.target, "topic");
  if (query_text(message.target, "producer").empty() &&
      names(rejected_appends_, topic)) {
    respond(answer, http::json_response(503, "{}"));
    return;
  }
  if (is_late(topic)) {
    auto delay = milliseconds(late_append_ms_);
    if (late_every_ == 0) {
      late_append_ms_ = 0;
    }
    loop_->call_after(delay, [this, message, topic] {
      auto result = append(message);
      events_->add("late_append",
                   {{"topic", topic}, {"status", result.status}});
    });
    return;
  }
  auto result = append(message);
  if (result.status == 200 && names(held_appends_, topic)) {
    held_.emplace_back(answer, std::move(result));
  } else if (result.status == 200 && lose_answers_ > 0) {
    --lose_answers_;
    answer->abort();
  } else {
    respond(answer, std::move(result));
  }
}

http::response platform_store::append(const http::request& message) {
  auto topic = query_text(message.target, "topic");
  auto& target = topics_[topic];
  auto name = query_text(message.target, "producer");
  if (name.empty()) {
    return append_once(message, target);
  }
  auto& writer = target.producers[name];
  auto epoch = query_integer(message.target, "epoch", 0);
  auto sequence = query_integer(message.target, "seqNo", 0);
  if (epoch < writer.epoch) {
    return http::json_response(409, json{{"reason", "fenced"}}.dump());
  }
  if (epoch == writer.epoch) {
    auto repeated = std::ranges::find(
        writer.answers, sequence, [](const auto& each) { return each.first; });
    if (repeated != writer.answers.end()) {
      return repeated->second;
    }
    if (sequence != writer.sequence + 1) {
      return http::json_response(
          409, json{{"reason", "seq"}, {"seqNo", writer.sequence + 1}}.dump());
    }
  }
  auto result = append_once(message, target);
  if (result.status != 200) {
    return result;
  }
  if (epoch > writer.epoch) {
    writer.answers.clear();
  }
  writer.epoch = epoch;
  writer.sequence = sequence;
  writer.answers.emplace_back(sequence, result);
  if (writer.answers.size() > kept_answers) {
    writer.answers.pop_front();
  }
  return result;
}

http::response platform_store::append_once(const http::request& message,
                                           topic_state& target) {
  auto expected = query_integer(message.target, "at", -1);
  if (expected >= 0 && expected != target.end()) {
    return http::json_response(412, json{{"end", target.end()}}.dump());
  }
  std::vector<record> records;
  std::string_view rest = message.body;
  while (!rest.empty()) {
    if (rest.size() < length_bytes) {
      return http::json_response(400, "{}");
    }
    auto length = read_big_endian(rest.substr(0, length_bytes));
    rest.remove_prefix(length_bytes);
    if (length == 0 || length > rest.size() || length > record_bytes_) {
      return http::json_response(400, "{}");
    }
    auto key_length = static_cast<unsigned char>(rest[0]);
    if (key_length + 1U > length) {
      return http::json_response(400, "{}");
    }
    records.push_back(
        {std::string(rest.substr(1, key_length)),
         std::string(rest.substr(1 + key_length, length - 1 - key_length))});
    rest.remove_prefix(length);
  }
  auto offset = target.end();
  for (auto& each : records) {
    write(target, std::move(each));
  }
  auto topic = query_text(message.target, "topic");
  auto result = http::json_response(
      200, json{{"offset", offset}, {"end", target.end()}}.dump());
  wake_readers(topic);
  return result;
}

void platform_store::write(topic_state& target, record added) {
  if (added.value.empty()) {
    target.newest.erase(added.key);
  } else {
    target.newest[added.key] = target.records.size();
  }
  target.records.push_back(std::move(added));
}

void platform_store::put(const std::string& topic, const std::string& key,
                         const std::string& value) {
  write(topics_[topic], {key, value});
  wake_readers(topic);
}

void platform_store::forget(const std::string& topic) {
  auto& target = topics_[topic];
  target.first = target.end();
}

json platform_store::newest(const std::string& topic) const {
  auto values = json::object();
  auto found = topics_.find(topic);
  if (found != topics_.end()) {
    for (const auto& [key, at] : found->second.newest) {
      values[key] = absl::CHexEscape(found->second.records[at].value);
    }
  }
  return values;
}

/// @return whether reads of the topic get no answer at this door.
bool platform_store::is_silent(const std::string& topic,
                               std::int64_t door) const {
  return names(silent_reads_, topic) && affects(silent_doors_, door);
}

void platform_store::read(const http::request& message,
                          const responder_ptr& answer, std::int64_t door) {
  waiting_read current{query_text(message.target, "topic"),
                       query_integer(message.target, "from", 0), door, answer,
                       0};
  if (is_silent(current.topic, door)) {
    return;
  }
  auto& target = topics_[current.topic];
  auto wait = query_integer(message.target, "waitMs", 0);
  if (current.from < target.end() || wait == 0) {
    answer_read(current);
    return;
  }
  auto at = waiting_.insert(waiting_.end(), std::move(current));
  at->timer = loop_->call_after(milliseconds(wait), [this, at] {
    auto ended = *at;
    waiting_.erase(at);
    answer_read(ended);
  });
}

void platform_store::answer_read(const waiting_read& read) {
  if (is_silent(read.topic, read.door)) {
    return;
  }
  const auto& target = topics_[read.topic];
  if (read.from < target.first) {
    respond(read.answer,
            http::json_response(410, json{{"first", target.first}}.dump()));
    return;
  }
  std::string body;
  append_big_endian(body, static_cast<std::uint64_t>(target.end()), 8);
  append_big_endian(body, static_cast<std::uint64_t>(target.first), 8);
  for (auto n = read.from; n < target.end(); ++n) {
    const auto& each = target.records[static_cast<std::size_t>(n)];
    if (body.size() > default_read_kib * 1024) {
      break;
    }
    append_big_endian(body, 1 + each.key.size() + each.value.size(),
                      length_bytes);
    body += static_cast<char>(each.key.size());
    body += each.key;
    body += each.value;
  }
  respond(read.answer, {200, {}, std::move(body)});
}

void platform_store::wake_readers(const std::string& topic) {
  std::vector<waiting_read> ready;
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    if (at->topic == topic) {
      loop_->cancel(at->timer);
      ready.push_back(std::move(*at));
      at = waiting_.erase(at);
    } else {
      ++at;
    }
  }
  for (const auto& each : ready) {
    answer_read(each);
  }
}

void platform_store::read_newest(const http::request& message,
                                 const responder_ptr& answer,
                                 std::int64_t door) {
  auto topic = query_text(message.target, "topic");
  // The key to continue after.
  auto after = query_text(message.target, "dependsOn");
  if (is_silent(topic, door) ||
      (!after.empty() && names(silent_pages_, topic))) {
    return;
  }
  const auto& target = topics_[topic];
  auto items = json::array();
  bool more = false;
  for (auto each = target.newest.upper_bound(after);
       each != target.newest.end(); ++each) {
    if (static_cast<std::int64_t>(items.size()) == page_keys_) {
      more = true;
      break;
    }
    const auto& found = target.records[each->second];
    items.push_back({{"key", found.key},
                     {"value", absl::Base64Escape(found.value)},
                     {"offset", each->second}});
  }
  respond(answer, http::json_response(200, json{{"items", std::move(items)},
                                                {"more", more},
                                                {"end", target.end()}}
                                               .dump()));
}

}  // namespace vanillaladder::standins
