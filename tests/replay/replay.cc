#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "control/trace.h"
#include "runtime/error.h"

/// Replays recorded traces and compares them with their stated outcomes, which
/// stand in `<trace>.outcome.json` beside each trace.
namespace vanillaladder::replay {
namespace {

using nlohmann::json;

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

json to_json(const control::replay_result& result) {
  return {{"steps", result.steps},
          {"starts", result.starts},
          {"finished", result.finished},
          {"failed", result.failed},
          {"evicted_records", result.evicted_records}};
}

/// @return an empty text if the trace has the outcome, else what differs.
std::string difference(const std::string& trace, const json& outcome) {
  std::istringstream lines(trace);
  auto result = control::replay_trace(lines);
  if (!result.ok()) {
    return runtime::error_message(result.status());
  }
  auto actual = to_json(*result);
  return actual == outcome.at("counts")
             ? ""
             : "stated " + outcome.at("counts").dump() + ", replayed " +
                   actual.dump();
}

/// Repeats the last start of a task, as a daemon would that ran it twice.
std::string with_repeated_start(const std::string& trace) {
  std::istringstream lines(trace);
  std::string line;
  std::string out;
  std::string start;
  while (std::getline(lines, line)) {
    out += line + "\n";
    if (line.find("\"start\":{") != std::string::npos) {
      start = line;
    }
  }
  return out + start + "\n";
}

int check(const std::string& path) {
  auto outcome = json::parse(read_file(path + ".outcome.json"));
  auto wrong = difference(read_file(path), outcome);
  std::cout << path << ": " << outcome.at("summary").get<std::string>() << ": "
            << (wrong.empty() ? "ok" : wrong) << "\n";
  return wrong.empty() ? 0 : 1;
}

/// Checks that a trace with a broken outcome is found.
int check_altered(const std::string& path) {
  auto outcome = json::parse(read_file(path + ".outcome.json"));
  auto trace = read_file(path);
  bool repeated_found =
      !difference(with_repeated_start(trace), outcome).empty();
  auto other = outcome;
  other["counts"]["finished"] =
      other["counts"]["finished"].get<std::uint64_t>() + 1;
  bool outcome_found = !difference(trace, other).empty();
  std::cout << path << ": repeated start "
            << (repeated_found ? "found" : "missed") << ", other outcome "
            << (outcome_found ? "found" : "missed") << "\n";
  return repeated_found && outcome_found ? 0 : 1;
}

/// Prints the outcome of a new trace.
int describe(const std::string& path) {
  std::ifstream trace(path);
  auto result = control::replay_trace(trace);
  if (!result.ok()) {
    std::cerr << runtime::error_message(result.status()) << "\n";
    return 1;
  }
  std::cout << to_json(*result).dump() << "\n";
  return 0;
}

int run(const std::vector<std::string>& words) {
  if (words.size() == 1) {
    return check(words[0]);
  }
  if (words.size() == 2 && words[0] == "--altered") {
    return check_altered(words[1]);
  }
  if (words.size() == 2 && words[0] == "--describe") {
    return describe(words[1]);
  }
  std::cerr << "usage: replay [--altered | --describe] TRACE\n";
  return 2;
}

}  // namespace
}  // namespace vanillaladder::replay

int main(int argc, char** argv) {
  try {
    return vanillaladder::replay::run({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::fprintf(stderr, "replay: %s\n", error.what());
    return 1;
  } catch (...) {
    std::fputs("replay: unknown error\n", stderr);
    return 1;
  }
}
