#pragma once

#include <memory>
#include <string>
#include <vector>

#include "standins/control_port.h"

namespace vanillaladder::standins {

/// Answers the control port of a program that hosts several stand-ins.
///
/// `POST /set?id=<id>,<id>` changes these in one instant, `POST /set` all,
/// `GET /state` lists the states under `label` beside the members of `totals`.
template <typename Member>
void control_group(const std::vector<std::unique_ptr<Member>>& members,
                   const char* label, const event_record& events, json totals,
                   const http::request& message, const responder_ptr& answer) {
  auto path = http::path_of(message.target);
  if (message.method == "GET" && path == "/events") {
    answer_events(message, answer, events);
  } else if (message.method == "POST" && path == "/set") {
    auto ids = http::query_value(message.target, "id");
    auto wanted = ids.empty() ? std::string() : "," + std::string(ids) + ",";
    for (const auto& member : members) {
      if (wanted.empty() ||
          wanted.find("," + member->id() + ",") != std::string::npos) {
        member->set(message, answer);
      }
    }
    // Does nothing if a member has answered.
    reply(answer, 404, {{"error", "no such id"}});
  } else if (path == "/state") {
    totals[label] = json::array();
    for (const auto& member : members) {
      totals[label].push_back(member->state());
    }
    reply(answer, 200, totals);
  } else {
    reply(answer, 404, {{"error", "no such resource"}});
  }
}

}  // namespace vanillaladder::standins
