#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "control/control_stream.h"
#include "coordination/config_schema.h"
#include "coordination/control_state.h"
#include "http/message.h"

/// JSON bodies of the operators' configuration API.
namespace vanillaladder::control {

/// A change that passed the schema check, or the response that rejects it.
using parsed_change = std::variant<coordination::control_body, http::response>;

/// Parses and checks the body of `POST /v1/config/versions`.
parsed_change parse_version(std::string_view body);
/// Parses and checks the body of `POST /v1/config/patches`.
parsed_change parse_patch(std::string_view body);

/// @return the response to a configuration change.
/// @param confirmed whether a majority of the members has applied it.
http::response change_response(const publish_result& result, bool confirmed);

/// @return the current configuration.
http::response config_response(const coordination::control_state& state,
                               std::string_view branch);
/// @return the keys of one version, or 404 if there is no such version.
http::response version_response(const coordination::control_state& state,
                                std::string_view number);

/// Configuration that an instance reports to have in force.
struct instance_status {
  model::instance_id id;
  model::domain_id domain;
  std::int64_t version = 0;
  std::int64_t revision = 0;
  model::offset applied_offset = -1;
  /// Offset at which that version and revision came into force; -1 if the
  /// instance has not reported.
  model::offset since_offset = -1;
  bool reachable = false;
  bool fresh = false;
};

http::response status_response(const std::vector<instance_status>& instances);

}  // namespace vanillaladder::control
