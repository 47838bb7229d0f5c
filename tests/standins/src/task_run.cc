#include "standins/task_run.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <stdexcept>

namespace vanillaladder::standins {
namespace {

constexpr std::int64_t longest_run_ms = std::int64_t{30} * 24 * 3600 * 1000;

std::int64_t number_after(const std::string& word, std::size_t prefix) {
  std::size_t used = 0;
  auto value = std::stoll(word.substr(prefix), &used);
  if (prefix + used != word.size() || value < 0 || value > longest_run_ms) {
    throw std::invalid_argument("bad number in command: " + word);
  }
  return value;
}

double elapsed_ms(clock::time_point from, clock::time_point to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

}  // namespace

task_command parse_command(const std::string& text,
                           const model::resources& declared) {
  task_command command;
  command.used = declared;
  std::istringstream words(text);
  std::string word;
  bool has_time = false;
  while (words >> word) {
    if (word.starts_with("run:")) {
      command.run_ms = number_after(word, 4);
      has_time = true;
    } else if (word.starts_with("cpu:")) {
      command.used.cpu_millis = number_after(word, 4);
    } else if (word.starts_with("mem:")) {
      command.used.memory_mib = number_after(word, 4);
    } else if (word == "fail") {
      command.fails = true;
    } else {
      throw std::invalid_argument("unknown word in command: " + word);
    }
  }
  if (!has_time) {
    throw std::invalid_argument("the command has no run:<ms>");
  }
  return command;
}

double task_run::progress_at(clock::time_point now) const {
  if (!running()) {
    return progress_ms;
  }
  auto done = elapsed_ms(resumed_at, now) * share / factor;
  return std::min(progress_ms + done, static_cast<double>(command.run_ms));
}

std::chrono::milliseconds task_run::remaining() const {
  auto left = static_cast<double>(command.run_ms) - progress_ms;
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(std::ceil(left * factor / share)));
}

std::string task_run::checkpoint_at(clock::time_point now) const {
  return std::to_string(static_cast<std::int64_t>(progress_at(now)));
}

bool task_run::ran_at(clock::time_point at) const {
  return started_at <= at && (running() || ended_at > at);
}

}  // namespace vanillaladder::standins
