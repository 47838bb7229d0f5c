#include "standins/platform_messages.h"

#include <map>
#include <stdexcept>

namespace vanillaladder::standins::platform {

std::string topic_on_wire(const std::string& name) {
  static const std::map<std::string, std::string> topics = {
      {"jobs", "keyed.jobs"},
      {"progress", "keyed.progress"},
      {"lease", "keyed.lease"},
      {"operator", "keyed.op"},
      {"workers", "keyed.servers"}};
  auto found = topics.find(name);
  if (found == topics.end()) {
    throw std::invalid_argument("no topic is called " + name);
  }
  return found->second;
}

std::string encode(const task_plan& plan) {
  return json{{"run_ms", plan.run_ms}, {"gang", plan.gang_size}}.dump();
}

task_plan decode_plan(const std::string& text) {
  auto parsed = json::parse(text);
  return {parsed.at("run_ms").get<std::int64_t>(),
          parsed.at("gang").get<int>()};
}

json submission(const std::vector<step>& steps, const task_plan& plan) {
  auto list = json::array();
  for (const auto& each : steps) {
    json object = {{"count", each.count},
                   {"cpu", each.cpu_millis},
                   {"memMb", 64},
                   {"estRuntimeMs", plan.run_ms < 0 ? 1000 : plan.run_ms}};
    if (plan.run_ms < 0) {
      object["perpetual"] = true;
    }
    if (plan.gang_size > 0) {
      object["gang"] = true;
    }
    if (!each.label.empty()) {
      object["requiredLabels"] = each.label;
    }
    list.push_back(std::move(object));
  }
  return {{"taskSpec", encode(plan)}, {"steps", std::move(list)}};
}

std::string state_in(const std::string& body) {
  auto parsed = json::parse(body, nullptr, false);
  return parsed.is_object() ? parsed.value("state", "") : "";
}

json configuration(std::int64_t version) {
  return {{"version", version},
          {"routes",
           {{{"name", "queue-1"},
             {"host", queue_host},
             {"pathPrefix", queue_prefix},
             {"kind", "unsafe"},
             {"timeoutMs", 3000},
             {"targetLatencyMs", 1000},
             {"priority", 0},
             {"service", service},
             {"maxAttempts", 3},
             {"stretch", 2.0}}}},
          {"services", {{{"name", service}, {"admissionCheck", false}}}},
          {"limits", {{"maxBodyBytes", 262144}}}};
}

std::string closing_key(const std::string& domain) {
  return "evacuate/" + domain;
}

}  // namespace vanillaladder::standins::platform
