#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "http/event_loop.h"
#include "standins/event_record.h"
#include "standins/exchange.h"
#include "standins/knobs.h"

namespace vanillaladder::standins {

/// The platform's store in memory: a log of keyed topics.
///
/// Settings, with topics as tests call them, separated by commas:
/// `outage` (`none`, `error`: answers 503, `close`: closes the connection,
/// `silent`: no answer; nothing takes effect), `outage_doors` (the numbers of
/// the doors that an outage affects; all if empty), `rejected_appends` (topics
/// whose appends without a producer are answered with 503), `silent_reads`
/// (topics whose reads get no answer), `silent_doors` (the numbers of the doors
/// where they get none; all if empty), `silent_pages` (topics whose pages of
/// newest records get none, but for the first page), `held_appends` (topics
/// whose appends take effect and are answered once the setting is changed),
/// `late_append_topic` and `late_append_ms` (the next append to this topic gets
/// no answer and takes effect after this time), `late_every` (not only the next
/// append, but each n-th one), `lose_answers` (the next n
/// appends take effect and their connections are closed), `delay_ms` (before
/// each answer), `page_keys` (keys on a page of newest records), `record_bytes`
/// (a longer record is refused).
class platform_store {
 public:
  /// @param loop, events must outlive the stand-in.
  platform_store(http::event_loop& loop, event_record& events);

  /// Answers a call of the system.
  /// @param door number of the port at which it arrived.
  void handle(const http::request& message, const responder_ptr& answer,
              std::int64_t door = 0);
  /// Applies the settings in the body of a control request.
  void set(const http::request& message, const responder_ptr& answer);
  /// Writes a record, as operators and workers do.
  /// @param topic name on the wire.
  /// @param value empty to remove the key.
  void put(const std::string& topic, const std::string& key,
           const std::string& value);
  /// Deletes the records of a topic but for the newest of each key.
  void forget(const std::string& topic);
  /// @return the newest value of each key of a topic, its bytes that are no
  ///   printable ASCII escaped.
  json newest(const std::string& topic) const;
  json settings() const { return knobs_.values(); }

 private:
  struct record {
    std::string key;
    std::string value;
  };
  struct producer {
    std::int64_t epoch = -1;
    std::int64_t sequence = 0;
    /// The last appends by their sequence numbers.
    std::deque<std::pair<std::int64_t, http::response>> answers;
  };
  struct topic_state {
    std::int64_t first = 0;
    std::vector<record> records;
    /// Offset of the newest record of each key.
    std::map<std::string, std::size_t> newest;
    std::map<std::string, producer> producers;

    std::int64_t end() const {
      return static_cast<std::int64_t>(records.size());
    }
  };
  struct waiting_read {
    std::string topic;
    std::int64_t from = 0;
    std::int64_t door = 0;
    responder_ptr answer;
    http::event_loop::timer_id timer = 0;
  };

  bool is_late(const std::string& topic);
  void accept_append(const http::request& message, const responder_ptr& answer);
  http::response append(const http::request& message);
  http::response append_once(const http::request& message, topic_state& target);
  void write(topic_state& target, record added);
  void read(const http::request& message, const responder_ptr& answer,
            std::int64_t door);
  void answer_read(const waiting_read& read);
  void wake_readers(const std::string& topic);
  void read_newest(const http::request& message, const responder_ptr& answer,
                   std::int64_t door);
  bool is_silent(const std::string& topic, std::int64_t door) const;
  void respond(const responder_ptr& answer, http::response response);
  void release_held();

  http::event_loop* loop_;
  event_record* events_;
  knobs knobs_;
  std::map<std::string, topic_state> topics_;
  std::list<waiting_read> waiting_;
  std::vector<std::pair<responder_ptr, http::response>> held_;
  std::string outage_ = "none";
  std::string outage_doors_;
  std::string rejected_appends_;
  std::string silent_reads_;
  std::string silent_doors_;
  std::string silent_pages_;
  std::string held_appends_;
  std::string late_append_topic_;
  std::int64_t late_append_ms_ = 0;
  std::int64_t late_every_ = 0;
  std::int64_t appends_seen_ = 0;
  std::int64_t lose_answers_ = 0;
  std::int64_t delay_ms_ = 0;
  std::int64_t page_keys_ = 500;
  std::int64_t record_bytes_ = 262144;
};

}  // namespace vanillaladder::standins
