#include "standins/event_record.h"

#include <utility>

namespace vanillaladder::standins {

void event_record::add(std::string_view name, json fields) {
  fields["seq"] = events_.size();
  fields["event"] = name;
  fields["at_us"] = std::chrono::duration_cast<std::chrono::microseconds>(
                        clock::now().time_since_epoch())
                        .count();
  events_.push_back(std::move(fields));
}

json event_record::since(std::size_t from) const {
  auto events = json::array();
  for (auto n = from; n < events_.size(); ++n) {
    events.push_back(events_[n]);
  }
  return {{"next", events_.size()}, {"events", std::move(events)}};
}

}  // namespace vanillaladder::standins
