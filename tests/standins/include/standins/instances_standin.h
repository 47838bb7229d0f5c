#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "http/event_loop.h"
#include "standins/event_record.h"
#include "standins/exchange.h"
#include "standins/knobs.h"

namespace vanillaladder::standins {

/// An instance list that shows its contents as they were some time ago.
///
/// Control port: `POST /entries` with a list of entries adds or replaces them
/// by id, `POST /leave?id=` marks one as leaving, `DELETE /entries?id=`
/// removes one. Settings: `lag_ms`, `outage` (`none`, `error`, `close`,
/// `silent`), `delay_ms`.
class instances_standin {
 public:
  /// @param loop must outlive the stand-in.
  explicit instances_standin(http::event_loop& loop);

  /// Answers a request to the list.
  void handle(const http::request& message, const responder_ptr& answer);
  /// Answers a request to the control port.
  void control(const http::request& message, const responder_ptr& answer);

 private:
  using entries = std::map<std::string, json>;
  struct version {
    clock::time_point since;
    entries contents;
  };

  void change(const http::request& message, const responder_ptr& answer);
  void publish(entries contents);
  json lagging_list() const;

  http::event_loop* loop_;
  std::deque<version> versions_;
  event_record events_;
  knobs knobs_;
  std::string outage_ = "none";
  std::int64_t lag_ms_ = 0;
  std::int64_t delay_ms_ = 0;
};

}  // namespace vanillaladder::standins
