#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>

#include "http/event_loop.h"
#include "standins/event_record.h"
#include "standins/exchange.h"
#include "standins/knobs.h"

namespace vanillaladder::standins {

/// A log service in memory.
///
/// Settings: `outage` (`none`, `error`: answers 503, `close`: closes without a
/// response, `silent`: never answers; nothing takes effect), `delay_ms`
/// (before an answer), `effect_delay_ms` (before an append takes effect),
/// `lose_answers` (the next n appends take effect and their connections are
/// closed without a response), `retention` (records kept in a stream, 0 =
/// all).
class log_standin {
 public:
  /// @param loop must outlive the stand-in.
  explicit log_standin(http::event_loop& loop);

  /// Answers a request to the log.
  void handle(const http::request& message, const responder_ptr& answer);
  /// Answers a request to the control port.
  void control(const http::request& message, const responder_ptr& answer);

 private:
  struct stream {
    std::int64_t first = 0;
    std::deque<std::string> records;
  };
  struct waiting_read {
    std::string stream_name;
    std::int64_t from = 0;
    std::int64_t limit = 0;
    responder_ptr answer;
    http::event_loop::timer_id timer = 0;
  };

  void accept_append(const std::string& name, const http::request& message,
                     const responder_ptr& answer);
  void append(const std::string& name, const json& records,
              const responder_ptr& answer);
  void read(const std::string& name, const http::request& message,
            const responder_ptr& answer);
  void answer_read(const waiting_read& read);
  void wake_readers(const std::string& name);
  void end_waiting_reads();
  bool swallow(const responder_ptr& answer) const;
  void trim();
  json state() const;

  http::event_loop* loop_;
  std::map<std::string, stream> streams_;
  std::list<waiting_read> waiting_;
  event_record events_;
  knobs knobs_;
  std::string outage_ = "none";
  std::int64_t delay_ms_ = 0;
  std::int64_t effect_delay_ms_ = 0;
  std::int64_t lose_answers_ = 0;
  std::int64_t retention_ = 0;
  std::int64_t appends_ = 0;
  std::int64_t reads_ = 0;
};

}  // namespace vanillaladder::standins
