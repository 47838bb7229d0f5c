#pragma once

#include "standins/event_record.h"
#include "standins/exchange.h"
#include "standins/knobs.h"

namespace vanillaladder::standins {

/// Answers `GET /events?from=n` and `POST /set` of a control port.
/// @return whether the request was one of them.
bool answer_common(const http::request& message, const responder_ptr& answer,
                   const event_record& events, knobs& settings);

/// Answers `GET /events?from=n`.
void answer_events(const http::request& message, const responder_ptr& answer,
                   const event_record& events);

/// Answers `POST /set` by applying its body.
void answer_set(const http::request& message, const responder_ptr& answer,
                knobs& settings);

}  // namespace vanillaladder::standins
