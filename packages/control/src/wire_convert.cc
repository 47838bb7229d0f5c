#include "control/wire_convert.h"

#include <nlohmann/json.hpp>

namespace vanillaladder::control {
namespace {

std::vector<wire::header> to_wire(const std::vector<http::header>& headers) {
  std::vector<wire::header> converted;
  converted.reserve(headers.size());
  for (const auto& item : headers) {
    wire::header wire_header;
    wire_header.name = item.name;
    wire_header.value = item.value;
    converted.push_back(std::move(wire_header));
  }
  return converted;
}

std::vector<http::header> from_wire(const std::vector<wire::header>& headers) {
  std::vector<http::header> converted;
  converted.reserve(headers.size());
  for (const auto& item : headers) {
    converted.push_back({item.name, item.value});
  }
  return converted;
}

http::response unavailable_response(std::string_view outcome,
                                    std::string_view reason) {
  nlohmann::json body = {{"result", outcome}, {"reason", reason}};
  auto response = http::json_response(503, body.dump());
  response.headers.push_back({"x-outcome", std::string(outcome)});
  response.headers.push_back({"x-reason", std::string(reason)});
  return response;
}

}  // namespace

wire::http_request to_wire(const http::request& message) {
  wire::http_request converted;
  converted.method = message.method;
  converted.target = message.target;
  converted.headers = to_wire(message.headers);
  converted.body = message.body;
  return converted;
}

http::request from_wire(const wire::http_request& message) {
  return {message.method, message.target, from_wire(message.headers),
          message.body};
}

wire::http_result to_wire(const http::response& response) {
  wire::http_result converted;
  converted.outcome = wire::call_outcome::DONE;
  converted.status = response.status;
  converted.headers = to_wire(response.headers);
  converted.body = response.body;
  return converted;
}

http::response from_wire(const wire::http_result& result) {
  switch (result.outcome) {
    case wire::call_outcome::DONE:
      return {result.status, from_wire(result.headers), result.body};
    case wire::call_outcome::NOT_RUN:
      return not_run_response(result.reason);
    case wire::call_outcome::UNKNOWN:
      break;
  }
  return unknown_response(result.reason);
}

http::response not_run_response(std::string_view reason) {
  return unavailable_response("not-run", reason);
}

http::response unknown_response(std::string_view reason) {
  return unavailable_response("unknown", reason);
}

wire::shard_load to_wire(model::shard_id shard,
                         const events::shards_changed::room& room) {
  wire::shard_load load;
  load.shard = static_cast<std::int16_t>(shard);
  load.free_cpu_millis = room.free.cpu_millis;
  load.free_memory_mib = room.free.memory_mib;
  load.free_accelerators = room.free.accelerators;
  load.largest_cpu_millis = room.largest_worker.cpu_millis;
  load.largest_memory_mib = room.largest_worker.memory_mib;
  load.largest_accelerators = room.largest_worker.accelerators;
  return load;
}

events::shards_changed::room from_wire(const wire::shard_load& load) {
  return {{load.free_cpu_millis, load.free_memory_mib, load.free_accelerators},
          {load.largest_cpu_millis, load.largest_memory_mib,
           load.largest_accelerators}};
}

}  // namespace vanillaladder::control
