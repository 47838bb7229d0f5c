#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "http/event_loop.h"
#include "standins/event_record.h"
#include "standins/exchange.h"
#include "standins/knobs.h"

namespace vanillaladder::standins {

/// A backend server that runs requests as timers and echoes them.
///
/// It runs whatever it is sent, also beyond its slots, and goes on when the
/// caller disconnects. `?ms=<n>` is the run time, `&bytes=<n>` the length of a
/// `padding` in the response. Settings: `silent` (`none`,
/// `open`: connections that are open now never get an answer, `all`: new ones
/// neither), `refuse` (the next n requests get 503 with `x-not-run`, -1 =
/// all), `close` (the next n requests run, then the connection is closed
/// without a response), `fail` (the next n requests get 500), `delay_ms`
/// (added to every run time), `leaving` (requests that arrive from now on are
/// counted as `after_leave`).
class backend_standin {
 public:
  struct options {
    std::string id;
    std::int64_t slots = 8;
  };

  /// @param loop, events must outlive the stand-in.
  backend_standin(http::event_loop& loop, options settings,
                  event_record& events);

  /// Answers a request from a daemon.
  void handle(const http::request& message, const responder_ptr& answer);
  /// Applies the settings in the body of a control request.
  void set(const http::request& message, const responder_ptr& answer);
  /// @return settings, slots in use, connections and the maxima so far.
  json state() const;
  /// @return the server's id.
  const std::string& id() const;

 private:
  struct run {
    http::request message;
    std::string key;
    responder_ptr answer;
    bool running = false;
    bool connected = true;
    bool swallowed = false;
    bool close = false;
    bool fail = false;
  };
  using run_ptr = std::shared_ptr<run>;

  void begin(const run_ptr& current);
  void end(const run_ptr& current);
  void forget_ended();
  static bool take_one(std::int64_t& counter);
  void record(const char* event, const run& current);

  http::event_loop* loop_;
  options options_;
  event_record* events_;
  knobs knobs_;
  std::list<run_ptr> runs_;
  std::map<std::string, std::int64_t> runs_by_key_;
  std::int64_t slots_in_use_ = 0;
  std::int64_t max_slots_ = 0;
  std::int64_t connections_ = 0;
  std::int64_t max_connections_ = 0;
  std::int64_t requests_ = 0;
  std::int64_t after_leave_ = 0;
  std::string silent_ = "none";
  bool leaving_ = false;
  std::int64_t refuse_ = 0;
  std::int64_t close_ = 0;
  std::int64_t fail_ = 0;
  std::int64_t delay_ms_ = 0;
};

}  // namespace vanillaladder::standins
