#include "standins/control_port.h"

#include <algorithm>

namespace vanillaladder::standins {

void answer_set(const http::request& message, const responder_ptr& answer,
                knobs& settings) {
  auto values = json::parse(message.body, nullptr, false);
  if (!values.is_object()) {
    reply(answer, 400, {{"error", "the body is not a JSON object"}});
    return;
  }
  auto status = settings.apply(values);
  reply(answer, status.ok() ? 200 : 400, {{"result", status.ToString()}});
}

void answer_events(const http::request& message, const responder_ptr& answer,
                   const event_record& events) {
  auto from = query_integer(message.target, "from", 0);
  reply(
      answer, 200,
      events.since(static_cast<std::size_t>(std::max<std::int64_t>(from, 0))));
}

bool answer_common(const http::request& message, const responder_ptr& answer,
                   const event_record& events, knobs& settings) {
  auto path = http::path_of(message.target);
  if (message.method == "GET" && path == "/events") {
    answer_events(message, answer, events);
    return true;
  }
  if (message.method == "POST" && path == "/set") {
    answer_set(message, answer, settings);
    return true;
  }
  return false;
}

}  // namespace vanillaladder::standins
