#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// Names and bodies of the users' platform, for its stand-ins and the tests
/// that use them.
namespace vanillaladder::standins::platform {

using nlohmann::json;

/// Topics by the names that tests use: `jobs`, `progress`, `lease`, `operator`
/// and `workers`.
/// @return the name of the topic on the wire.
/// @throws std::invalid_argument for another name.
std::string topic_on_wire(const std::string& name);

/// Host and path prefix of the queue that `configuration` defines.
inline constexpr const char* queue_host = "queue.example";
inline constexpr const char* queue_prefix = "/queue/";
/// Service of all workers.
inline constexpr const char* service = "service-1";

/// What a task does on a worker of the stand-in.
struct task_plan {
  /// Work until the task ends; negative if it runs until it is stopped.
  std::int64_t run_ms = 1000;
  /// Members of its gang; 0 if it works alone.
  int gang_size = 0;
};

std::string encode(const task_plan& plan);
/// @throws std::exception for another text.
task_plan decode_plan(const std::string& text);

/// A step of a submission.
struct step {
  int count = 1;
  std::int64_t cpu_millis = 1000;
  std::string label = {};
};

/// @return the body of a submission whose tasks all follow the plan.
json submission(const std::vector<step>& steps, const task_plan& plan);
/// @return the state in an answer to a question about a job; empty if it holds
///   none.
std::string state_in(const std::string& body);
/// @return the configuration with one queue.
json configuration(std::int64_t version);
inline constexpr const char* configuration_key = "config";
/// @return the key of a record that closes a failure domain.
std::string closing_key(const std::string& domain);

}  // namespace vanillaladder::standins::platform
