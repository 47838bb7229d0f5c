#pragma once

#include <cstdint>
#include <string>

#include "http/event_loop.h"
#include "model/types.h"
#include "standins/event_record.h"

namespace vanillaladder::standins {

/// What the command of a task says: `run:<ms>`, then optionally `fail`,
/// `cpu:<millis>` and `mem:<mib>` (what it really uses), separated by blanks.
struct task_command {
  std::int64_t run_ms = 0;
  bool fails = false;
  model::resources used;
};

/// @param declared used where the command does not say otherwise.
/// @throws std::exception if the command is malformed.
task_command parse_command(const std::string& text,
                           const model::resources& declared);

/// One run of a task on a worker: a timer that can be slowed and stopped.
struct task_run {
  std::string task;
  std::int64_t attempt = 0;
  std::string lease;
  std::string state = "running";
  model::resources declared;
  task_command command;
  /// Run time left behind at `resumed_at`, in ms at full speed.
  double progress_ms = 0;
  double factor = 1;
  double share = 1;
  clock::time_point resumed_at;
  clock::time_point started_at;
  clock::time_point ended_at;
  http::event_loop::timer_id timer = 0;
  bool stopping = false;
  bool acknowledged = false;

  bool running() const { return state == "running"; }
  /// @return run time left behind at `now`.
  double progress_at(clock::time_point now) const;
  /// @return time until it ends by itself.
  std::chrono::milliseconds remaining() const;
  /// @return run time left behind, as the checkpoint that resumes it.
  std::string checkpoint_at(clock::time_point now) const;
  /// @return whether it was in progress at `at`.
  bool ran_at(clock::time_point at) const;
};

}  // namespace vanillaladder::standins
