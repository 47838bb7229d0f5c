#include "external/http_instance_list.h"

#include <stdexcept>
#include <utility>

#include "json_call.h"

namespace vanillaladder::external {
namespace {

constexpr std::int64_t max_age_ms = std::int64_t{366} * 24 * 3600 * 1000;
constexpr std::int64_t max_port = 65535;
constexpr std::int64_t max_slots = 1 << 20;

/// Fields that all kinds of instances have.
struct common_fields {
  std::string id;
  std::string address;
  std::uint16_t port = 0;
  std::string domain;
  std::string rack;
  model::instance_state state = model::instance_state::live;
};

model::instance_state decode_state(const std::string& name) {
  if (name == "live") {
    return model::instance_state::live;
  }
  if (name == "leaving") {
    return model::instance_state::leaving;
  }
  throw std::invalid_argument("unknown instance state " + name);
}

common_fields decode_common_fields(const nlohmann::json& item) {
  return {
      item.at("id").get<std::string>(),
      item.at("address").get<std::string>(),
      static_cast<std::uint16_t>(detail::integer_at(item, "port", 1, max_port)),
      detail::optional_string(item, "domain"),
      detail::optional_string(item, "rack"),
      decode_state(item.at("state").get<std::string>())};
}

std::uint32_t decode_slots(const nlohmann::json& item, const char* key) {
  return static_cast<std::uint32_t>(
      detail::integer_at(item, key, 0, max_slots));
}

void add_instance(const nlohmann::json& item, instance_snapshot& snapshot) {
  auto common = decode_common_fields(item);
  auto kind = item.at("kind").get<std::string>();
  if (kind == "worker") {
    snapshot.workers.push_back({common.id, common.address, common.port,
                                common.domain, common.rack,
                                detail::decode_resources(item), common.state});
  } else if (kind == "backend") {
    snapshot.backends.push_back(
        {common.id, common.address, common.port, common.domain, common.rack,
         item.at("service").get<std::string>(), decode_slots(item, "slots"),
         decode_slots(item, "connections"), common.state});
  } else if (kind == "entry") {
    snapshot.entries.push_back(
        {common.id, common.address, common.port, common.domain, common.state});
  }
  // Unknown kinds are ignored, so that the platform can add new ones.
}

instance_snapshot decode_snapshot(const nlohmann::json& answer) {
  instance_snapshot snapshot;
  snapshot.age = std::chrono::milliseconds(
      detail::integer_at(answer, "age_ms", 0, max_age_ms));
  for (const auto& item : answer.at("instances")) {
    add_instance(item, snapshot);
  }
  return snapshot;
}

}  // namespace

http_instance_list::http_instance_list(http::event_loop& loop,
                                       http_instance_list_options options)
    : options_(std::move(options)), client_(loop) {}

void http_instance_list::fetch(fetch_callback done) {
  detail::json_call call;
  call.step = "fetch instances";
  call.peer = "instance list";
  call.address = options_.address;
  call.port = options_.port;
  call.method = "GET";
  call.target = "/instances";
  call.options.timeout = options_.timeout;
  call.options.max_response_bytes = options_.max_answer_bytes;
  // The list is large and changes rarely. A conditional request avoids the
  // transfer of an unchanged one.
  if (!etag_.empty()) {
    call.headers.push_back({"if-none-match", etag_});
  }
  auto peer = detail::peer_name(call);
  detail::send_call(
      client_, std::move(call),
      [this, peer,
       done = std::move(done)](absl::StatusOr<http::response> answer) {
        done(answer.ok() ? process_answer(peer, *answer)
                         : absl::StatusOr<instance_snapshot>(answer.status()));
      });
}

absl::StatusOr<instance_snapshot> http_instance_list::process_answer(
    const std::string& peer, const http::response& answer) {
  constexpr int not_modified = 304;
  if (answer.status == not_modified && !etag_.empty()) {
    return last_snapshot_;
  }
  const std::string step = "fetch instances";
  auto snapshot = detail::decode_answer(detail::read_answer(step, peer, answer),
                                        step, peer, decode_snapshot);
  if (snapshot.ok()) {
    last_snapshot_ = *snapshot;
    etag_ = std::string(http::find_header(answer.headers, "etag"));
  }
  return snapshot;
}

}  // namespace vanillaladder::external
