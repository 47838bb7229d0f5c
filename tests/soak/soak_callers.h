#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "harness/caller.h"
#include "http/channel.h"

namespace vanillaladder::soak {

using harness::json;
using random_engine = std::mt19937_64;

/// @return a random number from `low` to `high`.
inline std::int64_t draw(random_engine& random, std::int64_t low,
                         std::int64_t high) {
  return std::uniform_int_distribution<std::int64_t>(low, high)(random);
}

/// @return microseconds on the clock of the stand-ins' events.
std::int64_t now_us();

/// One connection for each port, kept open until the peer closes it.
class open_channels {
 public:
  open_channels();
  ~open_channels();
  open_channels(const open_channels&) = delete;
  open_channels& operator=(const open_channels&) = delete;

  /// Sends a request and waits for its outcome; `status` is 0 without one.
  harness::outcome call(std::uint16_t port, http::request message,
                        std::chrono::milliseconds limit);

 private:
  http::event_loop loop_;
  http::transport transport_{loop_};
  std::map<std::uint16_t, std::unique_ptr<http::channel>> channels_;
  std::thread thread_;
};

/// A call on a job and its answer.
struct attempt {
  std::int64_t sent_us = 0;
  std::int64_t answered_us = 0;
  std::size_t daemon = 0;
  int status = 0;
  /// The state that was shown.
  std::string state = {};
};

/// What a caller has done with a job.
struct job_history {
  std::string id;
  /// Tasks of each step.
  std::vector<int> tasks;
  bool lasting = false;
  std::vector<attempt> submits;
  std::vector<attempt> cancels;
  std::vector<attempt> shows;

  bool accepted() const;
  /// @return when a cancel was acknowledged first; 0 if none was.
  std::int64_t cancelled_us() const;
};

/// Ports at which the daemons take calls; 0 while one is not in rotation.
class rotation {
 public:
  explicit rotation(std::size_t daemons) : ports_(daemons) {}
  void set(std::size_t daemon, std::uint16_t port) { ports_[daemon] = port; }
  std::size_t size() const { return ports_.size(); }
  std::uint16_t port(std::size_t daemon) const { return ports_[daemon]; }

 private:
  std::vector<std::atomic<std::uint16_t>> ports_;
};

/// Submits, cancels and shows jobs, and repeats what got no answer.
class soak_caller {
 public:
  /// @param number distinguishes the ids of its jobs from those of others.
  soak_caller(const rotation& daemons, std::uint64_t seed, int number);
  ~soak_caller();
  soak_caller(const soak_caller&) = delete;
  soak_caller& operator=(const soak_caller&) = delete;

  /// Ends after the current call.
  void stop() { stopped_ = true; }
  /// @return what it has done; only after its end.
  const std::vector<job_history>& jobs();

 private:
  void run();
  void submit_next();
  void cancel_one(job_history& job);
  attempt call(const char* method, const job_history& job,
               const std::string& body);

  const rotation* daemons_;
  random_engine random_;
  int number_;
  int lasting_jobs_ = 0;
  open_channels channels_;
  std::vector<job_history> jobs_;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

}  // namespace vanillaladder::soak
