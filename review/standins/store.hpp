#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "net.hpp"

namespace review {

using nlohmann::json;

inline std::string base64(const std::string& bytes) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t n = 0; n < bytes.size(); n += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8U |
              (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k])
                                    : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += n + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63U];
    }
  }
  return out;
}

inline std::string big_endian(std::uint64_t value, int bytes) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    out += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xFFU);
  }
  return out;
}

/// Stand-in of the platform's store in the form of a log. Each topic has one
/// partition.
class log_store {
 public:
  explicit log_store(const std::string& ip)
      : server_(ip, [this](const http_request& call) { return handle(call); }) {
  }

  std::string address() const { return server_.address(); }

  /// The store is down: no call is executed or answered.
  void set_down(bool down) {
    server_.set_silent(down);
    if (!down) {
      server_.reset_those_of_last_silence();
    }
  }

  /// The next append to `topic` whose records contain `text` gets no answer and
  /// is executed `delay` later.
  void lose_append(std::string topic, std::string text, ms delay) {
    std::lock_guard lock(mutex_);
    lost_topic_ = std::move(topic);
    lost_text_ = std::move(text);
    lost_delay_ = delay;
  }
  /// @return when the delayed append was executed.
  std::optional<steady::time_point> lost_append_done_at() {
    std::lock_guard lock(mutex_);
    return lost_done_at_;
  }

  /// Writes a record of the operator or of a runner.
  void put(const std::string& topic, const std::string& key,
           const std::string& value) {
    std::lock_guard lock(mutex_);
    append(topics_[topic], {{key, value}});
    changed_.notify_all();
  }

 private:
  struct record {
    std::string key;
    std::string value;
  };
  struct producer_state {
    std::int64_t epoch = -1;
    std::int64_t sequence = 0;
    std::deque<std::pair<std::int64_t, std::string>> answers;
  };
  struct topic_state {
    std::vector<record> records;
    std::map<std::string, std::size_t> newest;
    std::map<std::string, producer_state> producers;
  };

  static std::string append(topic_state& topic, std::vector<record> records) {
    auto offset = topic.records.size();
    for (auto& each : records) {
      if (each.value.empty()) {
        topic.newest.erase(each.key);
      } else {
        topic.newest[each.key] = topic.records.size();
      }
      topic.records.push_back(std::move(each));
    }
    return json{{"offset", offset}, {"end", topic.records.size()}}.dump();
  }

  std::optional<http_reply> handle(const http_request& call) {
    std::this_thread::sleep_for(ms(4));
    auto path = call.path();
    if (path == "/v1/log-append") {
      return handle_append(call);
    }
    if (path == "/v1/log-read") {
      return handle_read(call);
    }
    if (path == "/v1/log-newest") {
      return handle_newest(call);
    }
    return http_reply{404, "{}"};
  }

  std::optional<http_reply> handle_append(const http_request& call) {
    std::lock_guard lock(mutex_);
    if (!lost_topic_.empty() && call.query("topic") == lost_topic_ &&
        call.body.find(lost_text_) != std::string::npos) {
      lost_topic_.clear();
      std::thread([this, call, delay = lost_delay_] {
        std::this_thread::sleep_for(delay);
        std::lock_guard late_lock(mutex_);
        execute_append(call);
        lost_done_at_ = steady::now();
      }).detach();
      return std::nullopt;
    }
    return execute_append(call);
  }

  http_reply execute_append(const http_request& call) {
    auto& topic = topics_[call.query("topic")];
    std::vector<record> records;
    std::size_t at = 0;
    while (at + 4 <= call.body.size()) {
      std::uint32_t length = 0;
      for (int n = 0; n < 4; ++n) {
        length = length << 8U | static_cast<unsigned char>(call.body[at++]);
      }
      if (length > 262144 || at + length > call.body.size()) {
        return {400, "{}"};
      }
      auto key = static_cast<unsigned char>(call.body[at]);
      records.push_back({call.body.substr(at + 1, key),
                         call.body.substr(at + 1 + key, length - 1 - key)});
      at += length;
    }
    auto name = call.query("producer");
    auto epoch = call.number("epoch", 0);
    auto sequence = call.number("seqNo", 0);
    auto* producer = name.empty() ? nullptr : &topic.producers[name];
    if (producer != nullptr) {
      if (epoch < producer->epoch) {
        return {409, json{{"reason", "fenced"}}.dump()};
      }
      if (epoch == producer->epoch) {
        for (const auto& [number, answer] : producer->answers) {
          if (number == sequence) {
            return {200, answer};
          }
        }
        if (sequence != producer->sequence + 1) {
          return {409,
                  json{{"reason", "seq"}, {"seqNo", producer->sequence + 1}}
                      .dump()};
        }
      }
    }
    if (!call.query("at").empty() &&
        call.number("at", 0) !=
            static_cast<std::int64_t>(topic.records.size())) {
      return {412, json{{"end", topic.records.size()}}.dump()};
    }
    auto answer = append(topic, std::move(records));
    if (producer != nullptr) {
      if (epoch > producer->epoch) {
        producer->answers.clear();
      }
      producer->epoch = epoch;
      producer->sequence = sequence;
      producer->answers.emplace_back(sequence, answer);
      if (producer->answers.size() > 5) {
        producer->answers.pop_front();
      }
    }
    changed_.notify_all();
    return {200, answer};
  }

  std::optional<http_reply> handle_read(const http_request& call) {
    std::unique_lock lock(mutex_);
    auto& topic = topics_[call.query("topic")];
    auto from = static_cast<std::size_t>(call.number("from", 0));
    auto limit = static_cast<std::size_t>(call.number("maxKb", 1024)) * 1024;
    changed_.wait_for(lock, ms(call.number("waitMs", 0)),
                      [&] { return topic.records.size() > from; });
    std::string body = big_endian(topic.records.size(), 8) + big_endian(0, 8);
    for (auto n = from; n < topic.records.size(); ++n) {
      const auto& each = topic.records[n];
      auto length = 1 + each.key.size() + each.value.size();
      if (n > from && body.size() + length > limit) {
        break;
      }
      body += big_endian(length, 4) + static_cast<char>(each.key.size()) +
              each.key + each.value;
    }
    return http_reply{200, std::move(body)};
  }

  std::optional<http_reply> handle_newest(const http_request& call) {
    std::lock_guard lock(mutex_);
    auto& topic = topics_[call.query("topic")];
    json items = json::array();
    bool more = false;
    auto after = unescape(call.query("dependsOn"));
    for (auto each = topic.newest.upper_bound(after);
         each != topic.newest.end(); ++each) {
      if (items.size() == 500) {
        more = true;
        break;
      }
      const auto& found = topic.records[each->second];
      items.push_back({{"key", found.key},
                       {"value", base64(found.value)},
                       {"offset", each->second}});
    }
    return http_reply{200, json{{"items", std::move(items)},
                                {"more", more},
                                {"end", topic.records.size()}}
                               .dump()};
  }

  static std::string unescape(const std::string& text) {
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
      if (text[n] == '%' && n + 2 < text.size()) {
        out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
        n += 2;
      } else {
        out += text[n];
      }
    }
    return out;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, topic_state> topics_;
  std::string lost_topic_;
  std::string lost_text_;
  ms lost_delay_{0};
  std::optional<steady::time_point> lost_done_at_;
  http_server server_;
};

}  // namespace review
