#include "standins/instances_standin.h"

#include <algorithm>
#include <functional>
#include <stdexcept>
#include <utility>

#include "standins/control_port.h"

namespace vanillaladder::standins {
namespace {

using std::chrono::milliseconds;

// Older versions are dropped; a lag is shorter than this.
constexpr std::size_t max_versions = 1000;

}  // namespace

instances_standin::instances_standin(http::event_loop& loop) : loop_(&loop) {
  knobs_.add("lag_ms", &lag_ms_);
  knobs_.add("outage", &outage_);
  knobs_.add("delay_ms", &delay_ms_);
  versions_.push_back({clock::now(), {}});
}

void instances_standin::handle(const http::request& message,
                               const responder_ptr& answer) {
  if (outage_ == "error") {
    reply(answer, 503, {{"error", "outage"}});
  } else if (outage_ == "close") {
    answer->abort();
  } else if (outage_ != "none") {
    return;
  } else if (message.method != "GET" || message.target != "/instances") {
    reply(answer, 404, {{"error", "no such resource"}});
  } else {
    auto body = lagging_list().dump();
    auto tag = "\"" + std::to_string(std::hash<std::string>()(body)) + "\"";
    auto response = http::json_response(200, std::move(body));
    response.headers.push_back({"etag", tag});
    if (http::find_header(message.headers, "if-none-match") == tag) {
      response = {304, {{"etag", tag}}, ""};
    }
    loop_->call_after(milliseconds(delay_ms_),
                      [answer, response = std::move(response)] {
                        answer->respond(response);
                      });
  }
}

json instances_standin::lagging_list() const {
  auto shown_at = clock::now() - milliseconds(lag_ms_);
  // The first version is shown until a later one is old enough.
  const auto* shown = &versions_.front();
  for (const auto& candidate : versions_) {
    if (candidate.since <= shown_at) {
      shown = &candidate;
    }
  }
  auto instances = json::array();
  for (const auto& [id, entry] : shown->contents) {
    instances.push_back(entry);
  }
  return {{"age_ms", lag_ms_}, {"instances", std::move(instances)}};
}

void instances_standin::publish(entries contents) {
  if (versions_.size() == 1 && versions_.front().contents.empty()) {
    // The first contents are shown at once, whatever the lag.
    versions_.clear();
  }
  versions_.push_back({clock::now(), std::move(contents)});
  if (versions_.size() > max_versions) {
    versions_.pop_front();
  }
}

void instances_standin::change(const http::request& message,
                               const responder_ptr& answer) {
  auto path = http::path_of(message.target);
  auto id = std::string(http::query_value(message.target, "id"));
  auto contents = versions_.back().contents;
  if (path == "/entries" && message.method == "POST") {
    for (const auto& entry : json::parse(message.body)) {
      contents[entry.at("id").get<std::string>()] = entry;
      events_.add("set", {{"entry", entry}});
    }
  } else if (path == "/entries" && message.method == "DELETE") {
    contents.erase(id);
    events_.add("remove", {{"id", id}});
  } else if (path == "/leave" && contents.contains(id)) {
    contents[id]["state"] = "leaving";
    events_.add("leave", {{"id", id}});
  } else {
    reply(answer, 404, {{"error", "no such resource or entry"}});
    return;
  }
  publish(std::move(contents));
  reply(answer, 200, json::object());
}

void instances_standin::control(const http::request& message,
                                const responder_ptr& answer) {
  if (answer_common(message, answer, events_, knobs_)) {
    return;
  }
  if (message.target == "/state") {
    reply(answer, 200,
          {{"settings", knobs_.values()}, {"list", lagging_list()}});
    return;
  }
  try {
    change(message, answer);
  } catch (const std::exception& error) {
    reply(answer, 400, {{"error", error.what()}});
  }
}

}  // namespace vanillaladder::standins
